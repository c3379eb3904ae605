// Breadth-first search over all runs of a scenario. A state is identified by its fingerprint and restored by
// replaying its path from the start, so that no state has to be copied. The search finds a counterexample
// with the fewest events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "engine/faults.h"
#include "explore/coverage.h"
#include "explore/scenario.h"
#include "rules/monitor.h"

namespace cometfold::explore {

struct ExplorationResult {
  std::size_t states = 0;            // distinct fingerprints
  std::size_t transitions = 0;       // events played from those states
  std::size_t max_depth = 0;         // events on the longest path to a new state
  std::size_t terminal_runs = 0;     // runs after which no event is possible
  std::size_t truncated_states = 0;  // states not expanded, as they are at `Scenario::max_events`
  Coverage coverage = 0;
  bool complete = true;  // false: `ExplorationLimits::max_states` was exceeded
  double seconds = 0;
  std::optional<rules::Violation> violation;
  std::vector<std::string> counterexample;  // labels of the choices that lead to the violation
  std::size_t counterexample_events = 0;
};

struct ExplorationLimits {
  unsigned threads = 2;
  std::size_t max_states = 20'000'000;
};

// Stops after the first depth with a violation, or when the limit on states is exceeded.
ExplorationResult explore(const Scenario& scenario, engine::Mutant mutant, const ExplorationLimits& limits);

// Whether a trace must match to its end. A trace found with a mutant need not match the engine without it,
// which behaves differently from the fault on: the rest of the run then takes the first option at each choice
// point.
enum class TraceMatch : std::uint8_t { kStrict, kPrefix };

// Replays choices by label, then takes the first option at each choice point, and reports each choice and
// action to `log`. Returns the violation, if there is one. Throws std::runtime_error if a strict trace does
// not match the scenario.
std::optional<rules::Violation> replay(const Scenario& scenario, engine::Mutant mutant,
                                       const std::vector<std::string>& trace,
                                       const std::function<void(const std::string&)>& log,
                                       TraceMatch match = TraceMatch::kStrict);

}  // namespace cometfold::explore
