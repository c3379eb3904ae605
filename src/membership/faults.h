// Deliberate faults, to show that tests of membership find them. Built in only with COMETFOLD_MUTANTS, for
// tests; elsewhere `mutant` is a constant false and costs nothing.
#pragma once

namespace cometfold::membership {

enum class Mutant : unsigned char {
  kNone,
  kJudgesCutOff,     // calls others failed although it hears less than half
  kIgnoresStop,      // takes the time in which it did not run for the others' silence
  kFailsByOne,       // one watcher's word makes a member failed
  kMergesByArrival,  // the record that comes last holds
  kBelievesHearsay,  // takes a name from one that does not hear it either
  kKeepsTheLiving,   // was away for longer than the others remember, and keeps what it knew
  kForgetsTooEarly,  // who is over is forgotten at once
  kNeverYields,      // of two with one name neither gives way
  kStaysFailed,      // does not take a new number when it was called failed
  kNeverTakesBack,   // an accusation stands although the accused answers
  kNoDigests,        // what the news missed is never found
};

constexpr int kMutants = 12;  // with kNone

#ifdef COMETFOLD_MUTANTS
inline thread_local Mutant active_mutant = Mutant::kNone;
inline bool mutant(Mutant which) { return active_mutant == which; }
#else
constexpr bool mutant(Mutant) { return false; }
#endif

}  // namespace cometfold::membership
