// Reads the platform's settings for the decision module, either from lines sent by the simulator or from a
// gateway's JSON configuration. Both are passed as pairs of a dotted path and a value. Unknown keys are
// ignored.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "adapter/wire_error.h"
#include "cometfold/admission_controller.h"

namespace cometfold::wire {

// Values by path. Lists of objects are stored as `path.count`, `path.0.key` and so on; lists of plain values
// are joined by commas.
using Pairs = std::map<std::string, std::string, std::less<>>;

// Settings without a value keep their defaults. Throws WireError if a value is not a number or out of range.
AdmissionSettings read_settings(const Pairs& values);
// Reads the same from lines of the form `path=value`; other lines are ignored.
AdmissionSettings read_settings(std::string_view text);
// Returns kOther for fields that the module does not use.
LoadField load_field(std::string_view name);

}  // namespace cometfold::wire
