// A gateway's metrics, and their rendering as statsd lines. No I/O.
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

// Metrics of cluster membership, by exported name.
struct PeerMetrics {
  std::vector<std::pair<std::string, std::uint64_t>> gauges, counts;
};

// Bytes that the buffers of all connections hold (see resp::MemoryBudget), and dropped replies.
struct MemoryMetrics {
  std::size_t limit = 0;
  std::size_t replies = 0;
  std::size_t client_input = 0;
  std::size_t host_input = 0;
  std::size_t reserved = 0;
  std::uint64_t dropped_replies = 0;
};

struct GatewayMetrics {
  std::size_t in_progress = 0;             // requests accepted and not yet answered
  std::size_t known_hosts = 0;             // in the host list
  std::size_t excluded_hosts = 0;          // in the host list, but currently not used
  std::uint64_t config_reloads = 0;        // configurations accepted at SIGHUP
  std::uint64_t config_reload_errors = 0;  // configurations rejected at SIGHUP
  engine::RejectionMetrics rejections = {};
  engine::RuleMetrics rules = {};
  engine::AttemptMetrics attempts = {};
  engine::ValueMetrics values = {};
  std::vector<std::pair<std::string_view, std::uint64_t>> closed = {};  // clients' connections, by reason
  // Connections that were to be closed although the rules forbid it. Each is a bug of the gateway.
  std::uint64_t forbidden_closes = 0;
  MemoryMetrics memory = {};
  std::optional<PeerMetrics> peers = {};  // unset if the gateway is in no cluster
};

// Renders one line per metric: `NAME:VALUE|c` for a count since the start, `NAME:VALUE|g` for a gauge.
// `labels` holds the classes' names by class index. Classes with the same name are summed: a class whose
// idempotency changed gets a new index, and its old one remains. A class without an entry in `classes` has
// had no request yet.
std::string render_metrics(const GatewayMetrics& metrics, std::span<const std::string> labels,
                           std::span<const engine::ClassMetrics> classes);

}  // namespace cometfold::ops
