// Numeric constants and helpers: time limits, exponential decay, and validation of external numbers.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include "cometfold/admission_controller.h"

namespace cometfold::admission {

inline constexpr Ms kInfiniteMs = std::numeric_limits<Ms>::infinity();
inline constexpr double kEpsilon = 1e-9;  // units, units per second or milliseconds; absorbs rounding

// Period of the controller's timer, which lends class quotas and decays statistics.
inline constexpr Ms kTickIntervalMs = 100;

// Returns `value` if it is finite and at least `min`, otherwise `fallback`.
inline double finite_or(double value, double fallback, double min = 0) {
  return std::isfinite(value) && value >= min ? value : fallback;
}

// Factor of an exponential decay with time constant `memory` after `elapsed`, in [0, 1].
inline double decay_factor(Ms elapsed, Ms memory) { return std::exp(-std::max(elapsed, 0.0) / memory); }

}  // namespace cometfold::admission
