// Estimates whether a customer whose slice is used up exceeds its quota over all gateways.
#pragma once

#include "admission/customer.h"

namespace cometfold::admission {

// A slice may be used up here while the slices of other gateways are unused. The estimate is Bayesian: the
// demand observed here is shrunk towards that of a typical customer, the more so the fewer requests the slice
// lets one expect. The settings must outlive the object.
class QuotaOverrunEstimator {
 public:
  explicit QuotaOverrunEstimator(const AdmissionSettings& settings) : settings_(settings) {}

  void on_request(double units);

  // Time constant of a customer's demand, in milliseconds; long enough to expect several requests from its
  // slice, within fixed bounds.
  static Ms demand_memory(const Customer& customer);

  // Whether the customer's slice is too small to judge its demand by: a single request exceeds its capacity,
  // or many gateways share the quota.
  static bool is_sparse(const Customer& customer, const Request& request);
  // Whether the customer has a quota that is shared by many gateways.
  bool has_widely_shared_quota(const Customer& customer) const;

  // Expected value of admitting a request beyond its slice, relative to its normal value; negative if
  // admitting it costs more than it earns. `can_be_within_quota`: the concurrency limit is not reached.
  // `retry_fraction`: fraction of the rejected clients that retry; used for widely shared quotas only. `age`:
  // time over which demand was counted.
  double expected_value(Customer& customer, const Request& request, bool can_be_within_quota,
                        double retry_fraction, Ms age, Ms now) const;

  // Probability of admitting a request within a widely shared quota, in (0, 1]. The slices of many gateways
  // start full and together admit far more than the quota. Where rejected clients retry at another gateway, a
  // lower probability at each gateway costs a customer within its quota little.
  double admission_probability(const Customer& customer, double retry_fraction) const;

 private:
  static Ms observation_time(const Customer& customer, Ms age);
  double skew_tolerance(const Customer& customer, const Request& request, Ms age) const;
  double probability_within_quota(const Customer& customer, const Request& request, Ms age) const;

  const AdmissionSettings& settings_;
  double mean_request_units_ = 1;
};

}  // namespace cometfold::admission
