#include "admission/concurrency_limiter.h"

namespace cometfold::admission {
namespace {

constexpr double kUnloadedLatencyFactor = 3.5;  // target latency as a multiple of the unloaded latency
constexpr double kMinObjectiveFraction = 0.3;   // lower bound, as a fraction of the latency objective
constexpr double kMaxObjectiveFraction = 0.5;   // upper bound, likewise
constexpr double kMinRateSamples = 4;           // completions needed to measure a rate
constexpr Ms kProvenRateMemoryMs = 60'000;

}  // namespace

void ConcurrencyLimiter::on_settings_changed() {
  shortest_objective_ = kInfiniteMs;
  for (const auto& class_settings : settings_.classes) {
    const Ms objective = class_settings.latency_objective_ms > 0 ? class_settings.latency_objective_ms
                                                                 : class_settings.deadline_ms;
    shortest_objective_ = std::min(shortest_objective_, objective);
  }
}

Ms ConcurrencyLimiter::target_latency() const {
  return std::clamp(kUnloadedLatencyFactor * latency_.unloaded_latency(),
                    kMinObjectiveFraction * shortest_objective_, kMaxObjectiveFraction * shortest_objective_);
}

// After an idle period or the gateway's start there are no recent completions. So a warm host that has never
// answered gets a higher minimum limit, and one that was idle until just now may use its proven rate.
bool ConcurrencyLimiter::is_at_limit(Host& host, Ms target_latency, Ms now) const {
  hosts_.decay(host, now);
  const bool warm = !slow_start_.is_warming_up(host, now);
  const bool unanswered = host.newest_answered_sent_at <= 0 && warm;
  const double min_limit =
      (unanswered ? kInitialInFlight : kMinInFlight) / std::max(settings_.gateway_count, 1.0);
  const bool idle_before = now - host.busy_since < target_latency && warm;
  const double rate = std::max(host.completion_rate, idle_before ? proven_rate(host, now) : 0.0);
  return host.live_attempts() >= std::max(min_limit, rate * target_latency / 1000) + 1;
}

void ConcurrencyLimiter::record_send(Host& host, Ms now) const {
  if (host.live_attempts() > 0) return;
  host.silent_since = now;
  host.busy_since = now;
  host.busy_completions = 0;
}

void ConcurrencyLimiter::record_completion(Host& host, Ms now) const {
  host.completion_rate += 1000 / kThroughputMemoryMs;
  host.busy_completions += 1;
  if (host.busy_completions < kMinRateSamples) return;
  const Ms busy = std::max(now - host.busy_since, kTickIntervalMs);
  host.proven_rate = std::max(proven_rate(host, now), host.busy_completions * 1000 / busy);
  host.proven_at = now;
}

double ConcurrencyLimiter::proven_rate(const Host& host, Ms now) const {
  return host.proven_rate * decay_factor(now - host.proven_at, kProvenRateMemoryMs);
}

void ConcurrencyLimiter::restore(Host& host, double proven_rate, Ms now) const {
  host.proven_rate = finite_or(proven_rate, 0);
  host.proven_at = now;
}

}  // namespace cometfold::admission
