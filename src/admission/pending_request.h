// A request that has not been answered or has attempts in flight, and its attempts.
#pragma once

#include <vector>

#include "admission/numeric.h"
#include "cometfold/attempt_rules.h"

namespace cometfold::admission {

// Has the members that attempt_rules.h requires.
struct Attempt {
  HostId host = 0;
  Ms sent_at = 0;
  HostLocation location = {};  // of the host when the attempt was sent
  Ms host_started_at = 0;      // start time of the process that it was sent to
  bool in_flight = true;
  bool may_have_executed = true;
  bool never_sent = false;
  bool cancelled = false;
  bool overdue = false;        // see OverdueDetector
  bool failed = false;         // overdue for so long that it counts as a failure of its host
  bool streaming = false;      // its response is being streamed; no longer counted as in flight at its host
  bool hedges_stream = false;  // sent as the host of a streamed response had paused
};

struct PendingRequest {
  Request request;
  ClassSettings class_settings;  // of its class at its arrival; later settings apply to later requests
  Ms arrived_at = 0;
  bool within_quota = false;
  bool charged = false;        // its units were taken when its first attempt was sent
  bool answered = false;       // answered or given up; kept until its attempts have ended
  bool streaming = false;      // the response to one of its attempts is being streamed
  bool stream_paused = false;  // and its host has paused: another attempt may be sent
  std::vector<Attempt> attempts;

  bool was_sent_to(HostId host) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [&](const Attempt& attempt) { return attempt.host == host; });
  }
  std::ptrdiff_t attempts_in_flight() const {
    return std::count_if(attempts.begin(), attempts.end(),
                         [](const Attempt& attempt) { return attempt.in_flight; });
  }
  bool was_never_sent() const {
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.never_sent; });
  }
  // Latency up to which an answer has its full value, in milliseconds.
  Ms latency_objective() const {
    return class_settings.latency_objective_ms > 0 ? class_settings.latency_objective_ms
                                                   : class_settings.deadline_ms;
  }
  // Time after which an answer has no value.
  Ms value_ends_at() const {
    const Ms objective_at =
        class_settings.late_value_fraction > 0 ? kInfiniteMs : arrived_at + latency_objective();
    return std::min(objective_at, request.expires_at);
  }
};

}  // namespace cometfold::admission
