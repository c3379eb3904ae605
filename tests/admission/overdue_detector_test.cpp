#include "admission/overdue_detector.h"

#include <gtest/gtest.h>

#include "host_parts.h"

namespace cometfold::admission {
namespace {

class OverdueDetectorTest : public ::testing::Test {
 protected:
  OverdueDetectorTest() {
    parts.list(2, 0);
    Host other;
    parts.latency.record(other, 0, 100, 0);
    parts.host(1).attempts_in_flight = 1;
  }
  // An attempt at host 2 that was sent then is answered.
  void answer_elsewhere(Ms sent_at) { parts.hosts.record_answer(parts.host(2), sent_at, sent_at); }

  HostParts parts;
  OverdueDetector detector{parts.hosts, parts.latency, parts.slow_start};
  Request request;
  Attempt attempt{.host = 1, .sent_at = 1000};
};

TEST_F(OverdueDetectorTest, AnAttemptThatLaterOnesHaveOvertakenNoLongerCounts) {
  answer_elsewhere(1100);
  EXPECT_FALSE(detector.update(attempt, request, 1199));
  EXPECT_FALSE(attempt.overdue);
  EXPECT_FALSE(detector.update(attempt, request, 1200));
  EXPECT_TRUE(attempt.overdue);
  EXPECT_EQ(parts.host(1).live_attempts(), 0);
  EXPECT_EQ(parts.host(1).silent_since, 1200);
}

TEST_F(OverdueDetectorTest, WhereNothingIsAnsweredNoAttemptIsOverdue) {
  EXPECT_FALSE(detector.update(attempt, request, 60'000));
  EXPECT_FALSE(attempt.overdue);
}

TEST_F(OverdueDetectorTest, LaterStillItIsAFailureOnce) {
  answer_elsewhere(1300);
  EXPECT_FALSE(detector.update(attempt, request, 1599));
  EXPECT_TRUE(detector.update(attempt, request, 1600));
  EXPECT_FALSE(detector.update(attempt, request, 1700));
}

TEST_F(OverdueDetectorTest, SlowHostsAreGivenLonger) {
  answer_elsewhere(2000);
  parts.host(1).relative_latency = 2;
  EXPECT_FALSE(detector.update(attempt, request, 2199));
  EXPECT_TRUE(detector.update(attempt, request, 2200));
}

TEST_F(OverdueDetectorTest, AnEndedAttemptIsLeftAlone) {
  answer_elsewhere(5000);
  attempt.in_flight = false;
  EXPECT_FALSE(detector.update(attempt, request, 6000));
  EXPECT_FALSE(attempt.overdue);
}

}  // namespace
}  // namespace cometfold::admission
