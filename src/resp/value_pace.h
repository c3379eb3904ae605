// How fast a streamed value comes from its host, and whether the rest of it will come in time.
#pragma once

#include <algorithm>
#include <cstddef>

#include "cometfold/admission_controller.h"

namespace cometfold::resp {

class ValuePace {
 public:
  // Begins to observe a value of `size` bytes, of which `received` have come.
  void start(Ms now, std::size_t size, std::size_t received) {
    observed_since_ = now + kBacklogMs;
    observed_bytes_ = 0;
    missing_bytes_ = size > received ? size - received : 0;
  }
  // Further bytes have come. Those that come first may have waited in buffers and tell nothing of the pace.
  void add(Ms now, std::size_t bytes) {
    missing_bytes_ -= std::min(bytes, missing_bytes_);
    if (now > observed_since_) observed_bytes_ += bytes;
  }
  // Whether the rest will have come by `deadline` if it comes slower than so far by the factor `slowdown`.
  // False until the pace has been observed for a while.
  bool completes_by(Ms now, Ms deadline, double slowdown) const {
    const Ms observed = now - observed_since_;
    if (observed < kMinObservedMs || observed_bytes_ == 0) return false;
    const Ms ms_per_byte = observed / static_cast<double>(observed_bytes_);
    return now + slowdown * static_cast<double>(missing_bytes_) * ms_per_byte <= deadline;
  }

 private:
  static constexpr Ms kBacklogMs = 100;
  static constexpr Ms kMinObservedMs = 200;

  Ms observed_since_ = 0;
  std::size_t observed_bytes_ = 0;
  std::size_t missing_bytes_ = 0;
};

}  // namespace cometfold::resp
