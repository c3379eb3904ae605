// The program's time: a monotonic clock in the module's milliseconds.
#pragma once

#include <algorithm>
#include <chrono>

#include "cometfold/admission_controller.h"

namespace cometfold::net {

// Read once a batch of events, so that all of a batch happen at one time, as the module expects.
class Clock {
 public:
  void new_batch() { read_ = false; }

  Ms now() {
    if (!read_) {
      now_ = kOrigin + std::chrono::duration<double, std::milli>(Steady::now() - born_).count();
      read_ = true;
    }
    return now_;
  }

  // A Unix time on this clock, at most now. Danger: the module takes 0 for 'long ago', and a host may have
  // started before this process; with an origin hours ahead, all starts that still matter lie above 0.
  //
  // Danger: this machine's wall clock may be stepped, and a host that has just started would look warm, or
  // cold for good. So it is read once, and time runs on from there.
  Ms from_unix(double unix_ms) {
    if (unix_ms <= 0) return 0;
    return std::clamp(kOrigin + (unix_ms - born_unix_ms_), 0.0, now());
  }

  // A moment of the monotonic clock on this one.
  Ms from(std::chrono::steady_clock::time_point moment) const {
    return kOrigin + std::chrono::duration<double, std::milli>(moment - born_).count();
  }

  std::chrono::steady_clock::time_point at(Ms when) const {
    return born_ + std::chrono::duration_cast<Steady::duration>(
                       std::chrono::duration<double, std::milli>(when - kOrigin));
  }

 private:
  using Steady = std::chrono::steady_clock;
  static constexpr Ms kOrigin = 4 * 3'600'000.0;
  Steady::time_point born_ = Steady::now();
  double born_unix_ms_ =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
  Ms now_ = kOrigin;
  bool read_ = false;
};

}  // namespace cometfold::net
