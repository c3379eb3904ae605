// Helpers for the descriptions of violations.
#pragma once

#include <cstdint>
#include <string>

namespace cometfold::rules {

// Tolerance for rounding errors, in units or milliseconds.
inline constexpr double kRoundingTolerance = 1e-6;

std::string format_number(double value);  // without trailing zeros
std::string format_request(std::uint64_t request);

}  // namespace cometfold::rules
