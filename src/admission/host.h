// What is kept of one host, each part by the class that it is named for.
#pragma once

#include <vector>

#include "admission/numeric.h"
#include "cometfold/attempt_rules.h"

namespace cometfold::admission {

inline constexpr Ms kFirstEjectionMs = 1000;
// Memory of completions and sends; short, as a stall must show.
inline constexpr Ms kThroughputMemoryMs = 1500;

struct Host {
  HostEntry entry;
  bool listed = false;
  bool departing = false;  // drains or was removed

  double attempts_in_flight = 0;
  double overdue_attempts = 0;     // of those in flight; see OverdueDetector
  Ms silent_since = 0;             // last answer, or the send that ended an idle time
  Ms newest_answered_sent_at = 0;  // when the latest attempt that was answered was sent
  Ms decayed_at = 0;

  // HostTable
  double reported_load = 0;  // requests waiting, and the part of the cores in use
  Ms reported_at = -kInfiniteMs;

  // LatencyStatistics
  double relative_latency = 1;  // latency against the mean of the request's class

  // OverloadStatistics
  std::vector<double> rejection_rates;  // by plan, then by class; empty: none yet

  // OutlierDetector
  double failure_rate = 0;
  Ms ejected_until = 0;
  Ms next_ejection_ms = kFirstEjectionMs;

  // ConcurrencyLimiter
  double completion_rate = 0;   // a second, through this gateway
  Ms busy_since = 0;            // the send that ended the last idle time
  double busy_completions = 0;  // completions since then
  double proven_rate = 0;       // most completions a second so measured, as of `proven_at`
  Ms proven_at = 0;

  bool is_usable() const { return listed && !departing; }
  // Attempts in flight that may still be answered.
  double live_attempts() const { return std::max(attempts_in_flight - overdue_attempts, 0.0); }
  // Time since the start of its process; negative if that is not known.
  Ms uptime(Ms now) const { return entry.started_at > 0 ? now - entry.started_at : -1; }
};

}  // namespace cometfold::admission
