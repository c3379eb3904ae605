// A schedule of faults for a cluster of gateways, in TOML (examples/cluster, docs/ops/cluster.md).
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "emulators/network/network.h"

namespace cometfold::emulators::cluster {

// The message is one line: the position, the error and what is expected.
struct ScheduleError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Step {
  enum Action {
    kKill,
    kStop,
    kContinue,
    kTerm,
    kStart,
    kTwin,
    kEndTwin,
    kCut,
    kHeal,
    kLink,
    kStarve,
    kDrain
  };
  double at = 0;  // seconds after the warm-up
  Action action = kKill;
  std::vector<std::string> targets;              // gateways, or hosts for kDrain
  std::vector<std::vector<std::string>> groups;  // kCut
  std::vector<std::string> from, to;             // kLink: all pairs of one of each
  Link link;
  double seconds = 1;  // kStarve
};

struct Schedule {
  std::string name, text;  // `text`: the unparsed TOML
  std::uint64_t seed = 1;
  std::size_t gateways = 5, hosts = 3;
  double rate = 50;         // requests per second over all gateways; 0: no clients
  double warm_up = 3;       // seconds before the faults
  double settle = 12;       // seconds from the last step to the end of the run
  double agree_within = 0;  // seconds after the last fault until all views must agree; 0: `settle`
  std::string settings;     // additional lines in the [peers] section of each gateway
  std::vector<Step> steps;  // sorted by time
};

std::string gateway_name(std::size_t n);

// Gateways are named g0, g1 and so on; "g2..g7" is a range and "all" stands for all of them. Throws
// ScheduleError.
Schedule parse_schedule(const std::string& text, const std::string& place);
Schedule read_schedule(const std::string& path);

// Generates a schedule of random faults as TOML. Links and partitions are healed at the end; killed gateways
// may stay down. The same seed and size give the same schedule.
std::string random_schedule(std::uint64_t seed, std::size_t gateways);

}  // namespace cometfold::emulators::cluster
