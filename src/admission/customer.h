// What is kept of one customer: its quota's buckets at this gateway and its recent demand.
#pragma once

#include <cstdint>
#include <vector>

#include "admission/retry_observer.h"
#include "admission/token_bucket.h"

namespace cometfold::admission {

inline constexpr double kNegligibleDemandUnits = 0.05;

// A class's part of the customer's quota, which lending adapts to the arrivals.
struct ClassQuota {
  TokenBucket bucket;
  double recent_units = 0;  // units that arrived lately
};

struct Customer {
  std::uint32_t plan_index = 0;
  double gateway_count = 1;     // gateways that its requests come through
  TokenBucket quota;            // this gateway's slice
  TokenBucket undivided_quota;  // all of it, drawn on by this gateway alone
  TokenBucket ceiling;          // this gateway's slice
  std::vector<ClassQuota> classes;
  double units_granted = 0;    // by the quota, since the last tick
  double units_grantable = 0;  // that the quota could grant from one tick to the next
  double recent_units = 0;     // units requested here lately
  double attempts_in_flight = 0;
  double predecessor_attempts_in_flight = 0;  // through the gateway whose place this one took
  RetryObserver::FirstRequest first_request;
  Ms last_request_at = 0;

  bool has_recent_demand() const { return recent_units >= kNegligibleDemandUnits; }
};

}  // namespace cometfold::admission
