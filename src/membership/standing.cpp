#include "membership/standing.h"

#include <algorithm>

namespace cometfold::membership {

ConnectivityState ConnectivityTracker::classify(const ReachabilitySample& h) {
  if (h.reachable <= 1) return ConnectivityState::kIsolated;
  if (2 * h.reachable < h.known) return ConnectivityState::kPartitioned;
  if (h.local_fault || 4 * h.reachable <= 3 * h.known) return ConnectivityState::kDegraded;
  return ConnectivityState::kConnected;
}

bool ConnectivityTracker::update(Ms now, const ReachabilitySample& hearing) {
  const ConnectivityState seen = classify(hearing);
  if (seen == now_) {
    better_since_ = -1;
    return false;
  }
  if (seen < now_) {
    if (better_since_ < 0) better_since_ = now, worst_lately_ = seen;
    worst_lately_ = std::max(worst_lately_, seen);
    // The first word from another ends being alone at once: there is nothing to swing back to.
    const bool first = now_ == ConnectivityState::kIsolated && since_ == 0;
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
