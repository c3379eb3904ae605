// Reads the platform's settings of the decision module: from lines on the simulator's wire, or from a
// gateway's configuration in JSON, both as pairs of a dotted path and a text. Unknown keys are ignored.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "adapter/wire_error.h"
#include "cometfold/admission_controller.h"

namespace cometfold::wire {

// Values by path. Lists of objects are at `path.count` and `path.0.key`; lists of plain values are joined by
// commas.
using Pairs = std::map<std::string, std::string, std::less<>>;

// Settings without a value keep their default. Throws WireError if a value is not a number, or out of range.
AdmissionSettings read_settings(const Pairs& values);
// The same from one `path=value` a line; other lines are ignored.
AdmissionSettings read_settings(std::string_view text);
// kOther if the module does not know the field.
LoadField load_field(std::string_view word);

}  // namespace cometfold::wire
