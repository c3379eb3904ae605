// Units admitted over all gateways together, compared with the customers' quotas.
#include <gtest/gtest.h>

#include "model_customers.h"
#include "tests/support.h"

namespace cometfold::testing {
namespace {

constexpr std::size_t kGateways = 300;

AdmissionSettings fleet_settings() {
  auto settings = plain_settings();
  settings.gateway_count = kGateways;
  settings.classes[0].latency_objective_ms = 1700;
  settings.max_retry_after_ms = 1000;
  settings.plans = {{.quota_rate = 1.4, .quota_burst = 6, .over_quota_cost = 1.2},
                    {.quota_rate = 2.5, .quota_burst = 11, .over_quota_cost = 0.6},
                    {.quota_rate = 6, .quota_burst = 12, .over_quota_cost = 0.8}};
  return settings;
}

// Results for 450 customers with 90 to 300 gateways each, on hosts without load. A tenth of them requests 1.8
// to 4.8 times its quota. Both are fractions of what one bucket for all gateways would admit.
struct UnloadedResult {
  double overrun_cost = 0;  // admitted beyond the quota, weighted with the plans' costs
  double within_quota = 0;  // admitted within the quota
};

UnloadedResult run_unloaded(const AdmissionSettings& settings, double retry_fraction) {
  std::vector<HostEntry> hosts;
  for (HostId host_id = 1; host_id <= 200; ++host_id) hosts.push_back(host(host_id));
  ModelFleet fleet(settings, kGateways, hosts, [](ModelFleet& model, HostId) {
    return AttemptFate{Outcome::kOk, model.exponential(150)};
  });
  ModelCustomers customers(fleet, settings, retry_fraction, 0.37);
  for (std::uint32_t i = 0; i < 450; ++i) {
    const double relative_demand = i % 10 == 0  ? 1.8 + 3 * fleet.draw()
                                   : i % 10 < 3 ? 0.9
                                                : 0.15 + 0.35 * fleet.draw();
    customers.add(i / 10 % 3, relative_demand, 90 + static_cast<std::size_t>(210 * fleet.draw()),
                  static_cast<std::size_t>(kGateways * fleet.draw()), 0.3 + 0.5 * fleet.draw());
  }
  customers.run(20'000);
  UnloadedResult result;
  double admissible = 0;
  for (std::size_t p = 0; p < settings.plans.size(); ++p) {
    const auto& account = customers.accounts()[p];
    admissible += account.admissible, result.within_quota += account.within_quota,
        result.overrun_cost += account.beyond_quota * settings.plans[p].over_quota_cost;
  }
  result.within_quota /= admissible, result.overrun_cost /= admissible;
  return result;
}

// 300 slices start full. Without a limit they would together admit fifty bursts of the quota, because
// rejected clients retry at another gateway.
TEST(FleetQuotas, WhereClientsRetryFullSlicesDoNotAdmitAll) {
  const UnloadedResult result = run_unloaded(fleet_settings(), 0.9);
  EXPECT_LE(result.overrun_cost, 0.155);
  EXPECT_GE(result.within_quota, 0.80);
}

// Where no client retries, each rejection ends a request, so fewer requests are rejected.
TEST(FleetQuotas, WhereNoClientRetriesMoreIsAdmitted) {
  const UnloadedResult result = run_unloaded(fleet_settings(), 0);
  EXPECT_LE(result.overrun_cost, 0.16);
  EXPECT_GE(result.within_quota, 0.74);
}

double first_requests_sent(AdmissionSettings settings, double gateways, double spread) {
  settings.gateway_count = gateways;
  Gateway gateway(settings, {host(1), host(2), host(3), host(4)});
  int sent = 0;
  constexpr int kCustomers = 400;
  for (RequestId id = 1; id <= kCustomers; ++id) {
    sent += gateway.submit(id, 4, spread, id);
    gateway.answer_all();
    gateway.advance(100);
  }
  return sent / static_cast<double>(kCustomers);
}

// A slice of half a request at each of four gateways admits at most four bursts in total, so all first
// requests are admitted. The same holds for customers of four gateways in a larger fleet, but not for those
// of a hundred.
TEST(FleetQuotas, WithFewGatewaysAFullSliceAdmitsAll) {
  auto settings = fleet_settings();
  settings.plans[0].quota_burst = 8;
  settings.plans[0].over_quota_cost = 3;
  settings.max_request_units = 4;
  EXPECT_EQ(first_requests_sent(settings, 4, 4), 1);
  EXPECT_EQ(first_requests_sent(settings, 300, 4), 1);
  EXPECT_LT(first_requests_sent(settings, 300, 100), 0.95);
}

// Plans whose overruns earn as much as they cost are limited under load only.
TEST(FleetQuotas, PlansWithoutOverrunCostAreNotLimited) {
  auto settings = fleet_settings();
  settings.plans[0].over_quota_value = settings.plans[0].over_quota_cost = 0.7;
  settings.max_request_units = 4;
  EXPECT_EQ(first_requests_sent(settings, 300, 100), 1);
}

// Two gateways reject alike. The clients of one retry within a second, those of the other never do.
TEST(FleetQuotas, AGatewayLearnsWhetherRejectedClientsRetry) {
  const auto requests_sent = [](bool clients_retry) {
    Gateway gateway(fleet_settings(), {host(1), host(2), host(3), host(4)});
    int sent = 0;
    RequestId id = 0;
    for (CustomerId customer = 1; customer <= 600; ++customer) {
      const bool passed = gateway.submit(++id, 1, 200, customer);
      gateway.answer_all();
      sent += customer > 300 && passed;
      gateway.advance(200);
      // 0.37 of the retries, here those of every third customer, arrive at the same gateway. The others go
      // elsewhere, which it cannot observe.
      if (clients_retry && !passed && customer % 3 == 0) gateway.submit(++id, 1, 200, customer);
      gateway.answer_all();
    }
    return sent;
  };
  EXPECT_LE(requests_sent(true), 180);
  EXPECT_GE(requests_sent(false), 270);
}

}  // namespace
}  // namespace cometfold::testing
