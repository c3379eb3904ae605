// Whether this process itself is too slow to judge others, as in Dadgar et al., "Lifeguard", 2017.
#pragma once

#include <optional>

#include "membership/settings.h"

namespace cometfold::membership {

class LocalHealth {
 public:
  // `settings` outlives this.
  explicit LocalHealth(const MembershipSettings& settings) : settings_(settings) {}

  // To be called at each tick. A tick that is late by more than a ping interval means that this process was
  // paused or starved: gives by how many ms it was late, else nothing.
  std::optional<Ms> observe_tick(Ms now);

  // 0 (healthy) to 8. Each point lets a subject miss one more ping before it is suspected.
  int score() const { return score_; }
  bool is_degraded() const;

  // For this long the silence of others is put down to the pause.
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
