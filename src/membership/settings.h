// Settings of the membership protocol, and the type of its source of random numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "cometfold/admission_controller.h"

namespace cometfold::membership {

// Returns a uniformly distributed number from 0 to below its argument.
using Draw = std::function<std::uint64_t(std::uint64_t)>;

struct MembershipSettings {
  Ms ping_interval_ms = 250;             // between two pings to each subject
  std::size_t observers_per_member = 5;  // members that monitor each member
  // Number of observers whose suspicion makes a member failed; a majority of its observers is always enough.
  std::size_t suspicion_quorum = 3;
  Ms quorum_hold_ms = 750;  // a quorum has to persist, so that a partition is recognized first
  // A member that has been unreachable for this long counts as failed even without a quorum.
  Ms unreachable_timeout_ms = 20'000;
  Ms tombstone_retention_ms = 600'000;    // how long failed and left members are remembered
  Ms recovery_hold_ms = 1000;             // for which a better connectivity state has to last
  std::size_t max_members = 4096;         // including failed and left members; further ones are rejected
  double max_datagrams_per_second = 200;  // outgoing; the excess is dropped and counted
};

}  // namespace cometfold::membership
