// A counterexample as a file: JSON lines, the first with the scenario, then one for each choice, the last
// with the rule broken.
#pragma once

#include <string>
#include <vector>

#include "engine/faults.h"
#include "explore/scenario.h"
#include "rules/rule_monitors.h"

namespace cometfold::explore {

struct Trace {
  Scenario scenario;
  engine::Mutant mutant = engine::Mutant::kNone;
  std::vector<std::string> choices;
  rules::Violation violation;  // empty texts if none
};

std::string to_text(const Trace& trace);
void write_trace(const std::string& path, const Trace& trace);
// Throws std::runtime_error with the file, the line and what would be right.
Trace read_trace(const std::string& path);

}  // namespace cometfold::explore
