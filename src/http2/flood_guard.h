// Token bucket that limits frames which are cheap to send but costly to process, such as PING, SETTINGS,
// RST_STREAM and empty DATA. It is refilled over time, and also by each unit of work that the peer requested.
#pragma once

#include "cometfold/admission_controller.h"

namespace cometfold::http2 {

class FloodGuard {
 public:
  // `rate`: frames per second. `burst`: capacity of the bucket in frames. `frames_per_work`: frames credited
  // for each unit of work done.
  FloodGuard(double rate, double burst, double frames_per_work, Ms now)
      : rate_(rate), burst_(burst), frames_per_work_(frames_per_work), tokens_(burst), refilled_at_(now) {}

  // Credits `frames_per_work` frames.
  void on_work_done();
  // Counts one received frame. Returns false if the sender exceeds its rate.
  bool admit(Ms now);

 private:
  double rate_;
  double burst_;
  double frames_per_work_;
  double tokens_;
  Ms refilled_at_;
};

}  // namespace cometfold::http2
