// The controller's random numbers: one seeded sequence, so that equal events and seeds give equal decisions.
#pragma once

#include <cstdint>
#include <random>

namespace cometfold::admission {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, 1), from the 53 high bits of one draw.
  double uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cometfold::admission
