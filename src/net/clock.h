// The program's time: a monotonic clock in the admission module's milliseconds.
#pragma once

#include <algorithm>
#include <chrono>

#include "cometfold/admission_controller.h"

namespace cometfold::net {

// Read once for a batch of events, so that all of a batch happen at one time, as the module expects.
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

  // A Unix time on this clock, at most now; 0 if it is 0 or long ago. The wall clock is read only once, when
  // this object is made, so that a step of it does not change the age of hosts.
  Ms from_unix(double unix_ms) {
    if (unix_ms <= 0) return 0;
    return std::clamp(kStart + (unix_ms - start_unix_ms_), 0.0, now());
  }

  // A moment of the monotonic clock on this one, and the reverse.
  Ms from(std::chrono::steady_clock::time_point moment) const {
    return kStart + Milliseconds(moment - start_).count();
  }
  std::chrono::steady_clock::time_point at(Ms time) const {
    return start_ + std::chrono::duration_cast<Steady::duration>(Milliseconds(time - kStart));
  }

 private:
  using Steady = std::chrono::steady_clock;
  using Milliseconds = std::chrono::duration<double, std::milli>;

  // The module takes 0 for "long ago", and hosts may have started before this process: with this start, four
  // hours, any start of a host that still matters is above 0.
  static constexpr Ms kStart = 4 * 3'600'000.0;

  Steady::time_point start_ = Steady::now();
  double start_unix_ms_ = Milliseconds(std::chrono::system_clock::now().time_since_epoch()).count();
  Ms now_ = kStart;
  bool is_read_ = false;
};

}  // namespace cometfold::net
