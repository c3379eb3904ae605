// Customers that send requests to a model fleet.
#pragma once

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "model_fleet.h"

namespace cometfold::testing {

// Customers that spread their requests unevenly over gateways and retry rejected ones. For comparison, each
// has the token bucket that its quota would be if a single gateway received all its requests.
class ModelCustomers {
 public:
  // Units of one plan.
  struct Account {
    double requested = 0;   // without retries
    double admissible = 0;  // of these, what one bucket for all gateways would admit
    double within_quota = 0;
    double beyond_quota = 0;
    double rejected_within_quota = 0;  // including retries
  };

  // A fraction `retry_fraction` of the rejected requests is retried, and a fraction `same_gateway_fraction`
  // of the retries is sent to the same gateway.
  ModelCustomers(ModelFleet& fleet, const AdmissionSettings& settings, double retry_fraction,
                 double same_gateway_fraction = 0)
      : fleet_(fleet),
        settings_(settings),
        retry_fraction_(retry_fraction),
        same_gateway_fraction_(same_gateway_fraction),
        accounts_(settings.plans.size()) {
    fleet.observer().on_first_send = [this](const Request& request) { on_request_sent(request); };
    fleet.observer().on_rejected = [this](const Request& request, Ms after, RejectionReason) {
      on_request_rejected(request, after);
    };
  }

  // Adds a customer that requests `relative_demand` times its quota's rate through `gateway_count` gateways
  // from `first_gateway` on. The n-th of them receives a share in proportion to 1 / n^skew.
  void add(std::uint32_t plan, double relative_demand, std::size_t gateway_count, std::size_t first_gateway,
           double skew) {
    Customer customer{
        plan,        first_gateway, {}, settings_.plans[plan].quota_burst, settings_.plans[plan].quota_burst,
        fleet_.now()};
    for (std::size_t n = 1; n <= gateway_count; ++n) {
      customer.cumulative_shares.push_back(
          (customer.cumulative_shares.empty() ? 0 : customer.cumulative_shares.back()) +
          std::pow(static_cast<double>(n), -skew));
    }
    const double rate = relative_demand * settings_.plans[plan].quota_rate;
    rates_.push_back((rates_.empty() ? 0 : rates_.back()) + rate);
    customers_.push_back(std::move(customer));
  }

  void run(Ms span) {
    fleet_.run_at(rates_.back(), span, [this](ModelFleet& fleet) {
      const std::size_t i = pick(rates_, fleet.draw());
      Customer& customer = customers_[i];
      account(customer).requested += 1;
      refill(customer);
      if (customer.ideal_tokens >= 1) {
        customer.ideal_tokens -= 1;
        account(customer).admissible += 1;
      }
      return std::pair{gateway(customer),
                       Request{.plan_index = customer.plan,
                               .customer = i,
                               .gateway_count = static_cast<double>(customer.cumulative_shares.size())}};
    });
  }
  const std::vector<Account>& accounts() const { return accounts_; }

 private:
  struct Customer {
    std::uint32_t plan;
    std::size_t first_gateway;
    std::vector<double> cumulative_shares;
    double tokens;        // reduced by the requests that were sent within the quota
    double ideal_tokens;  // reduced by every request that one bucket for all gateways would admit
    Ms refilled_at;
  };
  static std::size_t pick(const std::vector<double>& sums, double draw) {
    return static_cast<std::size_t>(std::upper_bound(sums.begin(), sums.end(), draw * sums.back()) -
                                    sums.begin());
  }
  Account& account(const Customer& customer) { return accounts_[customer.plan]; }
  std::size_t gateway(const Customer& customer) {
    return (customer.first_gateway + pick(customer.cumulative_shares, fleet_.draw())) % fleet_.gateways();
  }
  void refill(Customer& customer) {
    const auto& plan = settings_.plans[customer.plan];
    const double earned = plan.quota_rate * (fleet_.now() - customer.refilled_at) / 1000;
    customer.tokens = std::min(plan.quota_burst, customer.tokens + earned);
    customer.ideal_tokens = std::min(plan.quota_burst, customer.ideal_tokens + earned);
    customer.refilled_at = fleet_.now();
  }
  void on_request_sent(const Request& request) {
    Customer& customer = customers_[request.customer];
    refill(customer);
    if (customer.tokens >= request.units) {
      customer.tokens -= request.units;
      account(customer).within_quota += request.units;
    } else {
      account(customer).beyond_quota += request.units;
    }
  }
  void on_request_rejected(const Request& request, Ms after) {
    Customer& customer = customers_[request.customer];
    refill(customer);
    if (customer.tokens >= request.units) account(customer).rejected_within_quota += request.units;
    if (fleet_.draw() >= retry_fraction_) return;
    const std::size_t next = same_gateway_fraction_ > 0 && fleet_.draw() < same_gateway_fraction_
                                 ? fleet_.rejecting_gateway()
                                 : gateway(customer);
    fleet_.submit_later(std::clamp(after, 200.0, 1000.0), next, request);
  }

  ModelFleet& fleet_;
  const AdmissionSettings& settings_;
  double retry_fraction_;
  double same_gateway_fraction_;
  std::vector<Account> accounts_;
  std::vector<Customer> customers_;
  std::vector<double> rates_;  // requests per second, cumulative
};

}  // namespace cometfold::testing
