// The names by which the command line and trace files call the deliberate faults. Trace files store them:
// they stay.
#pragma once

#include <optional>
#include <string>

#include "engine/faults.h"

namespace cometfold::explore {

std::string name_of(engine::Mutant mutant);
std::optional<engine::Mutant> mutant_named(const std::string& name);

}  // namespace cometfold::explore
