// The figures that operators fetch, as statsd lines. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "engine/engine.h"

namespace cometfold::ops {

// Of the other gateways; names as shown.
struct PeerMetrics {
  std::vector<std::pair<std::string, std::uint64_t>> gauges, counts;
};

struct GatewayMetrics {
  std::size_t in_progress = 0;               // requests taken and not yet ended
  std::size_t known_hosts = 0;               // in the list
  std::size_t excluded_hosts = 0;            // listed, and avoided now
  std::uint64_t config_reloads = 0;          // files taken at SIGHUP
  std::uint64_t config_reload_errors = 0;    // and turned down
  engine::RejectionMetrics rejections = {};  // or given up
  engine::RuleMetrics rules = {};
  engine::AttemptMetrics attempts = {};
  std::vector<std::pair<std::string_view, std::uint64_t>> closed = {};  // clients' connections, by reason
  std::uint64_t forbidden_closes = 0;     // that the rules did not allow: faults
  std::optional<PeerMetrics> peers = {};  // if there are any
};

// One line a figure: `NAME:VALUE|c` for a count since the start, `NAME:VALUE|g` for what holds now. `labels`
// names the classes by number; classes of one name, as a class that changed its kind leaves them, are one
// line. A class beyond `class_names` has had no request yet.
std::string render_metrics(const GatewayMetrics& figures, std::span<const std::string> labels,
                           std::span<const engine::ClassMetrics> classes);

}  // namespace cometfold::ops
