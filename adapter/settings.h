// The settings by the names that the operators give them: on the simulator's wire as lines, in a gateway's
// configuration as JSON. Both come here as pairs of a dotted path and a text.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::wire {

struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Lists of objects stand as `path.count` and `path.0.key`; lists of plain values joined by commas.
using Pairs = std::map<std::string, std::string, std::less<>>;

AdmissionSettings read_settings(const Pairs& conf);
AdmissionSettings read_settings(std::string_view text);  // one `path=value` a line
LoadField load_field(std::string_view name);

}  // namespace cometfold::wire
