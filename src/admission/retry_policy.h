// When a pending request is retried or hedged, and what its earlier attempts allow.
#pragma once

#include "admission/latency_statistics.h"
#include "admission/pending_request.h"
#include "admission/retry_budget.h"

namespace cometfold::admission {

// All referenced objects outlive this one.
class RetryPolicy {
 public:
  RetryPolicy(const AdmissionSettings& settings, const LatencyStatistics& latency, const RetryBudget& budget)
      : settings_(settings), latency_(latency), budget_(budget) {}

  // What the request's time, its bounds, its earlier attempts and the site allow now.
  RetryConstraint<Attempt> constraint(const PendingRequest& pending, Ms now) const;

  // Whether the number of attempts and the request's retry window leave one more.
  bool has_attempts_left(const PendingRequest& pending, Ms now) const;
  bool may_hedge_request(const PendingRequest& pending) const {
    return settings_.hedging_allowed && pending.request.bounds.hedging_allowed;
  }
  // Whether a retry is within the budget and can be answered in time.
  bool is_retry_worthwhile(const PendingRequest& pending, Ms now) const;
  // Whether the last attempt has taken so long that another one should be sent.
  bool is_last_attempt_slow(const PendingRequest& pending, Ms now) const;
  bool is_deadline_due(const PendingRequest& pending, Ms now) const { return now >= last_event_at(pending); }
  // Time from now until the request has to be looked at again.
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
