// The customers known to this gateway, with the buckets of their quotas, ceilings and classes.
#pragma once

#include <map>
#include <optional>

#include "admission/customer.h"

namespace cometfold::admission {

// A quota is divided evenly between the gateways that a customer's requests come through; each class of the
// customer is guaranteed an even part of the slice and borrows what the others leave. References to customers
// hold until the next `on_tick`. The settings outlive the object.
class CustomerQuotas {
 public:
  explicit CustomerQuotas(const AdmissionSettings& settings) : settings_(settings) {}

  void start(Ms now) { started_at_ = now; }
  // Time over which this gateway, or the one whose place it took, has counted demand, in milliseconds.
  Ms age(Ms now) const { return now - started_at_; }
  // Fits all buckets to changed settings.
  void on_settings_changed(Ms now);
  // Lends unused quota between classes and evicts idle customers.
  void on_tick(Ms now);

  // The customer of this request, with buckets for its plan and gateway count.
  Customer& find_or_create(const Request& request, Ms now);
  // Null if the customer is not known.
  Customer* find(CustomerId id);

  // Whether the ceiling's slice holds the request's units; true if the plan has none.
  bool is_below_ceiling(Customer& customer, const Request& request, Ms now) const;
  // Which limit the request exceeds; nothing if it is inside its customer's quota.
  std::optional<RejectionReason> exceeded_limit(Customer& customer, const Request& request, Ms now) const;
  bool is_at_concurrency_limit(const Customer& customer) const;

  // Takes the units of an admitted request. `within_quota`: as `exceeded_limit` had it.
  void charge(Customer& customer, const Request& request, bool within_quota, Ms now) const;
  // Returns the units of a request that was never sent.
  void refund(const Request& request, bool within_quota);
  // Replaces the request's estimated units by the actual ones.
  void correct(const Request& request, bool within_quota, double actual_units);

  // Splits all levels with the successor. From here on nothing is refilled, as the successor does so.
  void export_to(HandoverSnapshot& snapshot, Ms now);
  void import_from(const HandoverSnapshot& snapshot, Ms now);
  void forget_predecessor_attempts();

 private:
  void fit_buckets(Customer& customer, Ms now) const;
  void initialize(Customer& customer, Ms now) const;
  static void lend_between_classes(Customer& customer, Ms now);
  static bool can_evict(Customer& customer, Ms now);
  // Whether a new customer would have the same buckets; so those that come once do not fill the memory.
  static bool is_like_new(Customer& customer, Ms now);
  const PlanSettings& plan_of(const Customer& customer) const { return settings_.plans[customer.plan_index]; }

  const AdmissionSettings& settings_;
  std::map<CustomerId, Customer> customers_;
  Ms started_at_ = 0;
  bool handed_over_ = false;
};

}  // namespace cometfold::admission
