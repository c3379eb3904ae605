// Numeric helpers of the admission classes: limits of time, exponential decay, and checks of numbers from
// outside.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include "cometfold/admission_controller.h"

namespace cometfold::admission {

inline constexpr Ms kInfiniteMs = std::numeric_limits<Ms>::infinity();
inline constexpr double kEpsilon = 1e-9;  // units, units a second or milliseconds; absorbs rounding

// Period of the controller's timer, in which class quotas are lent and statistics decay.
inline constexpr Ms kTickIntervalMs = 100;

// `value` if it is finite and at least `min`, else `fallback`.
inline double finite_or(double value, double fallback, double min = 0) {
  return std::isfinite(value) && value >= min ? value : fallback;
}

// What is left of a mean after `elapsed`, for a memory whose time constant is `memory`. In [0, 1].
inline double decay_factor(Ms elapsed, Ms memory) { return std::exp(-std::max(elapsed, 0.0) / memory); }

}  // namespace cometfold::admission
