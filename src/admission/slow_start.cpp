#include "admission/slow_start.h"

namespace cometfold::admission {
namespace {

// Fraction of a warming-up host's capacity that is used; the rest allows for estimation errors and
// randomness.
constexpr double kSafetyFactor = 0.6;

}  // namespace

double SlowStart::weight(const Host& host, Ms now) const {
  if (!is_warming_up(host, now)) return 1;
  const Ms age = now - host.entry.started_at;
  const double progress = std::clamp(age / settings_.slow_start_duration_ms, 0.0, 1.0);
  return settings_.slow_start_initial_weight + (1 - settings_.slow_start_initial_weight) * progress;
}

SlowStart::FleetSummary SlowStart::summarize(HostTable& hosts, Ms now) const {
  FleetSummary fleet;
  for (auto& [id, host] : hosts) {
    if (!host.is_usable()) continue;
    hosts.decay(host, now);
    fleet.usable_hosts += 1;
    fleet.total_weight += weight(host, now);
    if (is_warming_up(host, now)) continue;
    fleet.warm_hosts += 1;
    fleet.warm_completion_rate += host.completion_rate;
  }
  return fleet;
}

// A warm host's share of the sends. Where many hosts are warming up, each warm one receives more than an
// equal share, so its share of the completions is used if that is higher.
double SlowStart::even_fraction(const FleetSummary& fleet) const {
  const double even = 1 / fleet.usable_hosts;
  if (fleet.warm_hosts <= 0 || send_rate_ <= 0) return even;
  return std::max(even, std::min(1.0, fleet.warm_completion_rate / send_rate_) / fleet.warm_hosts);
}

const Host* SlowStart::select(HostTable& hosts, RandomSource& random, Ms now) const {
  const FleetSummary fleet = summarize(hosts, now);
  if (fleet.warm_hosts >= fleet.usable_hosts) return nullptr;
  const double max_fraction = kSafetyFactor * settings_.overload_factor * even_fraction(fleet);
  double remaining = random.uniform();
  for (const auto& [id, host] : hosts) {
    if (!host.is_usable() || !is_warming_up(host, now)) continue;
    remaining -= weight(host, now) * std::min(1 / fleet.total_weight, max_fraction);
    if (remaining < 0) return &host;
  }
  return nullptr;
}

void SlowStart::record_send(Ms now) {
  send_rate_ = send_rate_ * decay_factor(now - sent_at_, kThroughputMemoryMs) + 1000 / kThroughputMemoryMs;
  sent_at_ = now;
}

}  // namespace cometfold::admission
