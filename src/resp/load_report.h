// The load report that a host adds to its replies.
#pragma once

#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::resp {

// Parses comma-separated `name=number` pairs. `field_of` maps a wire name to its field. Fields that can't be
// parsed or are out of range are left out.
LoadReport parse_load_report(std::string_view text, LoadField (*field_of)(std::string_view));

}  // namespace cometfold::resp
