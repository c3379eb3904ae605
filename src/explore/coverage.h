// Coverage goals: which situations the runs of a scenario have reached.
#pragma once

#include <cstdint>

namespace cometfold::explore {

// Situations that the scenarios are meant to reach. A scenario that reaches none of them proves nothing.
enum class CoverageGoal : std::uint8_t {
  kHedgedAttemptInFlight,
  kThirdAttempt,
  kReplyAfterRetry,
  kAttemptLost,
  kDrainWhileWaiting,
  kDrainDuringRetry,
  kReplacedWhileWaiting,
  kReplyAtDeadline,
  kDeadlineBeforeReply,
  kDisconnectWithAttemptInFlight,
  kDisconnectAtInstantOfReply,
  kShutdownWithHedgedAttempt,
  kCrashWithAttemptInFlight,
  kIdentityReused,
  kPolicyThrew,
  kPolicyActedAfterReply,
  kCount
};
const char* name_of(CoverageGoal goal);

// A set of goals: bit i for the goal of value i.
using Coverage = std::uint32_t;
inline Coverage coverage_bit(CoverageGoal goal) { return Coverage{1} << static_cast<unsigned>(goal); }

}  // namespace cometfold::explore
