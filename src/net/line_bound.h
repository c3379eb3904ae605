// How many lines a log may take: a burst, then a rate, so that a fault that repeats cannot flood it and one
// that comes much later still shows. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace cometfold::net {

class LineBound {
 public:
  // `rate`: lines a second once the burst is used up.
  LineBound(double burst, double rate) : burst_(burst), rate_(rate), left_(burst) {}

  // Whether a line may go out now (milliseconds on any clock that does not go back); with how many were held
  // back before it. Nothing: this one is held back too.
  std::optional<std::uint64_t> take(double now_ms) {
    left_ = std::min(burst_, left_ + std::max(0.0, now_ms - at_) * rate_ / 1000);
    at_ = now_ms;
    if (left_ < 1) {
      ++held_back_;
      return {};
    }
    left_ -= 1;
    return std::exchange(held_back_, 0);
  }

 private:
  double burst_, rate_, left_;
  double at_ = 0;
  std::uint64_t held_back_ = 0;
};

}  // namespace cometfold::net
