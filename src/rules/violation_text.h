// Parts of the texts of violations, shared by the monitors.
#pragma once

#include <cstdint>
#include <string>

namespace cometfold::rules {

// Units and milliseconds by which a bound may be exceeded through rounding.
inline constexpr double kRoundingTolerance = 1e-6;

std::string format_number(double value);  // without trailing zeros
std::string format_request(std::uint64_t request);

}  // namespace cometfold::rules
