// The state of one customer: its token buckets at this gateway and its recent demand.
#pragma once

#include <cstdint>
#include <vector>

#include "admission/retry_observer.h"
#include "admission/token_bucket.h"

namespace cometfold::admission {

inline constexpr double kNegligibleDemandUnits = 0.05;

// A class's part of the customer's quota. Lending adjusts it to the arrivals.
struct ClassQuota {
  TokenBucket bucket;
  double recent_units = 0;  // units that arrived recently
};

struct Customer {
  std::uint32_t plan_index = 0;
  double gateway_count = 1;     // number of gateways that receive its requests
  TokenBucket quota;            // this gateway's slice
  TokenBucket undivided_quota;  // the whole quota, charged by this gateway alone
  TokenBucket ceiling;          // this gateway's slice
  std::vector<ClassQuota> classes;
  double units_granted = 0;    // from the slice since the last tick
  double units_grantable = 0;  // units that the slice can grant from one tick to the next
  double recent_units = 0;     // units requested here recently
  double attempts_in_flight = 0;
  double predecessor_attempts_in_flight = 0;  // through the gateway that this one replaces
  RetryObserver::FirstRequest first_request;
  Ms last_request_at = 0;

  bool has_recent_demand() const { return recent_units >= kNegligibleDemandUnits; }
};

}  // namespace cometfold::admission
