// Regression tests, each a minimal case of a fault in an earlier version. Identifiers such as ic5cc20 name
// the incident.
#include <gtest/gtest.h>

#include <map>

#include "tests/support.h"

namespace cometfold::testing {
namespace {

AdmissionSettings large_quota_settings() {
  auto settings = plain_settings();
  settings.plans[0].quota_rate = 1000;
  settings.plans[0].quota_burst = 1000;
  return settings;
}

// ic5cc20: a host that rejects within a millisecond looked fast and attracted requests.
TEST(HostSelection, AHostThatRejectsAtOnceDrawsNoTraffic) {
  Gateway gateway(large_quota_settings());
  std::map<HostId, int> sends;
  for (RequestId id = 1; id <= 300; ++id) {
    gateway.submit(id);
    gateway.now += 5;
    for (std::uint32_t attempt = 0; attempt < 3; ++attempt) {  // the retry elsewhere is answered too
      const auto* action = gateway.sink.find(RecordedAction::kSend, id);
      if (action == nullptr) break;
      const HostId host_id = action->host;
      gateway.sink.take();
      ++sends[host_id];
      const bool bad = host_id == 1;
      gateway.end_attempt(id, attempt, host_id, bad ? Outcome::kOverloaded : Outcome::kOk, bad ? 1 : 60);
    }
    gateway.sink.take();
    if (id % 20 == 0) gateway.tick();
  }
  EXPECT_LT(sends[1], 60) << "of 300; an equal share is a third";
  EXPECT_GT(sends[2], 80);
}

// i5f6c38: attempts in flight must be limited while no answers arrive.
TEST(HostSelection, WithoutAnswersNoMoreIsSent) {
  Gateway gateway(large_quota_settings());
  RequestId id = gateway.complete_requests(1, 50);
  int sent = 0;
  for (int i = 0; i < 200; ++i, gateway.now += 10) sent += gateway.submit(id++, 1, 2, 7);
  // 3 hosts, 2 gateways: a few attempts per core, without long queues.
  EXPECT_LE(sent, 40);
  EXPECT_GE(sent, 3);
}

TEST(HostSelection, ASilentHostIsAvoidedBeforeATimeOut) {
  Gateway gateway(large_quota_settings());
  RequestId id = gateway.complete_requests(1, 50);
  std::map<HostId, int> sends;
  for (int i = 0; i < 60; ++i) {
    gateway.submit(++id);
    gateway.now += 20;
    for (const auto& action : gateway.sink.take()) {
      if (action.kind != RecordedAction::kSend) continue;
      ++sends[action.host];
      if (action.host != 1) gateway.end_attempt(action.id, 0, action.host, Outcome::kOk, 20);
    }
  }
  EXPECT_LE(sends[1], 4);
}

// A quota of 10 units per second with burst 10: a slice of 5 per second with capacity 5 at each of 2
// gateways.
AdmissionSettings quota_settings() {
  auto settings = plain_settings();
  settings.plans[0].quota_rate = 10;
  settings.plans[0].quota_burst = 10;
  settings.plans[0].over_quota_cost = 0.8;
  return settings;
}

int passed_in(Gateway& gateway, RequestId first, int n, Ms gap) {
  int passed = 0;
  for (int i = 0; i < n; ++i) {
    passed += gateway.submit(first + static_cast<RequestId>(i));
    gateway.answer_all();
    gateway.advance(gap);
  }
  return passed;
}

// A customer within its quota sends most of its requests to this gateway: 6.25 per second, with a slice of 5.
TEST(QuotaOverrun, AnUnevenlySpreadCustomerIsAdmittedBeyondItsSlice) {
  Gateway gateway(quota_settings());
  passed_in(gateway, 1, 200, 160);
  EXPECT_GE(passed_in(gateway, 1000, 100, 160), 90) << "the slice alone would admit 80";
}

// A customer with 2.4 slices of demand at one gateway may be unevenly spread if it has four gateways. If it
// has two, it is beyond its quota.
TEST(QuotaOverrun, MoreGatewaysMayBeUsedMoreUnevenly) {
  for (const double spread : {2.0, 4.0}) {
    auto settings = quota_settings();
    settings.gateway_count = 4;
    Gateway gateway(settings);
    const double slice = settings.plans[0].quota_rate / spread;
    const Ms gap = 1000 / (2.4 * slice);
    int passed = 0;
    for (RequestId id = 1; id <= 200; ++id) {
      const bool sent = gateway.submit(id, 1, spread);
      passed += id > 100 && sent;
      gateway.answer_all();
      gateway.advance(gap);
    }
    if (spread > 2) {
      EXPECT_GE(passed, 90);
    } else {
      EXPECT_LE(passed, 60);
    }
  }
}

// i7805d0, i5af206: a customer that requests three times its quota at one gateway is not unevenly spread.
TEST(QuotaOverrun, AHeavyCustomerIsNotTakenForAnUnevenlySpreadOne) {
  Gateway gateway(quota_settings());
  passed_in(gateway, 1, 300, 33);
  const int passed = passed_in(gateway, 1000, 300, 33);  // 10 s at 30 per second
  EXPECT_LE(passed, 55) << "the slice admits 50";
  EXPECT_GE(passed, 45);
}

TEST(QuotaOverrun, ANewCustomerIsNotAdmittedBeyondItsSlice) {
  Gateway gateway(quota_settings());
  int passed = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    passed += gateway.submit(id);
    gateway.answer_all();
  }
  EXPECT_EQ(passed, 5);
}

// Hedging requests that are long-running but not stuck wastes work.
TEST(Retries, WaitForALongRequest) {
  Gateway gateway(large_quota_settings());
  gateway.complete_requests(1, 50);
  ASSERT_TRUE(gateway.submit(500));
  gateway.sink.take();
  gateway.now += 590;  // below 0.6 of the objective of 1 s
  gateway.controller.on_timer(gateway.now, 500, gateway.sink);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kSend), 0u);
  gateway.now += 20;
  gateway.controller.on_timer(gateway.now, 500, gateway.sink);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kSend), 1u);
}

TEST(Retries, HaveABudget) {
  Gateway gateway(large_quota_settings());
  RequestId id = gateway.complete_requests(1, 300);
  int again = 0;
  for (int i = 0; i < 200; ++i, ++id, gateway.now += 20) {
    gateway.sink.take();
    gateway.submit(id);
    const auto* first = gateway.sink.find(RecordedAction::kSend, id);
    if (first == nullptr) continue;
    const HostId host_id = first->host;
    gateway.sink.take();
    gateway.end_attempt(id, 0, host_id, Outcome::kError, 5);
    const auto* second = gateway.sink.find(RecordedAction::kSend, id);
    if (second == nullptr) continue;
    ++again;
    const HostId second_host_id = second->host;
    gateway.sink.take();
    gateway.end_attempt(id, 1, second_host_id, Outcome::kOk, 20);
  }
  EXPECT_GE(again, 10);
  EXPECT_LE(again, 10 + 200 / 10 + 1) << "the saved retries plus a tenth of the first attempts";
}

// With a single host or without attempts left, cancelling a slow attempt would only lose its answer.
TEST(Retries, TheLastAttemptIsNotCancelledWithoutAnAlternative) {
  for (const bool alone : {true, false}) {
    for (const double attempts : {1.0, 4.0}) {
      auto settings = large_quota_settings();
      settings.hedging_allowed = false;
      settings.max_attempts = attempts;
      Gateway gateway(settings, alone ? std::vector{host(1)} : std::vector{host(1), host(2)});
      RequestId id = gateway.complete_requests(1, 50);
      ASSERT_TRUE(gateway.submit(500, 1, 2, 77));
      gateway.sink.take();
      std::size_t cancels = 0;
      for (int i = 0; i < 30; ++i) {  // 1.5 s, with answers to others all the time
        gateway.complete_requests(++id + 1000, 1);
        gateway.now += 50;
        gateway.tick();
        gateway.controller.on_timer(gateway.now, 500, gateway.sink);
        cancels += gateway.sink.count(RecordedAction::kCancel);
        gateway.sink.take();
      }
      EXPECT_EQ(cancels > 0, !alone && attempts > 1) << alone << ' ' << attempts;
    }
  }
}

// If every host fails, the cause is elsewhere. Ejecting them all would leave no host for any request.
TEST(OutlierEjection, NeverEjectsMoreThanHalfOfTheHosts) {
  Gateway gateway(large_quota_settings(), {host(1), host(2), host(3), host(4)});
  int first_sends = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    gateway.advance(100);
    gateway.sink.take();
    const bool on = gateway.submit(id, 1, 2, id);
    if (id > 200) first_sends += on;
    for (std::uint32_t attempt = 0; attempt < 4; ++attempt) {
      const auto* sent = gateway.sink.find(RecordedAction::kSend, id);
      if (sent == nullptr) break;
      const HostId host_id = sent->host;
      gateway.sink.take();
      gateway.end_attempt(id, attempt, host_id, Outcome::kError, 5);
    }
  }
  EXPECT_GE(first_sends, 180);
}

// i6112a8: attempts that are never answered must not use up the limits of healthy hosts.
TEST(HostSelection, LostAnswersDoNotFillTheLimits) {
  auto settings = large_quota_settings();
  settings.max_attempts = 1;  // a lost attempt stays in flight until its deadline
  Gateway gateway(settings);
  RequestId id = gateway.complete_requests(1, 50);
  int asked = 0, sent = 0;
  std::vector<std::pair<Ms, RecordedAction>> answers;
  for (int i = 0; i < 600; ++i) {
    ++id;
    const bool on = gateway.submit(id, 1, 2, id, 0, 20000);
    if (i >= 300) ++asked, sent += on;
    for (const auto& action : gateway.sink.take()) {
      if (action.kind == RecordedAction::kSend && i % 6 != 0)
        answers.emplace_back(gateway.now + 60, action);  // every sixth answer is lost
    }
    gateway.advance(20);
    while (!answers.empty() && answers.front().first <= gateway.now) {
      gateway.end_attempt(answers.front().second.id, 0, answers.front().second.host, Outcome::kOk, 60);
      answers.erase(answers.begin());
    }
  }
  EXPECT_GE(sent, asked * 8 / 10);
}

TEST(Discovery, ANewGatewayPollsTheHostListAtOnce) {
  RecordingSink out;
  AdmissionController control(plain_settings(), 1);
  control.start(0, out);
  EXPECT_EQ(out.count(RecordedAction::kPollHosts), 1u);
}

TEST(Discovery, AFailedWatchIsRenewed) {
  auto settings = plain_settings();
  settings.host_watch_required = true;
  Gateway gateway(settings);
  gateway.update_hosts(HostListUpdate::kFailed, {});
  ASSERT_EQ(gateway.sink.count(RecordedAction::kScheduleTimer), 1u);
  const auto token = gateway.sink.take().front().id;
  gateway.controller.on_timer(gateway.now + 1000, token, gateway.sink);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kWatchHosts), 1u);
}

}  // namespace
}  // namespace cometfold::testing
