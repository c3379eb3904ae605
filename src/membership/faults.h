// Deliberate faults, to show that the tests of membership find them. Built in only with COMETFOLD_MUTANTS,
// for tests; elsewhere `mutant` is a constant false and costs nothing.
#pragma once

namespace cometfold::membership {

enum class Mutant : unsigned char {
  kNone,
  kDeclaresFailuresWhilePartitioned,
  kIgnoresPause,             // holds the time in which this process did not run against other members
  kNoSuspicionQuorum,        // the suspicion of one observer makes a member failed
  kLastRecordWins,           // the record that arrives last replaces a greater one
  kTrustsSecondHandRecords,  // takes a name from a member that does not reach it itself
  kKeepsMembersAfterPause,   // after a pause beyond the tombstones' retention, keeps the members it had
  kForgetsTombstonesAtOnce,
  kNeverYieldsName,           // of two processes with one name neither gives way
  kIgnoresOwnFailure,         // keeps its incarnation although others declared it failed
  kNeverWithdrawsSuspicions,  // a suspicion stands although its subject answers
  kNoDigestComparison,        // what gossip missed is never found
};

constexpr int kMutants = 12;  // with kNone

#ifdef COMETFOLD_MUTANTS
inline thread_local Mutant active_mutant = Mutant::kNone;
inline bool mutant(Mutant which) { return active_mutant == which; }
#else
constexpr bool mutant(Mutant) { return false; }
#endif

}  // namespace cometfold::membership
