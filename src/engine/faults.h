// Deliberate faults, to show that the explorer and the monitors find them. Built in only with
// COMETFOLD_MUTANTS, for tools and tests; elsewhere `mutant` is a constant false and costs nothing.
#pragma once

namespace cometfold::engine {

enum class Mutant : unsigned char {
  kNone,
  kAnswersTwice,          // a second final answer reaches the front end
  kResendsAfterReset,     // a break after the last byte is told as 'could not connect'
  kForgetsWaitingDrain,   // a drained host's attempts that wait for their connection go on
  kSendsAfterAnswer,      // what still waits when the answer is out is not withdrawn
  kServesLateAnswer,      // an attempt that was given up is still heard
  kIgnoresNoise,          // what comes behind a good answer is taken for the next one
  kLosesGoneClient,       // a client that went is not told to the engine
  kForgetsDeadline,       // no timer for a request's time
  kLosesThrownRequest,    // a request whose module call threw is dropped unanswered
  kServesSpoilt,          // a spoilt answer is passed on as a value
  kSkipsRetireOnThrow,    // a module that throws on a list keeps drained hosts in use
  kSharesIdentity,        // two open requests may have one identity
  kAnswersOutOfOrder,     // answers on one client connection go out as they come
  kStopsWithoutSettling,  // the stop leaves open requests unanswered
  kKeepsIdentity,         // an id stays taken after its request's answer
  kReadsOnAfterSpoilt,    // what comes behind a spoilt answer is taken for the answer
  kFreesIdentityEarly,    // an id is free though its answer is not all out
  kReportsEndTwice,       // the module is told of one end twice
};

constexpr int kMutants = 19;  // with kNone

#ifdef COMETFOLD_MUTANTS
inline thread_local Mutant active_mutant = Mutant::kNone;
inline bool mutant(Mutant which) { return active_mutant == which; }
#else
constexpr bool mutant(Mutant) { return false; }
#endif

}  // namespace cometfold::engine
