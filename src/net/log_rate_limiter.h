// Limits the lines of a log with a token bucket, so that a repeated fault cannot flood it and one that occurs
// much later is still logged. Without I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace cometfold::net {

class LogRateLimiter {
 public:
  // `lines_per_second`: the rate once the burst is used up.
  LogRateLimiter(double burst_lines, double lines_per_second)
      : burst_lines_(burst_lines), lines_per_second_(lines_per_second), tokens_(burst_lines) {}

  // Whether a line may be written at `now_ms`, on any monotonic clock: returns the count of lines dropped
  // since the last one that was written, or nothing if this line must be dropped too.
  std::optional<std::uint64_t> admit(double now_ms) {
    const double elapsed_ms = std::max(0.0, now_ms - last_ms_);
    tokens_ = std::min(burst_lines_, tokens_ + elapsed_ms * lines_per_second_ / 1000);
    last_ms_ = now_ms;
    if (tokens_ < 1) {
      ++dropped_;
      return {};
    }
    tokens_ -= 1;
    return std::exchange(dropped_, 0);
  }

 private:
  double burst_lines_;
  double lines_per_second_;
  double tokens_;
  double last_ms_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace cometfold::net
