#include "explore/coverage.h"

namespace cometfold::explore {

const char* name_of(CoverageGoal goal) {
  switch (goal) {
    case CoverageGoal::kHedgedAttemptInFlight:
      return "a hedged attempt in flight";
    case CoverageGoal::kThirdAttempt:
      return "a third attempt";
    case CoverageGoal::kReplyAfterRetry:
      return "a reply to an earlier attempt after a retry";
    case CoverageGoal::kAttemptLost:
      return "an attempt lost after its last byte was written";
    case CoverageGoal::kDrainWhileWaiting:
      return "a drain or removal while an attempt waits to connect";
    case CoverageGoal::kDrainDuringRetry:
      return "a drain or removal during a retry";
    case CoverageGoal::kReplacedWhileWaiting:
      return "a host replaced while an attempt waits to connect";
    case CoverageGoal::kReplyAtDeadline:
      return "a reply at the deadline, before its timer";
    case CoverageGoal::kDeadlineBeforeReply:
      return "a deadline timer with an attempt in flight";
    case CoverageGoal::kDisconnectWithAttemptInFlight:
      return "a client disconnect after an attempt was written";
    case CoverageGoal::kDisconnectAtInstantOfReply:
      return "a client disconnect at the instant of a reply";
    case CoverageGoal::kShutdownWithHedgedAttempt:
      return "a shutdown with a hedged attempt in flight";
    case CoverageGoal::kCrashWithAttemptInFlight:
      return "a crash with an attempt in flight";
    case CoverageGoal::kIdentityReused:
      return "an id reused after its reply";
    case CoverageGoal::kPolicyThrew:
      return "the policy threw an exception";
    case CoverageGoal::kPolicyActedAfterReply:
      return "the policy acted on a request after its reply";
    case CoverageGoal::kCount:
      break;
  }
  return "";
}

}  // namespace cometfold::explore
