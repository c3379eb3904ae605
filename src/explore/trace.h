// Reads and writes counterexamples as files of JSON lines: one with the scenario, then one for each choice,
// then one with the violated rule.
#pragma once

#include <string>
#include <vector>

#include "engine/faults.h"
#include "explore/scenario.h"
#include "rules/monitor.h"

namespace cometfold::explore {

struct Trace {
  Scenario scenario;
  engine::Mutant mutant = engine::Mutant::kNone;
  std::vector<std::string> choices;
  rules::Violation violation;  // its strings are empty if there is none
};

std::string to_text(const Trace& trace);
// Throws std::runtime_error if the file can't be written.
void write_trace(const std::string& path, const Trace& trace);
// Throws std::runtime_error that names the file, the line and the expected format.
Trace read_trace(const std::string& path);

}  // namespace cometfold::explore
