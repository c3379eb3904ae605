// The state of one host. Each group of fields is maintained by the class that it is named after.
#pragma once

#include <vector>

#include "admission/numeric.h"
#include "cometfold/attempt_rules.h"

namespace cometfold::admission {

inline constexpr Ms kFirstEjectionMs = 1000;
// Time constant of completion and send rates; short, so that a stall shows quickly.
inline constexpr Ms kThroughputMemoryMs = 1500;

struct Host {
  HostEntry entry;
  bool listed = false;
  bool departing = false;  // draining or removed

  double attempts_in_flight = 0;
  double overdue_attempts = 0;     // of those in flight; see OverdueDetector
  Ms silent_since = 0;             // last answer, or the send that ended an idle period
  Ms newest_answered_sent_at = 0;  // latest send time of all attempts that were answered
  Ms decayed_at = 0;

  // HostTable
  double reported_load = 0;  // waiting requests plus utilization
  Ms reported_at = -kInfiniteMs;

  // LatencyStatistics
  double relative_latency = 1;  // latency relative to the mean of the request's class

  // OverloadStatistics
  std::vector<double> rejection_rates;  // by plan, then by class; empty until a result is recorded

  // OutlierDetector
  double failure_rate = 0;
  Ms ejected_until = 0;
  Ms next_ejection_ms = kFirstEjectionMs;

  // ConcurrencyLimiter
  double completion_rate = 0;   // per second, through this gateway
  Ms busy_since = 0;            // the send that ended the last idle period
  double busy_completions = 0;  // completions since then
  double proven_rate = 0;       // highest completions per second over busy periods, as of `proven_at`
  Ms proven_at = 0;

  bool is_usable() const { return listed && !departing; }
  // Attempts in flight that may still be answered.
  double live_attempts() const { return std::max(attempts_in_flight - overdue_attempts, 0.0); }
  // Time since the start of its process; negative if unknown.
  Ms uptime(Ms now) const { return entry.started_at > 0 ? now - entry.started_at : -1; }
};

}  // namespace cometfold::admission
