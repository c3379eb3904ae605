// Decides when a pending request is retried or hedged, within what its earlier attempts allow.
#pragma once

#include "admission/latency_statistics.h"
#include "admission/pending_request.h"
#include "admission/retry_budget.h"

namespace cometfold::admission {

// All referenced objects must outlive this one.
class RetryPolicy {
 public:
  RetryPolicy(const AdmissionSettings& settings, const LatencyStatistics& latency, const RetryBudget& budget)
      : settings_(settings), latency_(latency), budget_(budget) {}

  // The constraint that the request's deadline, bounds and earlier attempts and the settings impose now.
  RetryConstraint<Attempt> constraint(const PendingRequest& pending, Ms now) const;

  // Whether the maximum number of attempts and the request's retry window allow another attempt.
  bool has_attempts_left(const PendingRequest& pending, Ms now) const;
  bool may_hedge_request(const PendingRequest& pending) const {
    return settings_.hedging_allowed && pending.request.bounds.hedging_allowed;
  }
  // Whether a retry is within the budget and can be answered in time.
  bool is_retry_worthwhile(const PendingRequest& pending, Ms now) const;
  // Whether the last attempt has taken long enough to send another one.
  bool is_last_attempt_slow(const PendingRequest& pending, Ms now) const;
  bool is_deadline_due(const PendingRequest& pending, Ms now) const { return now >= last_event_at(pending); }
  // Time from now until the request must be checked again.
  Ms next_check_after(const PendingRequest& pending, Ms now) const;

 private:
  Ms retry_delay(const PendingRequest& pending) const;
  Ms last_event_at(const PendingRequest& pending) const {
    return pending.request.expires_at - settings_.min_event_interval_ms;
  }

  const AdmissionSettings& settings_;
  const LatencyStatistics& latency_;
  const RetryBudget& budget_;
};

}  // namespace cometfold::admission
