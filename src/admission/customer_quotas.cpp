#include "admission/customer_quotas.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "admission/quota_overrun_estimator.h"

namespace cometfold::admission {
namespace {

constexpr Ms kCustomerIdleMs = 60'000;     // idle customers are evicted after this time
constexpr Ms kArrivalMemoryMs = 1000;      // time constant of the arrivals that lending is based on
constexpr double kKeptFraction = 0.9;      // of the maximum number of customers, when some are evicted
constexpr double kRetainedFraction = 0.2;  // of each level at a hand-over, for requests still to arrive here

}  // namespace

void CustomerQuotas::on_settings_changed(Ms now) {
  for (auto& [id, customer] : customers_) fit_buckets(customer, now);
}

// Levels are kept, up to the new capacities.
void CustomerQuotas::fit_buckets(Customer& customer, Ms now) const {
  const PlanSettings& plan = plan_of(customer);
  const double refills = handed_over_ ? 0 : 1;
  const double rate = refills * plan.quota_rate / customer.gateway_count;
  const double capacity = plan.quota_burst / customer.gateway_count;
  customer.quota.resize(capacity, rate, now);
  customer.undivided_quota.resize(plan.quota_burst, refills * plan.quota_rate, now);
  customer.ceiling.resize(plan.ceiling_burst / customer.gateway_count,
                          refills * plan.ceiling_rate / customer.gateway_count, now);
  const auto class_count = static_cast<double>(settings_.classes.size());
  const double class_rate = rate / class_count;
  customer.classes.resize(settings_.classes.size(), ClassQuota{TokenBucket(capacity, class_rate, now), 0});
  for (auto& class_quota : customer.classes) class_quota.bucket.resize(capacity, class_rate, now);
  customer.units_grantable = std::min(customer.units_grantable, capacity + rate * kTickIntervalMs / 1000);
}

Customer& CustomerQuotas::find_or_create(const Request& request, Ms now) {
  auto [it, created] = customers_.try_emplace(request.customer);
  Customer& customer = it->second;
  if (created) {
    customer.quota = TokenBucket::initially_full();
    customer.undivided_quota = TokenBucket::initially_full();
  }
  const double gateway_count = std::clamp(request.gateway_count, 1.0, std::max(1.0, settings_.gateway_count));
  // The buckets must match the plan and the gateway count of the latest request.
  if (created || customer.plan_index != request.plan_index || customer.gateway_count != gateway_count) {
    customer.plan_index = request.plan_index;
    customer.gateway_count = gateway_count;
    fit_buckets(customer, now);
  }
  if (created) initialize(customer, now);
  customer.last_request_at = now;
  return customer;
}

void CustomerQuotas::initialize(Customer& customer, Ms now) const {
  const double factor = handed_over_ ? kRetainedFraction : 1;
  customer.quota.scale_tokens(factor);
  customer.units_grantable = customer.quota.tokens();
  customer.undivided_quota.scale_tokens(factor);
  for (auto& class_quota : customer.classes) class_quota.bucket.scale_tokens(factor);
  // The slice of a ceiling starts empty when the gateway starts, as the gateway may have granted all of it
  // before a crash. It may also be one of those that were evicted.
  const Ms counted_since = std::max(started_at_, ceilings_forgotten_at_);
  customer.ceiling.set_tokens(customer.ceiling.rate() * (now - counted_since) / 1000);
}

Customer* CustomerQuotas::find(CustomerId id) {
  const auto it = customers_.find(id);
  return it == customers_.end() ? nullptr : &it->second;
}

void CustomerQuotas::on_tick(Ms now) {
  for (auto it = customers_.begin(); it != customers_.end();) {
    Customer& customer = it->second;
    lend_between_classes(customer, now);
    customer.quota.refill(now);
    customer.units_granted = 0;
    customer.recent_units *= decay_factor(kTickIntervalMs, QuotaOverrunEstimator::demand_memory(customer));
    customer.units_grantable = customer.quota.tokens() + customer.quota.rate() * kTickIntervalMs / 1000;
    customer.ceiling.refill(now);
    it = can_evict(customer, now) ? customers_.erase(it) : std::next(it);
  }
  evict_excess(now);
}

// Evicts somewhat more than the excess, so that it is not done on each tick. The customers may come again:
// their quotas are full then, which costs a little, and their ceilings must not be.
void CustomerQuotas::evict_excess(Ms now) {
  if (static_cast<double>(customers_.size()) <= settings_.max_customers) return;
  std::vector<std::pair<Ms, CustomerId>> by_last_request;
  for (const auto& [id, customer] : customers_) {
    const double in_flight = customer.attempts_in_flight + customer.predecessor_attempts_in_flight;
    if (in_flight <= 0) by_last_request.emplace_back(customer.last_request_at, id);
  }
  std::sort(by_last_request.begin(), by_last_request.end());
  const auto kept = static_cast<std::size_t>(kKeptFraction * settings_.max_customers);
  const std::size_t excess = std::min(customers_.size() - kept, by_last_request.size());
  for (std::size_t i = 0; i < excess; ++i) {
    const auto evicted = customers_.find(by_last_request[i].second);
    if (!evicted->second.ceiling.is_full()) ceilings_forgotten_at_ = now;
    customers_.erase(evicted);
  }
}

// Lending, equation (19): a class's next rate is its guaranteed rate plus a part of the unused quota in
// proportion to its arrivals.
void CustomerQuotas::lend_between_classes(Customer& customer, Ms now) {
  double arrived_units = 0;
  for (const auto& class_quota : customer.classes) arrived_units += class_quota.recent_units;
  const double unused_units = std::max(customer.units_grantable - customer.units_granted, 0.0);
  const double guaranteed_rate = customer.quota.rate() / static_cast<double>(customer.classes.size());
  for (auto& class_quota : customer.classes) {
    class_quota.bucket.refill(now);
    const double borrowed_units =
        arrived_units > kEpsilon ? unused_units * class_quota.recent_units / arrived_units : 0;
    class_quota.bucket.set_rate(guaranteed_rate + borrowed_units / (kTickIntervalMs / 1000));
    class_quota.recent_units *= decay_factor(kTickIntervalMs, kArrivalMemoryMs);
  }
}

// Only customers with a full quota and ceiling are evicted: a new customer starts with a full quota, so an
// earlier eviction would grant units twice.
bool CustomerQuotas::can_evict(Customer& customer, Ms now) {
  if (!customer.quota.is_full() || !customer.ceiling.is_full()) return false;
  const bool idle = now - customer.last_request_at > kCustomerIdleMs || is_like_new(customer, now);
  return idle && customer.attempts_in_flight + customer.predecessor_attempts_in_flight <= 0;
}

bool CustomerQuotas::is_like_new(Customer& customer, Ms now) {
  customer.undivided_quota.refill(now);
  return !customer.has_recent_demand() && customer.undivided_quota.is_full() &&
         std::all_of(customer.classes.begin(), customer.classes.end(),
                     [](const ClassQuota& class_quota) { return class_quota.bucket.is_full(); });
}

bool CustomerQuotas::is_below_ceiling(Customer& customer, const Request& request, Ms now) const {
  customer.ceiling.refill(now);
  return plan_of(customer).ceiling_rate <= 0 || customer.ceiling.covers(request.units);
}

bool CustomerQuotas::is_at_concurrency_limit(const Customer& customer) const {
  const double limit = plan_of(customer).max_concurrent_attempts;
  if (limit <= 0) return false;
  if (handed_over_) return true;  // the whole slice belongs to the successor
  const double slice = std::max(1.0, std::ceil(limit / customer.gateway_count - kEpsilon));
  return customer.attempts_in_flight + customer.predecessor_attempts_in_flight >= slice;
}

std::optional<RejectionReason> CustomerQuotas::exceeded_limit(Customer& customer, const Request& request,
                                                              Ms now) const {
  if (is_at_concurrency_limit(customer)) return RejectionReason::kConcurrencyLimit;
  if (plan_of(customer).quota_rate <= 0) return {};
  TokenBucket& class_bucket = customer.classes[request.class_index].bucket;
  customer.quota.refill(now);
  class_bucket.refill(now);
  if (!customer.quota.can_take(request.units)) return RejectionReason::kCustomerQuota;
  if (!class_bucket.can_take(request.units)) return RejectionReason::kClassQuota;
  return {};
}

void CustomerQuotas::charge(Customer& customer, const Request& request, bool within_quota, Ms now) const {
  const PlanSettings& plan = plan_of(customer);
  if (plan.ceiling_rate > 0) customer.ceiling.take(request.units);
  customer.undivided_quota.refill(now);
  customer.undivided_quota.take(request.units);
  if (!within_quota || plan.quota_rate <= 0) return;
  customer.quota.take(request.units);
  customer.classes[request.class_index].bucket.take(request.units);
  customer.units_granted += request.units;
}

void CustomerQuotas::refund(const Request& request, bool within_quota) {
  Customer* customer = find(request.customer);
  if (customer == nullptr) return;
  const PlanSettings& plan = settings_.plans[request.plan_index];
  if (plan.ceiling_rate > 0) customer->ceiling.put_back(request.units);
  customer->undivided_quota.put_back(request.units);
  if (!within_quota || plan.quota_rate <= 0) return;
  customer->quota.put_back(request.units);
  customer->classes[request.class_index].bucket.put_back(request.units);
  customer->units_granted = std::max(customer->units_granted - request.units, 0.0);
}

void CustomerQuotas::correct(const Request& request, bool within_quota, double actual_units) {
  Customer* customer = find(request.customer);
  if (customer == nullptr || !within_quota || settings_.plans[request.plan_index].quota_rate <= 0) return;
  const double unused_units = request.units - actual_units;
  customer->quota.put_back(unused_units);
  customer->classes[request.class_index].bucket.put_back(unused_units);
}

// Levels are split so that both gateways together grant no more than one would. Debt moves to the successor.
void CustomerQuotas::export_to(HandoverSnapshot& snapshot, Ms now) {
  snapshot.age_ms = age(now);
  for (auto& [id, customer] : customers_) {
    CustomerSnapshot exported;
    exported.id = id;
    exported.plan_index = customer.plan_index;
    exported.gateway_count = customer.gateway_count;
    exported.quota_level = customer.quota.split_off(kRetainedFraction, now);
    exported.undivided_quota_level = customer.undivided_quota.split_off(kRetainedFraction, now);
    exported.ceiling_level = customer.ceiling.split_off(kRetainedFraction, now);
    for (auto& class_quota : customer.classes) {
      exported.class_levels.push_back(class_quota.bucket.split_off(kRetainedFraction, now));
    }
    exported.demand = customer.recent_units;
    exported.idle_ms = now - customer.last_request_at;
    exported.attempts_in_flight = customer.attempts_in_flight;
    snapshot.customers.push_back(std::move(exported));
  }
  handed_over_ = true;
  on_settings_changed(now);
}

// For a customer that is not in the snapshot it is unknown what the predecessor has granted. Its ceiling
// therefore counts as empty at the predecessor's start, or now if that is unknown too. The start of this
// process would be wrong, as it may have waited long for the hand-over.
void CustomerQuotas::import_from(const HandoverSnapshot& snapshot, Ms now) {
  started_at_ = now - finite_or(snapshot.age_ms, 0);
  const auto set_level = [](TokenBucket& bucket, double level) {
    bucket.set_tokens(finite_or(level, 0, -kInfiniteMs));
  };
  for (const auto& imported : snapshot.customers) {
    if (imported.plan_index >= settings_.plans.size()) continue;
    Customer& customer = find_or_create({.plan_index = imported.plan_index,
                                         .customer = imported.id,
                                         .gateway_count = finite_or(imported.gateway_count, 1, 1)},
                                        now);
    set_level(customer.quota, imported.quota_level);
    set_level(customer.undivided_quota, imported.undivided_quota_level);
    set_level(customer.ceiling, imported.ceiling_level);
    const std::size_t class_count = std::min(customer.classes.size(), imported.class_levels.size());
    for (std::size_t i = 0; i < class_count; ++i) {
      set_level(customer.classes[i].bucket, imported.class_levels[i]);
    }
    customer.units_grantable = std::max(customer.quota.tokens(), 0.0);
    customer.recent_units = finite_or(imported.demand, 0);
    customer.last_request_at = now - finite_or(imported.idle_ms, 0);
    customer.predecessor_attempts_in_flight = finite_or(imported.attempts_in_flight, 0);
  }
}

void CustomerQuotas::forget_predecessor_attempts() {
  for (auto& [id, customer] : customers_) customer.predecessor_attempts_in_flight = 0;
}

}  // namespace cometfold::admission
