#include "admission/retry_policy.h"

namespace cometfold::admission {
namespace {

// The retry delay is the longer one of these two.
constexpr double kRetryDelayClassLatencies = 8;  // in mean latencies of the class
constexpr double kRetryDelayObjectives = 0.6;    // as a fraction of the latency objective
constexpr double kWorthwhileFraction = 0.9;      // of the time in which answers have value; later is too late

}  // namespace

RetryConstraint<Attempt> RetryPolicy::constraint(const PendingRequest& pending, Ms now) const {
  if (pending.answered || (pending.streaming && !pending.stream_paused)) return {AttemptVerdict::kAnswered};
  if (now >= pending.request.expires_at) return {AttemptVerdict::kDeadlineExceeded};
  if (!has_attempts_left(pending, now)) return {AttemptVerdict::kTooManyAttempts};
  if (!may_hedge(pending.attempts, may_hedge_request(pending))) return {AttemptVerdict::kAttemptInFlight};
  return retry_constraint(pending.class_settings, pending.attempts, now);
}

bool RetryPolicy::has_attempts_left(const PendingRequest& pending, Ms now) const {
  const RequestBounds& bounds = pending.request.bounds;
  const double max_attempts = std::min(settings_.max_attempts, bounds.max_attempts);
  if (static_cast<double>(pending.attempts.size()) >= max_attempts) return false;
  return pending.attempts.empty() || now <= pending.arrived_at + bounds.retry_window_ms;
}

bool RetryPolicy::is_retry_worthwhile(const PendingRequest& pending, Ms now) const {
  if (pending.answered || !budget_.has_retry()) return false;
  const Ms time_of_value = pending.value_ends_at() - pending.arrived_at;
  return now < pending.arrived_at + kWorthwhileFraction * time_of_value;
}

Ms RetryPolicy::retry_delay(const PendingRequest& pending) const {
  return std::max(kRetryDelayClassLatencies * latency_.class_latency(pending.request.class_index),
                  kRetryDelayObjectives * pending.latency_objective());
}

bool RetryPolicy::is_last_attempt_slow(const PendingRequest& pending, Ms now) const {
  return now + kEpsilon >= pending.attempts.back().sent_at + retry_delay(pending);
}

Ms RetryPolicy::next_check_after(const PendingRequest& pending, Ms now) const {
  Ms next = last_event_at(pending);
  if (!pending.attempts.empty()) {
    const Ms retry_at = pending.attempts.back().sent_at + retry_delay(pending);
    if (retry_at > now && retry_at < pending.value_ends_at()) next = std::min(next, retry_at);
  }
  return std::max(next - now, 0.0);
}

}  // namespace cometfold::admission
