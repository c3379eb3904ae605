// Quotas, lending, ceilings and concurrency limits at one gateway, with values computed by hand. Numbers in
// parentheses refer to equations of the paper.
#include <gtest/gtest.h>

#include "tests/support.h"

namespace cometfold::testing {
namespace {

// A quota of 4 units per second with burst 8 over 2 gateways: a slice of 2 per second with capacity 4.
TEST(QuotaRules, ASliceStartsFullAndTheRestIsRejectedWithARetryAfter) {  // (1), (4), (5)
  Gateway gateway(plain_settings());
  for (RequestId id = 1; id <= 4; ++id) EXPECT_TRUE(gateway.submit(id)) << id;
  gateway.answer_all();
  EXPECT_FALSE(gateway.submit(5));
  ASSERT_NE(gateway.sink.find(RecordedAction::kReject, 5), nullptr);
  EXPECT_NEAR(gateway.sink.find(RecordedAction::kReject, 5)->value, 500, 1e-6);  // one unit at 2 per second
}

TEST(QuotaRules, ASliceRefillsAtItsRateUpToItsCapacity) {  // (2), (3)
  auto settings = plain_settings();
  settings.plans[0].over_quota_cost = 1000;  // no request beyond the slice is admitted
  Gateway gateway(settings);
  for (RequestId id = 1; id <= 4; ++id) ASSERT_TRUE(gateway.submit(id));
  gateway.answer_all();
  gateway.advance(1000);  // refills 2 units
  EXPECT_TRUE(gateway.submit(11));
  EXPECT_TRUE(gateway.submit(12));
  EXPECT_FALSE(gateway.submit(13));
  gateway.answer_all();
  gateway.advance(30000);  // full again: 4, not 60
  for (RequestId id = 21; id <= 24; ++id) EXPECT_TRUE(gateway.submit(id)) << id;
  EXPECT_FALSE(gateway.submit(25));
}

TEST(QuotaRules, ARequestAboveTheSlicesCapacityIsAdmittedWhenTheSliceIsFull) {
  auto settings = plain_settings(3);
  settings.max_request_units = 6;
  settings.plans[0].quota_burst = 6;  // the slice holds 3
  Gateway gateway(settings);
  EXPECT_TRUE(gateway.submit(1, 6));  // from 3 to -3
  EXPECT_FALSE(gateway.submit(2, 1));
  gateway.answer_all();
  gateway.advance(1000);
  EXPECT_FALSE(gateway.submit(3, 1)) << "paying back the debt of 3 and refilling one unit takes 2 s";
  gateway.advance(2100);
  EXPECT_TRUE(gateway.submit(4, 6));  // full again
}

TEST(QuotaRules, WithoutArrivalsNothingIsLent) {
  auto settings = plain_settings(2);
  Gateway gateway(settings);
  // Class 0 empties its bucket and the slice. Without arrivals the slice is refilled at 2 units per second,
  // the class's bucket at its guaranteed rate of 1 per second.
  for (RequestId id = 1; id <= 4; ++id) ASSERT_TRUE(gateway.submit(id, 1, 2, 1, 0));
  gateway.answer_all();
  gateway.now += 2000;  // no tick in between: the class's rate is still the guaranteed one
  EXPECT_TRUE(gateway.submit(5, 1, 2, 1, 0));
  EXPECT_TRUE(gateway.submit(6, 1, 2, 1, 0));
  EXPECT_FALSE(gateway.submit(7, 1, 2, 1, 0));  // the class's bucket is empty
  EXPECT_TRUE(gateway.submit(8, 1, 2, 1, 1));   // the slice is not, and the other class has its own bucket
}

TEST(QuotaRules, UnusedQuotaIsLentInProportionToArrivals) {
  auto settings = plain_settings(2);
  Gateway gateway(settings);
  // Only class 0 has arrivals. From the next tick on it borrows the whole unused quota, for 2 per second in
  // total.
  for (RequestId id = 1; id <= 4; ++id) ASSERT_TRUE(gateway.submit(id, 1, 2, 1, 0));
  gateway.answer_all();
  gateway.advance(2000);
  int passed = 0;
  for (RequestId id = 11; id <= 16; ++id) passed += gateway.submit(id, 1, 2, 1, 0);
  EXPECT_EQ(passed, 4);  // the guaranteed rate alone gives 2
}

TEST(QuotaRules, IdleCustomersAreEvictedOnlyWithFullBuckets) {
  auto settings = plain_settings();
  settings.plans[0].quota_rate = 0.02;  // a slice of 0.01 per second: 0.6 units in a minute
  settings.plans[0].quota_burst = 4;
  Gateway gateway(settings);
  EXPECT_TRUE(gateway.submit(1));
  EXPECT_TRUE(gateway.submit(2));
  EXPECT_FALSE(gateway.submit(3));
  gateway.answer_all();
  gateway.advance(61000);
  EXPECT_FALSE(gateway.submit(4)) << "an early eviction would have refilled the bucket";
}

TEST(QuotaRules, ActualUnitsReplaceTheEstimate) {
  auto settings = plain_settings();
  settings.actual_units_reported = true;
  Gateway gateway(settings);
  ASSERT_TRUE(gateway.submit(1));
  const auto* sent = gateway.sink.find(RecordedAction::kSend, 1);
  gateway.end_attempt(1, 0, sent->host, Outcome::kOk, 50, true, 3.0);  // 4 - 3 left
  gateway.sink.take();
  EXPECT_TRUE(gateway.submit(2));
  EXPECT_FALSE(gateway.submit(3));
}

TEST(QuotaRules, ARequestThatWasNeverSentCostsNothing) {
  auto settings = plain_settings();
  settings.max_attempts = 1;
  for (const auto outcome : {Outcome::kNotSent, Outcome::kConnectionLost}) {
    Gateway gateway(settings);
    for (RequestId id = 1; id <= 20; ++id) {
      if (!gateway.submit(id)) continue;
      const auto* sent = gateway.sink.find(RecordedAction::kSend, id);
      gateway.end_attempt(id, 0, sent->host, outcome, 0, true);
    }
    gateway.sink.take();
    EXPECT_EQ(gateway.submit(100),
              outcome == Outcome::kNotSent);  // a slice of 4 is used up by attempts that may have executed
  }
}

TEST(CeilingRules, SlicesStartEmptyAndAreNeverExceeded) {
  auto settings = plain_settings();
  settings.plans[0].over_quota_value = 1;  // an overrun earns what it costs
  settings.plans[0].ceiling_rate = 8;      // a slice of 4 per second with capacity 8
  settings.plans[0].ceiling_burst = 16;
  Gateway gateway(settings, {host(1), host(2), host(3)}, 5000);
  EXPECT_FALSE(gateway.submit(1)) << "the ceiling's slice is empty at the start";
  gateway.now += 1000;
  int passed = 0;
  for (RequestId id = 11; id <= 20; ++id) passed += gateway.submit(id);
  EXPECT_LE(passed, 4);
  EXPECT_GE(passed, 3);
  gateway.answer_all();
}

TEST(CeilingRules, PlansWithoutOverrunCostAreNotLimitedWhileHostsAreNotUnderPressure) {
  auto settings = plain_settings();
  settings.plans[0].over_quota_value = 1;
  Gateway gateway(settings);
  int passed = 0;
  for (RequestId id = 1; id <= 12; ++id, gateway.now += 10) {
    passed += gateway.submit(id);
    gateway.answer_all();
  }
  EXPECT_EQ(passed, 12);  // the slice alone holds 4
}

// A customer whose requests arrive through ten gateways instead of one has a tenth of its ceiling here from
// then on.
TEST(CeilingRules, TheSliceFollowsTheCustomersGatewayCount) {
  AdmissionSettings settings = plain_settings();
  settings.gateway_count = 10;
  settings.plans[0] = {.quota_rate = 1000, .quota_burst = 1000, .ceiling_rate = 20, .ceiling_burst = 20};
  Gateway gateway(settings, {host(1), host(2), host(3)}, 60'000);
  gateway.now += 60'000;  // the slice is full
  ASSERT_TRUE(gateway.submit(1, 1, 1));
  gateway.answer_all();
  int sent = 0;
  for (RequestId id = 2; id < 20; ++id) {
    sent += gateway.submit(id, 1, 10);
    gateway.answer_all();
  }
  EXPECT_LE(sent, 2);  // a tenth of the burst
}

TEST(ConcurrencyLimitRules, ConcurrentAttemptsAreDividedBetweenGateways) {
  auto settings = plain_settings();
  settings.plans[0].max_concurrent_attempts = 4;  // 2 at each of 2 gateways
  Gateway gateway(settings);
  EXPECT_TRUE(gateway.submit(1));
  EXPECT_TRUE(gateway.submit(2));
  EXPECT_FALSE(gateway.submit(3));
  const auto* sent = gateway.sink.find(RecordedAction::kSend, 1);
  gateway.end_attempt(1, 0, sent->host, Outcome::kOk);
  EXPECT_TRUE(gateway.submit(4));
}

}  // namespace
}  // namespace cometfold::testing
