// The program's time: a monotonic clock in the admission module's milliseconds.
#pragma once

#include <algorithm>
#include <chrono>

#include "cometfold/admission_controller.h"

namespace cometfold::net {

// The clock is read once per batch of events, so that all events of a batch have the same time, as the
// admission module expects.
class Clock {
 public:
  void new_batch() { is_read_ = false; }

  Ms now() {
    if (!is_read_) {
      now_ = from(Steady::now());
      is_read_ = true;
    }
    return now_;
  }

  // Converts a Unix time to this clock: at most now, and 0 if it is 0 or long ago. The wall clock is read
  // only in the constructor, so that a later step of it does not change the age of hosts.
  Ms from_unix(double unix_ms) {
    if (unix_ms <= 0) return 0;
    return std::clamp(kStart + (unix_ms - start_unix_ms_), 0.0, now());
  }

  // Conversions from and to the monotonic clock.
  Ms from(std::chrono::steady_clock::time_point moment) const {
    return kStart + Milliseconds(moment - start_).count();
  }
  std::chrono::steady_clock::time_point at(Ms time) const {
    return start_ + std::chrono::duration_cast<Steady::duration>(Milliseconds(time - kStart));
  }

 private:
  using Steady = std::chrono::steady_clock;
  using Milliseconds = std::chrono::duration<double, std::milli>;

  // The time of this clock when it is constructed. The admission module treats 0 as "long ago", and hosts may
  // have started before this process: with an offset of four hours, every start time that still matters is
  // above 0.
  static constexpr Ms kStart = 4 * 3'600'000.0;

  Steady::time_point start_ = Steady::now();
  double start_unix_ms_ = Milliseconds(std::chrono::system_clock::now().time_since_epoch()).count();
  Ms now_ = kStart;
  bool is_read_ = false;
};

}  // namespace cometfold::net
