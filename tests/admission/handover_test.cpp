// Hand-over of a gateway's state to its successor, and changes of settings while requests are pending.
#include <gtest/gtest.h>

#include <random>

#include "tests/support.h"

namespace cometfold::testing {
namespace {

AdmissionSettings with_ceiling() {
  auto settings = plain_settings(2);
  settings.plans[0] = {};
  settings.plans[0].quota_rate = 400;
  settings.plans[0].quota_burst = 400;
  settings.plans[0].ceiling_rate = 20;
  settings.plans[0].ceiling_burst = 30;
  return settings;
}

// However requests are spread, both gateways together admit no more than one would.
TEST(Handover, BothGatewaysTogetherKeepTheCeiling) {
  const auto settings = with_ceiling();
  const double rate = 20 / 2.0, burst = 30 / 2.0;  // the slice of one of two gateways
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    Gateway first(settings, {host(1), host(2), host(3)}, 100000),
        second(settings, {host(1), host(2), host(3)}, 100000, 9);
    double given = 0;
    RequestId id = 0;
    const auto try_at = [&](Gateway& gateway) {
      if (gateway.submit(++id)) given += 1;
      gateway.answer_all(5);
    };
    const auto step = [&] { first.advance(10), second.advance(10); };
    for (int i = 0; i < 300; ++i) {
      step();
      if (random() % 3 == 0) try_at(first);
    }
    first.sink.take();
    // Counts up to the hand-over and after it separately.
    const double before = given;
    EXPECT_LE(before, burst + rate * 3 + 1);
    const auto state = first.controller.export_handover(first.now);
    second.controller.import_handover(second.now, state);
    given = 0;
    const double left = state.customers.empty() ? burst : state.customers[0].ceiling_level / 0.8;
    for (int i = 0; i < 300; ++i) {
      step();
      try_at(random() % 4 == 0 ? first : second);
    }
    EXPECT_LE(given, left + rate * 3 + 1e-6) << seed;
    EXPECT_GE(given, rate * 3 * 0.8) << seed;  // the successor refills its buckets
  }
}

TEST(Handover, ACustomerUnknownToThePredecessorHasItsCeilingAtTheSuccessorOnly) {
  const auto settings = with_ceiling();
  Gateway first(settings, {host(1)}, 100000), second(settings, {host(1)}, 100000, 9);
  first.advance(10000), second.advance(10000);
  second.controller.import_handover(second.now, first.controller.export_handover(first.now));
  EXPECT_FALSE(first.submit(1, 1, 2, 77));
  first.advance(1000);
  EXPECT_FALSE(first.submit(2, 1, 2, 77));
  EXPECT_TRUE(second.submit(3, 1, 2, 77));
}

TEST(Handover, ANewGatewayHasAnEmptyCeiling) {
  const auto settings = with_ceiling();
  Gateway second(settings, {host(1)}, 100000);
  EXPECT_FALSE(second.submit(1));
}

// The successor has waited long for a predecessor that then crashed or handed over an empty snapshot.
TEST(Handover, WithoutASnapshotTheCeilingIsEmptyHoweverLongTheSuccessorHasWaited) {
  const auto settings = with_ceiling();
  for (const bool died : {true, false}) {
    Gateway second(settings, {host(1)}, 100000);
    second.advance(60000);
    if (died) {
      second.controller.assume_unknown_predecessor(second.now);
    } else {
      second.controller.import_handover(second.now, {});
    }
    EXPECT_FALSE(second.submit(1));
    second.advance(1000);
    EXPECT_TRUE(second.submit(2));
  }
}

// The successor knows a failing host from the start, unless the host has restarted since.
TEST(Handover, HostStatisticsAreHandedOver) {
  auto settings = plain_settings();
  settings.plans[0].quota_rate = settings.plans[0].quota_burst = 1000;
  for (const bool handed : {false, true}) {
    for (const Ms started : {0.0, 99000.0}) {
      Gateway first(settings, {host(1), host(2), host(3)}, 100000);
      Gateway second(settings, {host(1, HostState::kReady, started), host(2), host(3)}, 100000, 9);
      for (RequestId id = 1; id <= 100; ++id) {
        first.submit(id, 1, 2, id);
        for (const auto& action : first.sink.take()) {
          if (action.kind != RecordedAction::kSend) continue;
          first.end_attempt(action.id, 0, action.host, action.host == 1 ? Outcome::kError : Outcome::kOk, 50,
                            true);
        }
        first.sink.take();
        first.advance(20), second.advance(20);
      }
      const auto state = first.controller.export_handover(first.now);
      EXPECT_EQ(state.hosts.size(), 3u);
      if (handed) second.controller.import_handover(second.now, state);
      int bad = 0;
      for (RequestId id = 1; id <= 12; ++id) {
        second.submit(id, 1, 2, id);
        bad += second.sink.find(RecordedAction::kSend, id)->host == 1;
        second.answer_all();
      }
      if (handed && started == 0) {
        EXPECT_EQ(bad, 0);
      } else if (started == 0) {
        EXPECT_GE(bad, 2) << "an equal share is 4";
      } else {
        EXPECT_EQ(second.controller.excluded_host_count(second.now), 0u);
      }
    }
  }
}

// The first answer at the successor must not replace the mean that was handed over.
TEST(Handover, AClassLatencyOutlastsTheFirstAnswer) {
  auto settings = plain_settings();
  settings.plans[0].quota_rate = settings.plans[0].quota_burst = 1000;
  Gateway first(settings), second(settings);
  for (RequestId id = 1; id <= 100; ++id) {
    first.submit(id, 1, 2, id);
    first.answer_all(200);
    first.advance(100);
  }
  second.controller.import_handover(second.now, first.controller.export_handover(first.now));
  second.submit(1);
  second.answer_all(1000);
  EXPECT_NEAR(second.controller.export_handover(second.now).class_latency_ms.at(0), 220, 25);
}

// A customer may have two attempts in flight through a gateway. Those of the predecessor count until it
// exits.
TEST(Handover, AttemptsInFlightAtThePredecessorCountAtTheSuccessor) {
  auto settings = plain_settings();
  settings.plans[0] = {};
  settings.plans[0].max_concurrent_attempts = 4;
  settings.plans[0].over_quota_cost = 1;
  Gateway first(settings, {host(1), host(2)}, 100000), second(settings, {host(1), host(2)}, 100000, 9);
  EXPECT_TRUE(first.submit(1));
  EXPECT_TRUE(first.submit(2));
  EXPECT_FALSE(first.submit(3));
  second.controller.import_handover(second.now, first.controller.export_handover(first.now));
  EXPECT_FALSE(second.submit(4));
  first.answer_all();
  EXPECT_FALSE(first.submit(5)) << "the limit's slice belongs to the successor";
  second.controller.on_predecessor_exited(second.now);
  EXPECT_TRUE(second.submit(6));
  EXPECT_TRUE(second.submit(7));
  EXPECT_FALSE(second.submit(8));
}

TEST(SettingsUpdate, ALowerCeilingHoldsFromTheNextRequest) {
  auto settings = with_ceiling();
  Gateway gateway(settings, {host(1), host(2)}, 100000);
  gateway.advance(10000);
  EXPECT_TRUE(gateway.submit(1));
  gateway.answer_all(5);
  settings.plans[0].ceiling_burst = 4;  // a slice of two units
  settings.plans[0].ceiling_rate = 0.001;
  gateway.controller.update_settings(gateway.now, settings);
  int given = 0;
  for (RequestId id = 2; id < 12; ++id) {
    given += gateway.submit(id);
    gateway.answer_all(5);
  }
  EXPECT_EQ(given, 2);
}

// A customer's plan is that of its latest request: its ceiling holds from that request on and starts empty.
TEST(SettingsUpdate, ACustomerThatChangesItsPlanHasTheNewPlansCeiling) {
  auto settings = with_ceiling();
  settings.plans.push_back(settings.plans[0]);
  settings.plans[0].ceiling_rate = settings.plans[0].ceiling_burst = 0;
  settings.plans[1].ceiling_burst = 4;  // a slice of two units
  settings.plans[1].ceiling_rate = 0.4;
  Gateway gateway(settings, {host(1), host(2)}, 100000);
  gateway.advance(10000);
  const auto asks = [&](RequestId id, std::uint32_t plan) {
    Request request;
    request.id = id, request.plan_index = plan, request.customer = 1, request.expires_at = gateway.now + 4000,
    request.units = 1, request.gateway_count = 2;
    gateway.controller.on_request(gateway.now, request, gateway.sink);
    const bool given = gateway.sink.find(RecordedAction::kSend, id) != nullptr;
    gateway.answer_all(5);
    return given;
  };
  EXPECT_TRUE(asks(1, 0));
  EXPECT_FALSE(asks(2, 1));
  gateway.advance(12'000);
  EXPECT_TRUE(asks(3, 1));
  EXPECT_TRUE(asks(4, 1));
  EXPECT_FALSE(asks(5, 1));
  EXPECT_TRUE(asks(6, 0));   // its first plan has no ceiling
  EXPECT_FALSE(asks(7, 1));  // switching plans back and forth does not refill the ceiling
}

TEST(SettingsUpdate, ClassesAreAddedAndAPendingRequestKeepsItsSettings) {
  auto settings = plain_settings(1);
  settings.plans[0].quota_rate = settings.plans[0].quota_burst = 1000;
  Gateway gateway(settings);
  ASSERT_TRUE(gateway.submit(1));
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].idempotency = Idempotency::kNonIdempotent;
  gateway.controller.update_settings(gateway.now, settings);
  const auto sent = *gateway.sink.find(RecordedAction::kSend, 1);
  gateway.sink.take();
  gateway.end_attempt(1, 0, sent.host, Outcome::kConnectionLost);
  EXPECT_NE(gateway.sink.find(RecordedAction::kSend, 1), nullptr);  // idempotent: retried
  ASSERT_TRUE(gateway.submit(2, 1, 2, 5, 1));
  const auto unsafe = *gateway.sink.find(RecordedAction::kSend, 2);
  gateway.sink.take();
  gateway.end_attempt(2, 0, unsafe.host, Outcome::kConnectionLost);
  EXPECT_EQ(gateway.sink.find(RecordedAction::kSend, 2), nullptr);
  EXPECT_NE(gateway.sink.find(RecordedAction::kFail, 2), nullptr);
}

TEST(SettingsUpdate, DrainingHostsAreExcluded) {
  Gateway gateway(plain_settings());
  EXPECT_EQ(gateway.controller.excluded_host_count(gateway.now), 0u);
  gateway.update_hosts(HostListUpdate::kDelta, {host(2, HostState::kDraining)});
  EXPECT_EQ(gateway.controller.excluded_host_count(gateway.now), 1u);
  gateway.update_hosts(HostListUpdate::kDelta, {host(2, HostState::kRemoved)});
  EXPECT_EQ(gateway.controller.excluded_host_count(gateway.now), 0u);
}

}  // namespace
}  // namespace cometfold::testing
