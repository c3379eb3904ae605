#include "admission/token_bucket.h"

namespace cometfold::admission {

void TokenBucket::refill(Ms now) {
  const double earned = rate_ * std::max(now - refilled_at_, 0.0) / 1000;
  tokens_ += std::max(0.0, std::min(capacity_ - tokens_, earned));
  refilled_at_ = std::max(refilled_at_, now);
}

void TokenBucket::resize(double capacity, double rate, Ms now) {
  refill(now);
  capacity_ = capacity;
  rate_ = rate;
  tokens_ = std::min(tokens_, capacity);
  refilled_at_ = now;
}

double TokenBucket::split_off(double retained_fraction, Ms now) {
  refill(now);
  const double retained = std::max(tokens_, 0.0) * retained_fraction;
  const double returned = tokens_ - retained;
  tokens_ = retained;
  return returned;
}

}  // namespace cometfold::admission
