// Token bucket TB(T, rho, mu) of the paper, equations (1) to (5).
#pragma once

#include "admission/numeric.h"

namespace cometfold::admission {

// Holds at most `capacity` units and is refilled with `rate` units per second. A request larger than the
// capacity is served by a full bucket and leaves it in debt, which later refills pay back.
class TokenBucket {
 public:
  TokenBucket() = default;
  // Full at `now`.
  TokenBucket(double capacity, double rate, Ms now)
      : capacity_(capacity), rate_(rate), tokens_(capacity), refilled_at_(now) {}

  // Has no capacity yet and is full at the capacity that the first `resize` sets.
  static TokenBucket initially_full() {
    TokenBucket bucket;
    bucket.tokens_ = kInfiniteMs;
    return bucket;
  }

  void refill(Ms now);
  // Refills at the old rate, then sets capacity (units) and rate (units per second). Tokens above the new
  // capacity are dropped.
  void resize(double capacity, double rate, Ms now);
  // Sets the rate from the last refill on, in units per second.
  void set_rate(double rate) { rate_ = rate; }
  // Sets the level, up to the capacity; a negative level is debt.
  void set_tokens(double tokens) { tokens_ = std::min(capacity_, tokens); }
  void scale_tokens(double factor) { tokens_ *= factor; }

  // Whether `units` can be taken; a full bucket serves any request.
  bool can_take(double units) const { return tokens_ + kEpsilon >= std::min(units, capacity_); }
  // Whether `units` can be taken without debt.
  bool covers(double units) const { return tokens_ + kEpsilon >= units; }
  bool is_full() const { return can_take(capacity_); }
  void take(double units) { tokens_ -= units; }
  // Returns units, up to the capacity; a negative number takes them.
  void put_back(double units) { tokens_ = std::min(capacity_, tokens_ + units); }
  // Time until `units` are available, in milliseconds; not positive if they are, infinite without a rate.
  Ms wait_for(double units) const { return rate_ > 0 ? (units - tokens_) / rate_ * 1000 : kInfiniteMs; }

  // Refills, retains `retained_fraction` of the tokens and returns the rest. Debt is returned in full.
  double split_off(double retained_fraction, Ms now);

  double capacity() const { return capacity_; }
  double rate() const { return rate_; }
  double tokens() const { return tokens_; }

 private:
  double capacity_ = 0;
  double rate_ = 0;
  double tokens_ = 0;
  Ms refilled_at_ = 0;
};

}  // namespace cometfold::admission
