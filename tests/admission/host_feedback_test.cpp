// Handling of rejections by hosts and of health checks, and the reasons that a gateway gives for its own
// rejections.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "large_fleet.h"

namespace cometfold::testing {
namespace {

// Hosts with free capacity reject the requests of one plan.
TEST(HostRejections, OnlyTheRejectedPlanAvoidsTheHostAndItsRetriesAreOutsideTheBudget) {
  auto settings = large_fleet_settings(2);
  settings.plans.push_back(settings.plans[0]);
  Gateway gateway(settings, host_list(4));
  std::map<HostId, int> throttled, other;
  int unserved = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    const auto plan = static_cast<std::uint32_t>(id % 2);
    gateway.controller.on_request(gateway.now, {id, 0, plan, id, gateway.now + 4000, 1, 2}, gateway.sink);
    for (std::uint32_t attempt = 0; attempt < 4; ++attempt) {
      const auto* action = gateway.sink.find(RecordedAction::kSend, id);
      if (action == nullptr) {
        ++unserved;
        break;
      }
      const HostId host_id = action->host;
      gateway.sink.take();
      ++(plan == 0 ? throttled : other)[host_id];
      const bool full = plan == 0 && host_id <= 2;
      gateway.end_attempt(id, attempt, host_id, full ? Outcome::kOverloaded : Outcome::kOk, 50);
      if (!full) break;
    }
    gateway.sink.take();
    gateway.now += 20;
    if (id % 5 == 0) gateway.tick();
  }
  EXPECT_LE(unserved, 8);
  EXPECT_LE(throttled[1] + throttled[2], 100) << "of 200; an equal share is half";
  EXPECT_GE(other[1] + other[2], 70) << "the other plan is still sent there";
}

TEST(HostRejections, AnAttemptThatWasNotExecutedIsRetriedOutsideTheBudget) {
  for (const auto outcome : {Outcome::kOverloaded, Outcome::kConnectFailed}) {
    auto settings = large_fleet_settings(2);
    settings.plans.push_back(settings.plans[0]);
    Gateway gateway(settings, host_list(60));
    int again = 0;
    for (RequestId id = 1; id <= 60; ++id) {  // every other request is not executed by its first host
      const auto plan = static_cast<std::uint32_t>(id % 2);
      gateway.controller.on_request(gateway.now, {id, 0, plan, id, gateway.now + 4000, 1, 2}, gateway.sink);
      const auto* first = gateway.sink.find(RecordedAction::kSend, id);
      ASSERT_NE(first, nullptr);
      const HostId host_id = first->host;
      gateway.sink.take();
      gateway.end_attempt(id, 0, host_id, plan == 0 ? outcome : Outcome::kOk, 50);
      if (const auto* second = gateway.sink.find(RecordedAction::kSend, id)) {
        ++again;
        const HostId other = second->host;
        EXPECT_NE(other, host_id);
        gateway.sink.take();
        gateway.end_attempt(id, 1, other, Outcome::kOk, 50);
      }
      gateway.sink.take();
      gateway.now += 20;
    }
    EXPECT_EQ(again, 30) << "the budget alone allows 5 plus a tenth of 60";
  }
}

AdmissionSettings health_check_settings() {
  auto settings = large_fleet_settings();
  settings.health_checks_allowed = true;
  return settings;
}

TEST(HealthChecks, AreLimitedByTheNumberOfSends) {
  Gateway gateway(health_check_settings(), host_list(30));
  int probes = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    gateway.advance(300);
    gateway.submit(id, 1, 2, id);
    probes += static_cast<int>(gateway.sink.count(RecordedAction::kHealthCheck));
    gateway.answer_all();
  }
  EXPECT_GE(probes, 70);
  EXPECT_LE(probes, 130);
}

// A missing report, a failed health check and a long queue all make a host less preferred.
TEST(HealthChecks, AMissingReportDoesNotMeanAnIdleHost) {
  for (const int silent : {0, 1, 2}) {
    Gateway gateway(health_check_settings(), host_list(6));
    std::map<HostId, int> sends;
    for (RequestId id = 1; id <= 300; ++id) {
      gateway.advance(300);
      for (HostId host_id = 1; host_id <= 6; ++host_id) {
        LoadReport load{0, {}, 0.3};
        if (host_id == 1) load = silent == 0 ? LoadReport{} : LoadReport{9, {}, 1.0};
        gateway.controller.on_health_check_end(gateway.now, host_id, 1, !(host_id == 1 && silent == 1), load,
                                               gateway.sink);
      }
      if (gateway.submit(id, 1, 2, id)) ++sends[gateway.sink.find(RecordedAction::kSend, id)->host];
      gateway.answer_all();
    }
    EXPECT_LE(sends[1], 15) << silent;
    EXPECT_GE(sends[2] + sends[3] + sends[4] + sends[5] + sends[6], 250) << silent;
  }
}

TEST(RejectionReasons, EachRejectionNamesItsReason) {
  auto settings = plain_settings();
  settings.plans[0].over_quota_cost = 1;
  settings.plans.push_back(
      {.quota_rate = 1000, .quota_burst = 1000, .ceiling_rate = 10, .ceiling_burst = 20});
  settings.plans.push_back(
      {.quota_rate = 1000, .quota_burst = 1000, .over_quota_cost = 1, .max_concurrent_attempts = 2});
  const auto cause = [&](std::uint32_t plan, int before, std::vector<HostEntry> hosts) {
    Gateway gateway(settings, std::move(hosts));
    RequestId id = 1;
    for (; id <= static_cast<RequestId>(before); ++id) {
      gateway.controller.on_request(gateway.now, {id, 0, plan, 5, gateway.now + 4000, 1, 2}, gateway.sink);
    }
    gateway.controller.on_request(gateway.now, {id, 0, plan, 5, gateway.now + 4000, 1, 2}, gateway.sink);
    return gateway.sink.rejection_reason(id);
  };
  EXPECT_EQ(cause(9, 0, {host(1)}), RejectionReason::kMalformed);
  EXPECT_EQ(cause(1, 0, {host(1)}), RejectionReason::kCeiling) << "its slice starts empty";
  EXPECT_EQ(cause(0, 0, {}), RejectionReason::kNoHost);
  EXPECT_EQ(cause(0, 0, {host(1, HostState::kDraining)}), RejectionReason::kNoHost);
  EXPECT_EQ(cause(0, 0, {host(1)}), std::nullopt);
  EXPECT_EQ(cause(2, 1, {host(1)}), RejectionReason::kConcurrencyLimit);
  EXPECT_EQ(cause(0, 6, {host(1), host(2), host(3), host(4), host(5)}), RejectionReason::kOverQuota);
}

}  // namespace
}  // namespace cometfold::testing
