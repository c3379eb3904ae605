// The customers known to this gateway, with the token buckets of their quotas, ceilings and classes.
#pragma once

#include <map>
#include <optional>

#include "admission/customer.h"

namespace cometfold::admission {

// A quota is divided evenly among the gateways that receive the customer's requests. Each class is guaranteed
// an equal part of the slice and borrows what the other classes leave unused. References to customers are
// valid until the next `on_tick`. The settings must outlive the object.
class CustomerQuotas {
 public:
  explicit CustomerQuotas(const AdmissionSettings& settings) : settings_(settings) {}

  void start(Ms now) { started_at_ = now; }
  // Time over which this gateway and its predecessors have counted demand, in milliseconds.
  Ms age(Ms now) const { return now - started_at_; }
  // Resizes all buckets for changed settings.
  void on_settings_changed(Ms now);
  // Lends unused quota between classes and evicts idle customers.
  void on_tick(Ms now);

  // Returns the request's customer, with buckets sized for the request's plan and gateway count.
  Customer& find_or_create(const Request& request, Ms now);
  // Returns null if the customer is unknown.
  Customer* find(CustomerId id);

  // Whether the ceiling's slice covers the request's units; true if the plan has no ceiling.
  bool is_below_ceiling(Customer& customer, const Request& request, Ms now) const;
  // Returns the limit that the request exceeds, or nothing if it is within its customer's quota.
  std::optional<RejectionReason> exceeded_limit(Customer& customer, const Request& request, Ms now) const;
  bool is_at_concurrency_limit(const Customer& customer) const;

  // Takes the units of an admitted request. `within_quota`: `exceeded_limit` has returned nothing for it.
  void charge(Customer& customer, const Request& request, bool within_quota, Ms now) const;
  // Returns the units of a request that was never sent.
  void refund(const Request& request, bool within_quota);
  // Replaces the request's estimated units by the actual ones.
  void correct(const Request& request, bool within_quota, double actual_units);

  // Moves most of all levels to the snapshot. Afterwards only the successor refills its buckets.
  void export_to(HandoverSnapshot& snapshot, Ms now);
  void import_from(const HandoverSnapshot& snapshot, Ms now);
  void forget_predecessor_attempts();

 private:
  void fit_buckets(Customer& customer, Ms now) const;
  void initialize(Customer& customer, Ms now) const;
  static void lend_between_classes(Customer& customer, Ms now);
  static bool can_evict(Customer& customer, Ms now);
  // Keeps the customers within `AdmissionSettings::max_customers`, however many names there are.
  void evict_excess(Ms now);
  // Whether a new customer would have the same state. Evicting such customers early keeps those that send a
  // single request from filling the memory.
  static bool is_like_new(Customer& customer, Ms now);
  const PlanSettings& plan_of(const Customer& customer) const { return settings_.plans[customer.plan_index]; }

  const AdmissionSettings& settings_;
  std::map<CustomerId, Customer> customers_;
  Ms started_at_ = 0;
  Ms ceilings_forgotten_at_ = -kInfiniteMs;  // when a customer was evicted whose ceiling was not full
  bool handed_over_ = false;
};

}  // namespace cometfold::admission
