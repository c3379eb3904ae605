// Limits the frames that cost their sender little and make the receiver work, such as PING, SETTINGS, resets
// and empty DATA: a token bucket, which work that was really requested fills as well.
#pragma once

#include "cometfold/admission_controller.h"

namespace cometfold::http2 {

class FloodGuard {
 public:
  // `rate`: frames a second. `burst`: frames at once. `earned`: more frames for each piece of work done.
  FloodGuard(double rate, double burst, double earned, Ms now)
      : rate_(rate), burst_(burst), earned_(earned), tokens_(burst), refilled_at_(now) {}

  void on_work_done();
  // A cheap frame has come. False: the sender exceeds its rate.
  bool admit(Ms now);

 private:
  double rate_;
  double burst_;
  double earned_;
  double tokens_;
  Ms refilled_at_;
};

}  // namespace cometfold::http2
