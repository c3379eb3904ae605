// A schedule of faults for a cluster of gateways, in TOML (examples/cluster, docs/ops/cluster.md).
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "emulators/network/network.h"

namespace cometfold::emulators::cluster {

// One line: the place, what is wrong and what would be right.
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
  std::vector<std::string> targets;              // gateways; of kDrain hosts
  std::vector<std::vector<std::string>> groups;  // kCut
  std::vector<std::string> from, to;             // kLink: all pairs of these
  Link link;
  double seconds = 1;  // kStarve
};

struct Schedule {
  std::string name, text;  // `text` as it was read
  std::uint64_t seed = 1;
  std::size_t gateways = 5, hosts = 3;
  double rate = 50;         // requests a second, over all gateways; 0: no clients
  double warm_up = 3;       // seconds before the faults
  double settle = 12;       // seconds after the last step; then all must agree
  double agree_within = 0;  // seconds after the last step; 0: `quorum_hold_ms`
  std::string settings;     // more lines for [peers] of each gateway
  std::vector<Step> steps;  // by time
};

std::string gateway_name(std::size_t n);

// Gateways are named g0, g1 and so on; "g2..g7" names a range, "all" all of them. Throws ScheduleError.
Schedule parse_schedule(const std::string& text, const std::string& place);
Schedule read_schedule(const std::string& path);

// A schedule drawn from `seed`, as TOML: some of all that can go wrong, and all of it over at the end. The
// same seed and size, the same schedule.
std::string random_schedule(std::uint64_t seed, std::size_t gateways);

}  // namespace cometfold::emulators::cluster
