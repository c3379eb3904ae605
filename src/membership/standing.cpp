#include "membership/standing.h"

#include <algorithm>

namespace cometfold::membership {

Standing StandingRule::of(const Hearing& h) {
  if (h.heard <= 1) return Standing::kAlone;
  if (2 * h.heard < h.known) return Standing::kCutOff;
  if (h.own_fault || 4 * h.heard <= 3 * h.known) return Standing::kDoubtful;
  return Standing::kTogether;
}

bool StandingRule::look(Ms now, const Hearing& hearing) {
  const Standing seen = of(hearing);
  if (seen == now_) {
    better_since_ = -1;
    return false;
  }
  if (seen < now_) {
    if (better_since_ < 0) better_since_ = now, worst_lately_ = seen;
    worst_lately_ = std::max(worst_lately_, seen);
    // The first word from another ends being alone at once: there is nothing to swing back to.
    const bool first = now_ == Standing::kAlone && since_ == 0;
    if (!first && now - better_since_ < better_after_) return false;
    now_ = first ? seen : worst_lately_;
  } else {
    now_ = seen;
  }
  since_ = now;
  better_since_ = -1;
  return true;
}

}  // namespace cometfold::membership
