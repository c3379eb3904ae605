// Limits retries and hedged requests to a fraction of the first attempts.
#pragma once

#include <algorithm>

namespace cometfold::admission {

class RetryBudget {
 public:
  bool has_retry() const { return retries_ >= 1; }
  void on_first_attempt() { retries_ = std::min(retries_ + kRetriesPerFirstAttempt, kMaxRetries); }
  void on_retry() { retries_ -= 1; }
  // An attempt was never executed, so its retry is not charged.
  void refund_retry() { retries_ += 1; }

 private:
  static constexpr double kRetriesPerFirstAttempt = 0.1;
  static constexpr double kMaxRetries = 10;

  double retries_ = kMaxRetries / 2;
};

}  // namespace cometfold::admission
