// The engine's timers in order of time: those that the policy has scheduled, and the deadlines of requests
// and attempts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "engine/digest.h"
#include "engine/request_table.h"

namespace cometfold::engine {

struct Timer {
  enum Kind : std::uint8_t { kPolicy, kDeadline };
  Ms at = 0;
  Kind kind = kPolicy;
  std::uint64_t token = 0;  // kPolicy: the policy's token; kDeadline: the request's id
  bool operator>(const Timer& other) const { return at > other.at; }
};

// Timers can't be cancelled. Those of erased requests are dropped when the next timer is looked up, so that
// they don't wake the process for nothing. A token up to the newest request's id is taken for the id of a
// request.
class TimerQueue {
 public:
  void push(const Timer& timer) { timers_.push(timer); }
  // Removes and returns the first timer, if it is at or before `now`.
  std::optional<Timer> pop_expired(Ms now);
  std::optional<Ms> next(const RequestTable& requests);
  std::size_t size() const { return timers_.size(); }
  void digest(const RequestTable& requests, Digest& into) const;

 private:
  void drop_obsolete(const RequestTable& requests);

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
};

}  // namespace cometfold::engine
