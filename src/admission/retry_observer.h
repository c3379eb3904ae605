// Estimates which part of the rejected clients send their request again.
#pragma once

#include "admission/numeric.h"

namespace cometfold::admission {

// Counts customers that send a request after a pause, by whether that first request was admitted, and how
// many of them come back soon. Customers that come back for other reasons do so after an admission too; the
// difference is what rejections cause.
class RetryObserver {
 public:
  // The last counted first request of a customer; kept with the customer.
  struct FirstRequest {
    Ms at = -kInfiniteMs;
    bool admitted = false;
  };

  // A request of the customer has come. `starts_sequence`: it is the first in a while, and no retry.
  // `return_window_ms`: clients that retry do so within it.
  void on_request(FirstRequest& first, bool starts_sequence, Ms return_window_ms, Ms now);
  // The request that has come at `now` was admitted.
  void on_admitted(FirstRequest& first, Ms now);
  // One tick's decay.
  void on_tick();

  // The part of rejected clients that retry at any gateway, in [0, 1].
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
