#include "engine/timer_queue.h"

#include <utility>

namespace cometfold::engine {

namespace {

// Above a size of kMinRebuildSize plus kMaxTimersPerRequest for each request, most timers belong to erased
// requests, and the queue is rebuilt without them.
constexpr std::size_t kMinRebuildSize = 2048;
constexpr std::size_t kMaxTimersPerRequest = 12;

}  // namespace

std::optional<Timer> TimerQueue::pop_expired(Ms now) {
  if (timers_.empty() || timers_.top().at > now) return {};
  const Timer first = timers_.top();
  timers_.pop();
  return first;
}

std::optional<Ms> TimerQueue::next(const RequestTable& requests) {
  drop_obsolete(requests);
  if (timers_.empty()) return {};
  return timers_.top().at;
}

void TimerQueue::drop_obsolete(const RequestTable& requests) {
  while (!timers_.empty() && requests.is_erased(timers_.top().token)) timers_.pop();
  // Timers of finished requests with distant deadlines accumulate below the top.
  if (timers_.size() <= kMinRebuildSize + kMaxTimersPerRequest * requests.size()) return;
  std::vector<Timer> active;
  for (; !timers_.empty(); timers_.pop()) {
    if (!requests.is_erased(timers_.top().token)) active.push_back(timers_.top());
  }
  timers_ = decltype(timers_)(std::greater<>(), std::move(active));
}

void TimerQueue::digest(const RequestTable& requests, Digest& into) const {
  for (auto timers = timers_; !timers.empty(); timers.pop()) {
    const Timer& timer = timers.top();
    if (requests.is_erased(timer.token)) continue;
    into.add(timer.at);
    into.add(timer.token * 2 + timer.kind);
  }
}

}  // namespace cometfold::engine
