// The controller's random number generator: one seeded sequence, so that decisions are reproducible.
#pragma once

#include <cstdint>
#include <random>

namespace cometfold::admission {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // Returns a uniform number in [0, 1), from the 53 high bits of one draw.
  double uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cometfold::admission
