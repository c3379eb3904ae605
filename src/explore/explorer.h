// Breadth-first search over all runs of a scenario. A state is told by its fingerprint and reached again by
// playing its path from the start, so nothing needs to be copied; the first breach found is among the
// shortest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "engine/faults.h"
#include "explore/chooser.h"
#include "explore/scenario.h"
#include "rules/rule_monitors.h"

namespace cometfold::explore {

struct ExplorationResult {
  std::size_t states = 0;            // told apart by their fingerprints
  std::size_t transitions = 0;       // events played from them
  std::size_t max_depth = 0;         // events in the longest run without a state seen before
  std::size_t terminal_runs = 0;     // runs after which nothing can happen
  std::size_t truncated_states = 0;  // states not followed further: as deep as the scenario allows
  std::uint32_t coverage = 0;        // see world.h: what some run has been through
  bool complete = true;              // false: `most_states` was reached
  double seconds = 0;
  std::optional<rules::Violation> violation;
  std::vector<std::string> counterexample;  // the choices that lead to it, by name
  std::size_t counterexample_events = 0;
};

struct ExplorationLimits {
  unsigned threads = 2;
  std::size_t max_states = 20'000'000;
};

// Ends at the first layer with a breach.
ExplorationResult explore(const Scenario& scenario, engine::Mutant mutant, const ExplorationLimits& effort);

// Whether a trace must fit to its end. One found with a mutant need not fit the sound engine, which goes
// another way from the fault on: what does not fit is played as the plain end then.
enum class TraceMatch : std::uint8_t { kStrict, kPrefix };

// Plays choices by name, then the plain end, and reports each event and action through `say`. Nothing is
// returned if no rule is broken. Throws std::runtime_error if a strict trace does not fit the scenario.
std::optional<rules::Violation> replay(const Scenario& scenario, engine::Mutant mutant,
                                       const std::vector<std::string>& trace,
                                       const std::function<void(const std::string&)>& say,
                                       TraceMatch fit = TraceMatch::kStrict);

// The mutants by name.
std::string name_of(engine::Mutant mutant);
std::optional<engine::Mutant> mutant_named(const std::string& name);
void set_mutant(engine::Mutant mutant);  // of this thread; throws if mutants are not built in

}  // namespace cometfold::explore
