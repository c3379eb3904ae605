// The paper's bucket equations, lending, ceilings and caps, with numbers worked by hand.
#include <gtest/gtest.h>

#include "support.h"

namespace cometfold::testing {
namespace {

// Quota 4 a second with burst 8 over 2 gateways: a slice of 2 a second that holds 4.
TEST(Buckets, StartFullAndRefuseTheRestWithARetryAfter) {  // (1), (4), (5)
  Gateway g(plain_settings());
  for (RequestId id = 1; id <= 4; ++id) EXPECT_TRUE(g.ask(id)) << id;
  g.answer_all();
  EXPECT_FALSE(g.ask(5));
  ASSERT_NE(g.out.of(Act::kRefuse, 5), nullptr);
  EXPECT_NEAR(g.out.of(Act::kRefuse, 5)->value, 500, 1e-6);  // one unit at 2 a second
}

TEST(Buckets, RefillAtTheSliceRateAndNoFurtherThanTheVolume) {  // (2), (3)
  auto s = plain_settings();
  s.plans[0].over_quota_cost = 1000;  // the ordinary path alone: no benefit of the doubt
  Gateway g(s);
  for (RequestId id = 1; id <= 4; ++id) ASSERT_TRUE(g.ask(id));
  g.answer_all();
  g.wait(1000);  // 2 units more
  EXPECT_TRUE(g.ask(11));
  EXPECT_TRUE(g.ask(12));
  EXPECT_FALSE(g.ask(13));
  g.answer_all();
  g.wait(30000);  // full again: 4, not 60
  for (RequestId id = 21; id <= 24; ++id) EXPECT_TRUE(g.ask(id)) << id;
  EXPECT_FALSE(g.ask(25));
}

TEST(Buckets, ASliceSmallerThanTheLargestRequestStillPassesIt) {
  auto s = plain_settings(3);
  s.max_request_units = 6;
  s.plans[0].quota_burst = 6;  // the slice alone would hold 3
  Gateway g(s);
  EXPECT_TRUE(g.ask(1, 6));  // from 3 to -3
  EXPECT_FALSE(g.ask(2, 1));
  g.answer_all();
  g.wait(1000);
  EXPECT_FALSE(g.ask(3, 1)) << "the debt of 3 and one unit more take 2 s";
  g.wait(2100);
  EXPECT_TRUE(g.ask(4, 6));  // full again
}

TEST(Buckets, WithNoArrivalsNothingIsLent) {
  auto s = plain_settings(2);
  Gateway g(s);
  // Class 0 empties its child and the parent. No arrivals follow for long: the parent refills at 2 a second,
  // the child at its guaranteed 1 a second.
  for (RequestId id = 1; id <= 4; ++id) ASSERT_TRUE(g.ask(id, 1, 2, 1, 0));
  g.answer_all();
  g.now += 2000;  // no tick in between: the child's rate is still its first, guaranteed one
  EXPECT_TRUE(g.ask(5, 1, 2, 1, 0));
  EXPECT_TRUE(g.ask(6, 1, 2, 1, 0));
  EXPECT_FALSE(g.ask(7, 1, 2, 1, 0));  // the child is dry
  EXPECT_TRUE(g.ask(8, 1, 2, 1, 1));   // the parent is not: the other class has its own child
}

TEST(Buckets, UnusedRoomIsLentByArrivalShare) {
  auto s = plain_settings(2);
  Gateway g(s);
  // Only class 0 asks. After a tick with arrivals all unused room is its to borrow, so 2 a second flow.
  for (RequestId id = 1; id <= 4; ++id) ASSERT_TRUE(g.ask(id, 1, 2, 1, 0));
  g.answer_all();
  g.wait(2000);
  int passed = 0;
  for (RequestId id = 11; id <= 16; ++id) passed += g.ask(id, 1, 2, 1, 0);
  EXPECT_EQ(passed, 4);  // more than the 2 that the guaranteed rate alone gives
}

TEST(Buckets, IdleCustomersAreDroppedOnlyWithFullBuckets) {
  auto s = plain_settings();
  s.plans[0].quota_rate = 0.02;  // a slice of 0.01 a second: a minute brings 0.6 units
  s.plans[0].quota_burst = 4;
  Gateway g(s);
  EXPECT_TRUE(g.ask(1));
  EXPECT_TRUE(g.ask(2));
  EXPECT_FALSE(g.ask(3));
  g.answer_all();
  g.wait(61000);
  EXPECT_FALSE(g.ask(4)) << "a drop gave tokens back early";
}

TEST(Buckets, TrueUnitsTakeThePlaceOfTheGuess) {
  auto s = plain_settings();
  s.actual_units_reported = true;
  Gateway g(s);
  ASSERT_TRUE(g.ask(1));
  const auto* sent = g.out.of(Act::kSend, 1);
  g.end(1, 0, sent->host, Outcome::kOk, 50, true, 3.0);  // 4 - 3 left
  g.out.take();
  EXPECT_TRUE(g.ask(2));
  EXPECT_FALSE(g.ask(3));
}

TEST(Buckets, WhatNeverWentOutCostsNothing) {
  auto s = plain_settings();
  s.max_attempts = 1;
  for (const auto outcome : {Outcome::kNotSent, Outcome::kConnectionLost}) {
    Gateway g(s);
    for (RequestId id = 1; id <= 20; ++id) {
      if (!g.ask(id)) continue;
      const auto* sent = g.out.of(Act::kSend, id);
      g.end(id, 0, sent->host, outcome, 0, true);
    }
    g.out.take();
    EXPECT_EQ(g.ask(100), outcome == Outcome::kNotSent);  // a slice of 4 is used up by what may have run
  }
}

TEST(Ceilings, SlicesStartEmptyAndAreNeverPassed) {
  auto s = plain_settings();
  s.plans[0].over_quota_value = 1;  // soft: going beyond the quota earns what it costs
  s.plans[0].ceiling_rate = 8;      // the slice: 4 a second, holds 8
  s.plans[0].ceiling_burst = 16;
  Gateway g(s, {host(1), host(2), host(3)}, 5000);
  EXPECT_FALSE(g.ask(1)) << "the ceiling's slice is empty at the start";
  g.now += 1000;
  int passed = 0;
  for (RequestId id = 11; id <= 20; ++id) passed += g.ask(id);
  EXPECT_LE(passed, 4);
  EXPECT_GE(passed, 3);
  g.answer_all();
}

TEST(Ceilings, SoftPlansCountTokensOnlyWhileNothingIsPressed) {
  auto s = plain_settings();
  s.plans[0].over_quota_value = 1;
  Gateway g(s);
  int passed = 0;
  for (RequestId id = 1; id <= 12; ++id, g.now += 10) {
    passed += g.ask(id);
    g.answer_all();
  }
  EXPECT_EQ(passed, 12);  // the slice alone holds 4
}

TEST(Caps, OpenAttemptsAreSlicedToo) {
  auto s = plain_settings();
  s.plans[0].max_concurrent_attempts = 4;  // 2 at each of 2 gateways
  Gateway g(s);
  EXPECT_TRUE(g.ask(1));
  EXPECT_TRUE(g.ask(2));
  EXPECT_FALSE(g.ask(3));
  const auto* sent = g.out.of(Act::kSend, 1);
  g.end(1, 0, sent->host, Outcome::kOk);
  EXPECT_TRUE(g.ask(4));
}

}  // namespace
}  // namespace cometfold::testing
