#include "net/gateway_limits.h"

#include <algorithm>
#include <cstddef>

namespace cometfold::net {

namespace {

// Subtracted from a client's deadline, which runs from when the client sends: for the network delay both ways
// and a briefly busy event loop.
constexpr Ms kDeadlineMargin = 20;

// For standard streams, listeners, discovery, epoll, operators and short-lived descriptors.
constexpr std::size_t kReservedDescriptors = 48;
constexpr std::size_t kMinDescriptors = 2;

// One in this many descriptors may be a client's idle connection.
constexpr std::size_t kDescriptorsPerUnusedConnection = 5;

// The platform sends SIGKILL once 0.7 s plus the longest deadline, of which at most 3 s count, have passed
// since new connections ceased to arrive.
constexpr Ms kMaxDrainDeadline = 3000;
constexpr Ms kDrainMargin = 450;

constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;
// The memory limit is divided into this many parts. Request bodies get one, of which attempts hold copies,
// the buffers of all connections together get four. The others are for the process itself.
constexpr std::size_t kMemoryParts = 8;
constexpr std::size_t kBufferMemoryParts = 4;

std::size_t usable_descriptors(const Config& config) {
  return config.max_descriptors > kReservedDescriptors ? config.max_descriptors - kReservedDescriptors
                                                       : kMinDescriptors;
}

std::size_t memory_part(const Config& config) {
  return config.memory_limit_mb * kBytesPerMegabyte / kMemoryParts;
}

// Over the classes that requests can name now; a class that a reload has removed has an empty name.
Ms longest_deadline(const Config& config) {
  Ms longest = 0;
  for (std::size_t i = 0; i < config.settings.classes.size(); ++i) {
    if (!config.class_names[i].empty()) longest = std::max(longest, config.settings.classes[i].deadline_ms);
  }
  return longest;
}

}  // namespace

resp::HostPoolLimits host_pool_limits(const Config& config) {
  const auto& own = config.gateway_settings;
  const double share = static_cast<double>(usable_descriptors(config)) * own.host_descriptor_share;
  resp::HostPoolLimits limits;
  limits.max_connections = std::max<std::size_t>(1, static_cast<std::size_t>(share));
  limits.max_connections_per_host = std::min(own.max_connections_per_host, limits.max_connections);
  limits.max_idle_per_host = own.max_idle_per_host;
  limits.idle_timeout_ms = config.connection_idle_timeout_ms;
  limits.reuse_delay_ms = own.connection_reuse_delay_ms;
  limits.connect_timeout_ms = config.connect_timeout_ms;
  return limits;
}

ClientLimits client_limits(const Config& config) {
  const auto descriptors = usable_descriptors(config);
  ClientLimits limits;
  limits.max_connections = std::max<std::size_t>(1, descriptors - host_pool_limits(config).max_connections);
  limits.max_unused_connections = std::max<std::size_t>(1, descriptors / kDescriptorsPerUnusedConnection);
  limits.max_buffer_bytes = kBufferMemoryParts * memory_part(config);
  return limits;
}

engine::EngineLimits engine_limits(const Config& config) {
  return {.max_open_requests = config.max_open_requests,
          .max_payload_bytes = memory_part(config),
          .deadline_margin_ms = kDeadlineMargin,
          .shutdown_timeout_ms = std::min(longest_deadline(config), kMaxDrainDeadline) + kDrainMargin};
}

// If discovery pushes its list, it is an agent on this machine that answers at once.
DiscoveryCallOptions discovery_call_options(const Config& config) {
  if (!config.settings.host_watch_required) return {.gateway_count = 1, .local_agent = true};
  return {.gateway_count = config.settings.gateway_count, .local_agent = false};
}

Config with_half_limits(Config config) {
  config.max_descriptors /= 2;
  config.memory_limit_mb = std::max<std::size_t>(1, config.memory_limit_mb / 2);
  return config;
}

}  // namespace cometfold::net
