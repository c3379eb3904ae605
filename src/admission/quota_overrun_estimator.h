// Estimates whether a customer whose slice is used up is beyond its quota in the whole fleet.
#pragma once

#include "admission/customer.h"

namespace cometfold::admission {

// A slice may be used up here while other gateways' slices lie idle. The estimate is Bayesian: demand seen
// here is drawn towards a usual customer's, the more the less the slice lets one expect. The settings outlive
// the object.
class QuotaOverrunEstimator {
 public:
  explicit QuotaOverrunEstimator(const AdmissionSettings& settings) : settings_(settings) {}

  void on_request(double units);

  // Memory of a customer's demand, in milliseconds: long enough for its slice to let several requests expect.
  static Ms demand_memory(const Customer& customer);

  // Whether the customer's slice is too small to judge it by: one request exceeds it, or many gateways share.
  static bool is_sparse(const Customer& customer, const Request& request);
  // Whether the customer has a quota that many gateways share.
  bool has_widely_shared_quota(const Customer& customer) const;

  // Value of admitting a request beyond its slice, as a fraction of its ordinary value; negative if admitting
  // costs more than it earns. `can_be_within_quota`: no other limit is reached. `retry_fraction`: of the
  // rejected clients; it counts for widely shared quotas only. `age`: time over which demand was counted.
  double expected_value(Customer& customer, const Request& request, bool can_be_within_quota,
                        double retry_fraction, Ms age, Ms now) const;

  // Chance with which a request within a widely shared quota is admitted, in (0, 1]. The slices of many
  // gateways that start full admit far more together than the quota; where rejected clients retry at another
  // gateway, a smaller chance at each costs a customer within its quota little.
  double admission_probability(const Customer& customer, double retry_fraction) const;

 private:
  static Ms observation_time(const Customer& customer, Ms age);
  double skew_tolerance(const Customer& customer, const Request& request, Ms age) const;
  double probability_within_quota(const Customer& customer, const Request& request, Ms age) const;

  const AdmissionSettings& settings_;
  double mean_request_units_ = 1;
};

}  // namespace cometfold::admission
