// Detects whether the local process is too slow to monitor others reliably (Dadgar et al., "Lifeguard",
// 2017).
#pragma once

#include <optional>

#include "membership/settings.h"

namespace cometfold::membership {

class LocalHealth {
 public:
  // `settings` must outlive this object.
  explicit LocalHealth(const MembershipSettings& settings) : settings_(settings) {}

  // Must be called at each tick. If the tick is late by more than a ping interval, this process was paused or
  // starved of CPU: returns the delay in ms, otherwise nothing.
  std::optional<Ms> observe_tick(Ms now);

  // From 0 (healthy) to 8. Each point allows a subject one more unanswered ping before it is suspected.
  int score() const { return score_; }
  bool is_degraded() const;

  // Until `end` the silence of other members is attributed to a pause of this process.
  void set_paused_until(Ms end) { paused_until_ = end; }
  bool recently_paused(Ms now) const { return now < paused_until_; }

 private:
  const MembershipSettings& settings_;
  Ms last_tick_at_ = 0;
  int score_ = 0;
  Ms score_changed_at_ = 0;
  Ms paused_until_ = -1;
};

}  // namespace cometfold::membership
