// What customers get through all gateways together, against their quotas.
#include <gtest/gtest.h>

#include "model_customers.h"
#include "tests/support.h"

namespace cometfold::testing {
namespace {

constexpr std::size_t kGateways = 300;

AdmissionSettings shop() {
  auto settings = plain_settings();
  settings.gateway_count = kGateways;
  settings.classes[0].latency_objective_ms = 1700;
  settings.max_retry_after_ms = 1000;
  settings.plans = {{.quota_rate = 1.4, .quota_burst = 6, .over_quota_cost = 1.2},
                    {.quota_rate = 2.5, .quota_burst = 11, .over_quota_cost = 0.6},
                    {.quota_rate = 6, .quota_burst = 12, .over_quota_cost = 0.8}};
  return settings;
}

// 450 customers with 90 to 300 gateways each, on hosts without load. A tenth of them requests 1.8 to 4.8
// times its quota. Figures are fractions of what one bucket for all gateways would admit.
struct QuietDay {
  double price = 0;         // admitted beyond the quota, by the plans' costs
  double within_quota = 0;  // admitted within the quota
};

QuietDay play(const AdmissionSettings& settings, double comes_again) {
  std::vector<HostEntry> hosts;
  for (HostId host_id = 1; host_id <= 200; ++host_id) hosts.push_back(host(host_id));
  ModelFleet fleet(settings, kGateways, hosts, [](ModelFleet& model, HostId) {
    return AttemptFate{Outcome::kOk, model.exponential(150)};
  });
  ModelCustomers customers(fleet, settings, comes_again, 0.37);
  for (std::uint32_t i = 0; i < 450; ++i) {
    const double use = i % 10 == 0 ? 1.8 + 3 * fleet.draw() : i % 10 < 3 ? 0.9 : 0.15 + 0.35 * fleet.draw();
    customers.add(i / 10 % 3, use, 90 + static_cast<std::size_t>(210 * fleet.draw()),
                  static_cast<std::size_t>(kGateways * fleet.draw()), 0.3 + 0.5 * fleet.draw());
  }
  customers.run(20'000);
  QuietDay day;
  double admissible = 0;
  for (std::size_t p = 0; p < settings.plans.size(); ++p) {
    const auto& account = customers.accounts()[p];
    admissible += account.admissible, day.within_quota += account.within_quota,
        day.price += account.beyond_quota * settings.plans[p].over_quota_cost;
  }
  day.within_quota /= admissible, day.price /= admissible;
  return day;
}

// 300 slices that start full would admit fifty bursts of the quota together, as rejected clients retry at the
// next.
TEST(FleetQuotas, WhereClientsRetryFullSlicesDoNotAdmitAll) {
  const QuietDay day = play(shop(), 0.9);
  EXPECT_LE(day.price, 0.155);
  EXPECT_GE(day.within_quota, 0.80);
}

// Where no client retries, a rejection ends a request, so fewer are rejected.
TEST(FleetQuotas, WhereNoClientRetriesMoreIsAdmitted) {
  const QuietDay day = play(shop(), 0);
  EXPECT_LE(day.price, 0.16);
  EXPECT_GE(day.within_quota, 0.74);
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

// A slice of half a request at each of four gateways: four bursts at most, and all are admitted.
TEST(FleetQuotas, WithFewGatewaysAFullSliceAdmitsAll) {
  auto settings = shop();
  settings.plans[0].quota_burst = 8;
  settings.plans[0].over_quota_cost = 3;
  settings.max_request_units = 4;
  EXPECT_EQ(first_requests_sent(settings, 4, 4), 1);
  EXPECT_EQ(first_requests_sent(settings, 300, 4), 1);
  EXPECT_LT(first_requests_sent(settings, 300, 100), 0.95);
}

// Plans whose overruns earn what they cost are limited under load only.
TEST(FleetQuotas, PlansWithoutOverrunCostAreNotLimited) {
  auto settings = shop();
  settings.plans[0].over_quota_value = settings.plans[0].over_quota_cost = 0.7;
  settings.max_request_units = 4;
  EXPECT_EQ(first_requests_sent(settings, 300, 100), 1);
}

// Two gateways reject alike; one's clients retry within a second, the other's never do.
TEST(FleetQuotas, AGatewayLearnsWhetherRejectedClientsRetry) {
  const auto sent_in_the_end = [](bool again) {
    Gateway gateway(shop(), {host(1), host(2), host(3), host(4)});
    int sent = 0;
    RequestId id = 0;
    for (CustomerId customer = 1; customer <= 600; ++customer) {
      const bool passed = gateway.submit(++id, 1, 200, customer);
      gateway.answer_all();
      sent += customer > 300 && passed;
      gateway.advance(200);
      // 0.37 of the retries come to the same gateway; the others go elsewhere, which this gateway does not
      // see.
      if (again && !passed && customer % 3 == 0) gateway.submit(++id, 1, 200, customer);
      gateway.answer_all();
    }
    return sent;
  };
  EXPECT_LE(sent_in_the_end(true), 180);
  EXPECT_GE(sent_in_the_end(false), 270);
}

}  // namespace
}  // namespace cometfold::testing
