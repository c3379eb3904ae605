// Deliberate faults (mutants), to show that the model checker and the monitors find them. Compiled in only
// with COMETFOLD_MUTANTS, for tools and tests; otherwise `mutant` is constant false and costs nothing. Their
// names in the model checker's options and trace files are in explore/mutant_names.cpp.
#pragma once

namespace cometfold::engine {

enum class Mutant : unsigned char {
  kNone,
  kDuplicateReply,                 // a second final reply reaches the front end
  kReportsResetAsConnectFailure,   // a connection lost after the last byte is reported as a failed connect
  kKeepsWaitingAttemptsOnDrain,    // waiting attempts to a draining host are not ended
  kSendsAfterReply,                // waiting attempts are not withdrawn after the reply
  kServesAbandonedAttempt,         // the reply of an attempt that was abandoned is still used
  kAcceptsExtraBytes,              // bytes after a complete reply are taken for the next reply
  kIgnoresClientDisconnect,        // the engine ignores that a client has disconnected
  kNoDeadlineTimer,                // no timer for a request's deadline
  kDropsRequestOnPolicyException,  // a request on which the policy threw is erased without a reply
  kServesMalformedReply,           // a malformed reply is passed on as a value
  kNoRetirementOnPolicyException,  // hosts are not retired if the policy throws on the host list
  kAllowsDuplicateIdentity,        // two open requests may have one identity
  kRepliesOutOfOrder,              // replies on one client connection are written as they arrive
  kShutdownWithoutReplies,         // the shutdown leaves open requests without a reply
  kLeaksIdentity,                  // an identity stays reserved after its request's reply
  kReadsAfterMalformedReply,       // bytes after a malformed reply are taken for the reply
  kReleasesIdentityEarly,          // an identity is free before its reply is written completely
  kReportsAttemptEndTwice,         // the policy is notified of one attempt end twice
};

constexpr int kMutantCount = 19;  // including kNone

#ifdef COMETFOLD_MUTANTS
inline thread_local Mutant active_mutant = Mutant::kNone;
inline bool mutant(Mutant which) { return active_mutant == which; }
#else
constexpr bool mutant(Mutant) { return false; }
#endif

}  // namespace cometfold::engine
