#include "admission/quota_overrun_estimator.h"

#include "admission/fleet_size.h"

namespace cometfold::admission {
namespace {

constexpr double kRequestUnitsGain = 0.025;    // weight of one request in the mean
constexpr double kDemandMemoryUnits = 8;       // units to expect from a slice within the memory
constexpr Ms kMinDemandMemoryMs = 1500;        // shorter than customers take to move between gateways
constexpr Ms kMaxDemandMemoryMs = 60'000;      // idle customers are evicted after this time
constexpr double kPriorRequests = 0.4;         // weight of the prior, in requests
constexpr double kPriorDemandSlices = 1.25;    // prior demand in slices: that of a random request's customer
constexpr double kBaseSkewSlices = 1.5;        // base skew tolerance, which is that of two gateways
constexpr double kSkewSlicesPerGateway = 0.3;  // added for each further gateway
constexpr double kMaxSkewGateways = 4;         // the tolerance does not grow beyond this many gateways
constexpr double kSparseSkewSlices = 4;        // added for sparse customers, if many requests are expected
constexpr double kSparseHalfRequests = 3;      // expected requests for which half of it is added
constexpr Ms kSparseSkewMs = 15'000;           // over longer observation times skew averages out
constexpr double kMinAdmissionProbability = 0.35;
constexpr double kOverrunCostPerRetry = 2;  // relative increase of an overrun's cost if all clients retry

}  // namespace

void QuotaOverrunEstimator::on_request(double units) {
  mean_request_units_ += kRequestUnitsGain * (units - mean_request_units_);
}

Ms QuotaOverrunEstimator::demand_memory(const Customer& customer) {
  return std::clamp(kDemandMemoryUnits * 1000 / std::max(customer.quota.rate(), kEpsilon), kMinDemandMemoryMs,
                    kMaxDemandMemoryMs);
}

bool QuotaOverrunEstimator::is_sparse(const Customer& customer, const Request& request) {
  return customer.quota.capacity() < request.units || is_large_fleet(customer.gateway_count);
}

bool QuotaOverrunEstimator::has_widely_shared_quota(const Customer& customer) const {
  return is_large_fleet(customer.gateway_count) && settings_.plans[customer.plan_index].quota_rate > 0;
}

Ms QuotaOverrunEstimator::observation_time(const Customer& customer, Ms age) {
  const Ms memory = demand_memory(customer);
  return std::max(kTickIntervalMs, memory * (1 - decay_factor(age, memory)));
}

// Demand in slices at which a customer is as likely to exceed its quota as to be unevenly spread over its
// gateways.
double QuotaOverrunEstimator::skew_tolerance(const Customer& customer, const Request& request, Ms age) const {
  if (!is_sparse(customer, request)) {
    return kBaseSkewSlices +
           kSkewSlicesPerGateway * std::clamp(customer.gateway_count - 2, 0.0, kMaxSkewGateways - 2);
  }
  const Ms observed = observation_time(customer, age);
  const double expected_requests = customer.quota.rate() * observed / 1000 / mean_request_units_;
  return kBaseSkewSlices + kSparseSkewSlices * std::min(1.0, kSparseSkewMs / observed) * expected_requests /
                               (kSparseHalfRequests + expected_requests);
}

double QuotaOverrunEstimator::probability_within_quota(const Customer& customer, const Request& request,
                                                       Ms age) const {
  const Ms observed = observation_time(customer, age);
  const double prior_rate = kPriorRequests * mean_request_units_ * 1000 / observed;
  const double earlier_units = customer.recent_units - (request.is_client_retry ? 0 : request.units);
  const double earlier_rate = std::max(earlier_units, 0.0) * 1000 / observed;
  const double demand_slices =
      (earlier_rate + kPriorDemandSlices * prior_rate) / (customer.quota.rate() + prior_rate);
  return 1 / (1 + std::pow(demand_slices / skew_tolerance(customer, request, age), 3));
}

double QuotaOverrunEstimator::expected_value(Customer& customer, const Request& request,
                                             bool can_be_within_quota, double retry_fraction, Ms age,
                                             Ms now) const {
  const PlanSettings& plan = settings_.plans[customer.plan_index];
  customer.undivided_quota.refill(now);
  double within_quota = 0;
  if (plan.quota_rate > customer.quota.rate() && customer.undivided_quota.can_take(request.units) &&
      can_be_within_quota) {
    within_quota = probability_within_quota(customer, request, age);
  }
  const double cost_factor =
      has_widely_shared_quota(customer) ? 1 + kOverrunCostPerRetry * retry_fraction : 1;
  return within_quota + (1 - within_quota) * (plan.over_quota_value - cost_factor * plan.over_quota_cost);
}

double QuotaOverrunEstimator::admission_probability(const Customer& customer, double retry_fraction) const {
  const PlanSettings& plan = settings_.plans[customer.plan_index];
  const double net_cost = std::max(plan.over_quota_cost - plan.over_quota_value, 0.0);
  return std::clamp(1 - net_cost * retry_fraction, kMinAdmissionProbability, 1.0);
}

}  // namespace cometfold::admission
