// Mutants: deliberate faults that show that the membership tests detect them. Compiled in only with
// COMETFOLD_MUTANTS, for tests; otherwise `mutant` is constant false and costs nothing.
#pragma once

namespace cometfold::membership {

enum class Mutant : unsigned char {
  kNone,
  kDeclaresFailuresWhilePartitioned,
  kIgnoresPause,             // counts the time in which this process was paused as silence of others
  kNoSuspicionQuorum,        // the suspicion of one observer makes a member failed
  kLastRecordWins,           // the record that arrives last replaces a greater one
  kTrustsSecondHandRecords,  // accepts alive records from gateways that do not reach the member
  kKeepsMembersAfterPause,   // keeps alive members after a pause in which others may forget tombstones
  kForgetsTombstonesAtOnce,
  kNeverYieldsName,           // of two processes with the same name neither yields
  kIgnoresOwnFailure,         // keeps its incarnation although others declared it failed or left
  kNeverWithdrawsSuspicions,  // keeps suspecting a subject that answers again
  kNoDigestComparison,        // never starts a sync because digests differ
};

constexpr int kMutants = 12;  // including kNone

#ifdef COMETFOLD_MUTANTS
inline thread_local Mutant active_mutant = Mutant::kNone;
inline bool mutant(Mutant which) { return active_mutant == which; }
#else
constexpr bool mutant(Mutant) { return false; }
#endif

}  // namespace cometfold::membership
