// Formats numbers and times for the error messages on limits.
#pragma once

#include <string>

#include "cometfold/admission_controller.h"

namespace cometfold::limits {

// Up to ten significant digits, no trailing zeros.
std::string number_text(double value);
std::string ms_text(Ms value);

}  // namespace cometfold::limits
