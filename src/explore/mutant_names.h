// The names of the mutants on the command line and in trace files. Stored traces contain them, so they must
// not change.
#pragma once

#include <optional>
#include <string>

#include "engine/faults.h"

namespace cometfold::explore {

std::string name_of(engine::Mutant mutant);
std::optional<engine::Mutant> mutant_named(const std::string& name);

}  // namespace cometfold::explore
