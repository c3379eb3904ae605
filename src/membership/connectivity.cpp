#include "membership/connectivity.h"

#include <algorithm>

namespace cometfold::membership {

ConnectivityState ConnectivityTracker::classify(const ReachabilitySample& sample) {
  if (sample.reachable <= 1) return ConnectivityState::kIsolated;
  if (2 * sample.reachable < sample.known) return ConnectivityState::kPartitioned;
  if (sample.local_fault || 4 * sample.reachable <= 3 * sample.known) return ConnectivityState::kDegraded;
  return ConnectivityState::kConnected;
}

bool ConnectivityTracker::update(Ms now, const ReachabilitySample& sample) {
  const ConnectivityState sampled = classify(sample);
  if (sampled == state_) {
    recovery_.reset();
    return false;
  }
  if (sampled > state_) return enter(now, sampled);
  // The first contact after the start ends isolation at once: there is no earlier state to flap back to.
  const bool first_contact = state_ == ConnectivityState::kIsolated && since_ == 0;
  if (first_contact) return enter(now, sampled);
  if (!recovery_) recovery_ = Recovery{now, sampled};
  recovery_->worst = std::max(recovery_->worst, sampled);
  if (now - recovery_->since < recovery_hold_) return false;
  return enter(now, recovery_->worst);
}

bool ConnectivityTracker::enter(Ms now, ConnectivityState state) {
  state_ = state;
  since_ = now;
  recovery_.reset();
  return true;
}

}  // namespace cometfold::membership
