// Deliberate faults, to show that the model checker and the monitors find them. Built in only with
// COMETFOLD_MUTANTS, for tools and tests; elsewhere `mutant` is a constant false and costs nothing. The names
// by which the model checker's options and trace files call them are in explore/mutant_names.cpp.
#pragma once

namespace cometfold::engine {

enum class Mutant : unsigned char {
  kNone,
  kDuplicateReply,                // a second final reply reaches the front end
  kReportsResetAsConnectFailure,  // a connection lost after the last byte is reported as a failed connect
  kKeepsWaitingAttemptsOnDrain,   // a drained host's attempts that wait for their connection are kept
  kSendsAfterReply,               // attempts that wait for their connection are not withdrawn after the reply
  kServesAbandonedAttempt,        // the reply of an attempt that was abandoned is still used
  kAcceptsExtraBytes,             // bytes behind a complete reply are taken for the next one
  kIgnoresClientDisconnect,       // the engine ignores that a client has disconnected
  kNoDeadlineTimer,               // no timer for a request's deadline
  kDropsRequestOnPolicyException,  // a request on which the policy threw is forgotten without a reply
  kServesMalformedReply,           // a malformed reply is passed on as a value
  kNoRetirementOnPolicyException,  // hosts are not retired if the policy throws on the host list
  kAllowsDuplicateIdentity,        // two open requests may have one identity
  kRepliesOutOfOrder,              // replies on one client connection are written as they arrive
  kShutdownWithoutReplies,         // the shutdown leaves open requests without a reply
  kLeaksIdentity,                  // an identity stays reserved after its request's reply
  kReadsAfterMalformedReply,       // what follows a malformed reply is taken for the reply
  kReleasesIdentityEarly,          // an identity is free before its reply is written completely
  kReportsAttemptEndTwice,         // the policy is notified of one attempt end twice
};

constexpr int kMutantCount = 19;  // with kNone

#ifdef COMETFOLD_MUTANTS
inline thread_local Mutant active_mutant = Mutant::kNone;
inline bool mutant(Mutant which) { return active_mutant == which; }
#else
constexpr bool mutant(Mutant) { return false; }
#endif

}  // namespace cometfold::engine
