#include "explore/world.h"

namespace cometfold::explore {

const char* name_of(Sight sight) {
  switch (sight) {
    case Sight::kSecondCopyOut:
      return "a second copy out";
    case Sight::kThirdAttempt:
      return "a third attempt";
    case Sight::kAnswerAfterRetry:
      return "an earlier attempt answered after a retry";
    case Sight::kLossBeforeRetry:
      return "an attempt lost after its last byte";
    case Sight::kDrainWhileWaiting:
      return "a drain told while an attempt waits for its connection";
    case Sight::kDrainDuringResend:
      return "a drain told during a resend";
    case Sight::kReplacedWhileWaiting:
      return "a host replaced at its address while an attempt waits";
    case Sight::kAnswerAtDeadline:
      return "an answer at the deadline, before its timer";
    case Sight::kDeadlineBeforeAnswer:
      return "a deadline's timer with an attempt out";
    case Sight::kGoneWithAttemptOut:
      return "a client gone with an attempt out";
    case Sight::kGoneAfterAnswerAtOnce:
      return "a client gone at the instant of its answer";
    case Sight::kStopWithSecondCopy:
      return "a stop with a second copy out";
    case Sight::kCrashWithAttemptOut:
      return "a crash with an attempt out";
    case Sight::kIdUsedAgain:
      return "an id used again after its answer";
    case Sight::kModuleThrew:
      return "the module threw";
    case Sight::kSentAfterEnd:
      return "the module sent or answered after the end";
    case Sight::kCount:
      break;
  }
  return "";
}

}  // namespace cometfold::explore
