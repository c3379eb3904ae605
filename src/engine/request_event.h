// Events in the life of a request, for tracing.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "cometfold/attempt_rules.h"
#include "engine/request.h"

namespace cometfold::engine {

struct RequestEvent {
  enum Kind : std::uint8_t {
    kAccepted,
    kSent,
    kFirstByte,
    kWritten,
    kEnded,
    kServed,
    kRejected,
    kFailed,
    kClientDisconnected
  };
  Kind kind = kAccepted;
  Ms at = 0;
  RequestId request = 0;
  std::uint64_t identity = 0;                         // its id in the clients' and hosts' protocols
  ResponseHandle response = {};                       // kAccepted
  Ms remaining_ms = 0;                                // kAccepted, kSent, kFirstByte: until the deadline
  AttemptId attempt = 0;                              // kSent to kEnded
  HostId host = 0;                                    // kSent to kEnded: the attempt's host
  Outcome outcome = Outcome::kOk;                     // kEnded
  std::optional<RejectionReason> reason = {};         // kRejected, kFailed: set if the policy decided it
  AttemptVerdict verdict = AttemptVerdict::kAllowed;  // kFirstByte: kAllowed, or why the rules prevented it
};

using RequestEventListener = std::function<void(const RequestEvent&)>;

}  // namespace cometfold::engine
