// A gateway's metrics, and their rendering as statsd lines. Pure.
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

// Of the cluster's membership, by exported name.
struct PeerMetrics {
  std::vector<std::pair<std::string, std::uint64_t>> gauges, counts;
};

struct GatewayMetrics {
  std::size_t in_progress = 0;             // requests accepted and not yet answered
  std::size_t known_hosts = 0;             // listed
  std::size_t excluded_hosts = 0;          // listed, and not used at present
  std::uint64_t config_reloads = 0;        // configurations accepted at SIGHUP
  std::uint64_t config_reload_errors = 0;  // and rejected ones
  engine::RejectionMetrics rejections = {};
  engine::RuleMetrics rules = {};
  engine::AttemptMetrics attempts = {};
  std::vector<std::pair<std::string_view, std::uint64_t>> closed = {};  // clients' connections, by reason
  // Connections whose closing the rules did not allow. Each is a fault of this program.
  std::uint64_t forbidden_closes = 0;
  std::optional<PeerMetrics> peers = {};  // nothing if the gateway is in no cluster
};

// One line for each metric: `NAME:VALUE|c` for a count since the start, `NAME:VALUE|g` for a gauge. `labels`
// holds the classes' names by class index. Classes of one name are summed up: a class whose idempotency
// changed leaves its old index behind. A class without an entry in `classes` has had no request yet.
std::string render_metrics(const GatewayMetrics& metrics, std::span<const std::string> labels,
                           std::span<const engine::ClassMetrics> classes);

}  // namespace cometfold::ops
