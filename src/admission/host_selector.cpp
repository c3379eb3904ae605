#include "admission/host_selector.h"

#include <iterator>

#include "admission/fleet_size.h"

namespace cometfold::admission {
namespace {

constexpr double kFailureCostFactor = 8;  // a failure rate of 1 multiplies the cost by 1 plus this
constexpr double kOtherZoneFactor = 1.15;
constexpr double kUnconnectedFactor = 1.3;  // for hosts that need a new connection, in large fleets
// A connection that was idle for less than this fraction of its idle timeout is surely still open.
constexpr double kConnectedIdleFraction = 7 / 15.0;
constexpr double kCostJitter = 0.02;  // spreads requests over hosts of equal cost
constexpr double kHealthChecksPerSend = 0.5;
constexpr Ms kHealthCheckSilenceMs = 1500;  // hosts that have answered since need no check

}  // namespace

Host* HostSelector::select(const PendingRequest& pending, const RetryConstraint<Attempt>& constraint,
                           Ms now) const {
  const Host* warming_up = parts_.slow_start.select(parts_.hosts, parts_.random, now);
  const Search search{pending, constraint, warming_up, parts_.limiter.target_latency(), now};
  Host* host = cheapest(search, false);
  return host != nullptr ? host : cheapest(search, true);
}

Host* HostSelector::cheapest(const Search& search, bool last_resort) const {
  const PendingRequest& pending = search.pending;
  const Ms now = search.now;
  Host* best = nullptr;
  double best_cost = 0;
  for (auto& [id, host] : parts_.hosts) {
    if (!host.is_usable()) continue;
    if (!search.constraint.allows(pending.class_settings, id, location_of(host.entry), host.entry.started_at))
      continue;
    if (parts_.limiter.is_at_limit(host, search.target_latency, now)) continue;
    if (!last_resort && (pending.was_sent_to(id) || parts_.outliers.is_ejected(host, now))) continue;
    const bool selected = &host == search.warming_up;
    if (!selected && parts_.slow_start.is_warming_up(host, now)) continue;
    const double cost =
        selected ? 0
                 : expected_cost(host, pending.request, now) * (1 + kCostJitter * parts_.random.uniform());
    if (best != nullptr && cost >= best_cost) continue;
    best = &host;
    best_cost = cost;
  }
  return best;
}

// Expected time to an answer, for comparing hosts. The latency of a host with attempts in flight is taken to
// be at least the time for which it has been silent. This avoids dead, partitioned and stuck hosts before
// their attempts time out.
double HostSelector::expected_cost(Host& host, const Request& request, Ms now) const {
  parts_.hosts.decay(host, now);
  Ms latency = parts_.latency.class_latency(request.class_index) * host.relative_latency;
  if (host.live_attempts() > 0) latency = std::max(latency, now - host.silent_since);
  const double load = host.attempts_in_flight + 1 + parts_.hosts.expected_load(host, now);
  const double failures = host.failure_rate + parts_.overload.rejection_rate(host, request);
  double cost = latency * load * (1 + kFailureCostFactor * failures);
  const bool connected =
      host.newest_answered_sent_at > 0 &&
      now - host.silent_since <= kConnectedIdleFraction * parts_.settings.connection_idle_timeout_ms;
  if (is_large_fleet(parts_.settings.gateway_count) && !connected) cost *= kUnconnectedFactor;
  return host.entry.zone == parts_.settings.local_zone ? cost : cost * kOtherZoneFactor;
}

std::optional<HostId> HostSelector::select_for_health_check(Ms now) const {
  HostTable& hosts = parts_.hosts;
  if (!parts_.settings.health_checks_allowed || hosts.size() == 0) return {};
  if (parts_.random.uniform() > kHealthChecksPerSend) return {};
  const Host* oldest = nullptr;
  for (int i = 0; i < 2; ++i) {
    const double position = parts_.random.uniform() * static_cast<double>(hosts.size());
    const Host& host = std::next(hosts.begin(), static_cast<std::ptrdiff_t>(position))->second;
    if (!host.is_usable()) continue;
    if (oldest == nullptr || host.reported_at < oldest->reported_at) oldest = &host;
  }
  if (oldest == nullptr || now - oldest->silent_since <= kHealthCheckSilenceMs) return {};
  return oldest->entry.id;
}

bool HostSelector::has_untried_host(const PendingRequest& pending, Ms now) const {
  return std::any_of(parts_.hosts.begin(), parts_.hosts.end(), [&](const auto& entry) {
    const auto& [id, host] = entry;
    return !pending.was_sent_to(id) && host.is_usable() && !parts_.outliers.is_ejected(host, now);
  });
}

}  // namespace cometfold::admission
