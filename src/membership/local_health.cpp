#include "membership/local_health.h"

#include <algorithm>
#include <utility>

#include "membership/faults.h"

namespace cometfold::membership {

namespace {

constexpr int kMaxScore = 8;
constexpr int kDegradedScore = 3;
constexpr Ms kScoreDecayMs = 5000;            // without a late tick, for each point to decay
constexpr double kLateIntervals = 1;          // ping intervals by which a tick may be late
constexpr double kSeverelyLateIntervals = 4;  // a single tick later than this degrades the process

}  // namespace

std::optional<Ms> LocalHealth::observe_tick(Ms now) {
  const Ms interval = settings_.ping_interval_ms;
  const Ms previous = std::exchange(last_tick_at_, now);
  const Ms late = previous > 0 ? now - previous - interval : 0;
  if (late <= kLateIntervals * interval || mutant(Mutant::kIgnoresPause)) {
    if (score_ > 0 && now - score_changed_at_ > kScoreDecayMs) {
      --score_;
      score_changed_at_ = now;
    }
    return std::nullopt;
  }
  score_ = std::min(kMaxScore, score_ + (late > kSeverelyLateIntervals * interval ? kDegradedScore : 1));
  score_changed_at_ = now;
  return late;
}

bool LocalHealth::is_degraded() const { return score_ >= kDegradedScore; }

}  // namespace cometfold::membership
