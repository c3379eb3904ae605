#include "explore/coverage.h"

namespace cometfold::explore {

const char* name_of(CoverageGoal goal) {
  switch (goal) {
    case CoverageGoal::kHedgedAttemptInFlight:
      return "a second copy out";
    case CoverageGoal::kThirdAttempt:
      return "a third attempt";
    case CoverageGoal::kReplyAfterRetry:
      return "an earlier attempt answered after a retry";
    case CoverageGoal::kAttemptLost:
      return "an attempt lost after its last byte";
    case CoverageGoal::kDrainWhileWaiting:
      return "a drain told while an attempt waits for its connection";
    case CoverageGoal::kDrainDuringRetry:
      return "a drain told during a resend";
    case CoverageGoal::kReplacedWhileWaiting:
      return "a host replaced at its address while an attempt waits";
    case CoverageGoal::kReplyAtDeadline:
      return "an answer at the deadline, before its timer";
    case CoverageGoal::kDeadlineBeforeReply:
      return "a deadline's timer with an attempt out";
    case CoverageGoal::kDisconnectWithAttemptInFlight:
      return "a client gone with an attempt out";
    case CoverageGoal::kDisconnectAtInstantOfReply:
      return "a client gone at the instant of its answer";
    case CoverageGoal::kShutdownWithHedgedAttempt:
      return "a stop with a second copy out";
    case CoverageGoal::kCrashWithAttemptInFlight:
      return "a crash with an attempt out";
    case CoverageGoal::kIdentityReused:
      return "an id used again after its answer";
    case CoverageGoal::kPolicyThrew:
      return "the module threw";
    case CoverageGoal::kPolicyActedAfterReply:
      return "the module sent or answered after the end";
    case CoverageGoal::kCount:
      break;
  }
  return "";
}

}  // namespace cometfold::explore
