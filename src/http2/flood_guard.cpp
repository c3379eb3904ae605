#include "http2/flood_guard.h"

#include <algorithm>

namespace cometfold::http2 {
namespace {

constexpr double kMsPerSecond = 1000;

}  // namespace

void FloodGuard::on_work_done() { tokens_ = std::min(tokens_ + frames_per_work_, burst_); }

bool FloodGuard::admit(Ms now) {
  const double refill = rate_ * std::max(now - refilled_at_, 0.0) / kMsPerSecond;
  tokens_ = std::min(tokens_ + refill, burst_) - 1;
  refilled_at_ = now;
  return tokens_ >= 0;
}

}  // namespace cometfold::http2
