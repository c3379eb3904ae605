// A request that has no final answer yet, or attempts in flight, and its attempts.
#pragma once

#include <vector>

#include "admission/numeric.h"
#include "cometfold/attempt_rules.h"

namespace cometfold::admission {

// The fields that attempt_rules.h names are under its names.
struct Attempt {
  HostId host = 0;
  Ms sent = 0;
  HostLocation place = {};  // of the host when the attempt was sent
  bool out = true;
  bool may_have_run = true;
  bool never_sent = false;
  bool cancelled = false;
  bool overdue = false;    // see OverdueDetector
  bool failed = false;     // overdue for so long that it counts as a failure of its host
  bool streaming = false;  // its long value is coming: it counts at its host no more
};

struct PendingRequest {
  Request request;
  ClassSettings terms;  // of its class when it came: later settings are for later requests
  Ms arrived_at = 0;
  bool within_quota = false;
  bool charged = false;    // its units were taken: it was sent at least once
  bool answered = false;   // has its final answer; kept until its attempts have ended
  bool streaming = false;  // a long value is coming from one of its attempts
  std::vector<Attempt> attempts;

  bool was_sent_to(HostId host) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [&](const Attempt& attempt) { return attempt.host == host; });
  }
  std::ptrdiff_t attempts_in_flight() const {
    return std::count_if(attempts.begin(), attempts.end(),
                         [](const Attempt& attempt) { return attempt.out; });
  }
  bool was_never_sent() const {
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.never_sent; });
  }
  // Latency that counts as good, in milliseconds.
  Ms latency_objective() const {
    return terms.latency_objective_ms > 0 ? terms.latency_objective_ms : terms.deadline_ms;
  }
  // After it an answer has no value.
  Ms value_ends_at() const {
    const Ms objective_at = terms.late_value_fraction > 0 ? kInfiniteMs : arrived_at + latency_objective();
    return std::min(objective_at, request.expires_at);
  }
};

}  // namespace cometfold::admission
