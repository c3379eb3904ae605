// Estimates the fraction of rejected clients that retry.
#pragma once

#include "admission/numeric.h"

namespace cometfold::admission {

// Counts the first requests of customers after a pause, separately for admitted and rejected ones, and how
// many of these customers send another request soon. Customers that do so for other reasons also do so after
// an admission, so the difference is caused by rejections.
class RetryObserver {
 public:
  // A customer's last first request that was counted; stored with the customer.
  struct FirstRequest {
    Ms at = -kInfiniteMs;
    bool admitted = false;
  };

  // A request of the customer has arrived. `starts_sequence`: it is the first after a pause and not a retry.
  // `return_window_ms`: time in which clients retry.
  void on_request(FirstRequest& first, bool starts_sequence, Ms return_window_ms, Ms now);
  // The request that arrived at `now` was admitted.
  void on_admitted(FirstRequest& first, Ms now);
  // Applies the decay of one tick.
  void on_tick();

  // Fraction of the rejected clients that retry at any gateway, in [0, 1].
  double retry_fraction() const;

 private:
  struct Group {
    double first_requests = 0;
    double returns = 0;
  };
  Group& group_of(const FirstRequest& first) { return first.admitted ? admitted_ : rejected_; }

  Group rejected_;
  Group admitted_;
};

}  // namespace cometfold::admission
