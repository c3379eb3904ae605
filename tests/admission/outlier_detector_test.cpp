#include "admission/outlier_detector.h"

#include <gtest/gtest.h>

#include "host_parts.h"

namespace cometfold::admission {
namespace {

// Records failures until the host is ejected, at most twenty.
bool fail_until_ejected(HostParts& parts, HostId id, Ms now) {
  for (int i = 0; i < 20; ++i) {
    if (parts.outliers.record(parts.host(id), true, now)) return true;
  }
  return false;
}

TEST(OutlierDetector, EjectsAHostThatFailsMostAttemptsForASecond) {
  HostParts parts;
  parts.list(4, 0);
  EXPECT_FALSE(parts.outliers.record(parts.host(1), true, 0)) << "one failure is no outlier";
  ASSERT_TRUE(fail_until_ejected(parts, 1, 0));
  EXPECT_TRUE(parts.outliers.is_ejected(parts.host(1), 999));
  EXPECT_FALSE(parts.outliers.is_ejected(parts.host(1), 1000));
}

TEST(OutlierDetector, AfterAnEjectionOneAttemptAtATimeIsSent) {
  HostParts parts;
  parts.list(4, 0);
  ASSERT_TRUE(fail_until_ejected(parts, 1, 0));
  parts.host(1).attempts_in_flight = 1;
  EXPECT_TRUE(parts.outliers.is_ejected(parts.host(1), 1000));
  for (int i = 0; i < 10; ++i) parts.outliers.record(parts.host(1), false, 1000);
  EXPECT_FALSE(parts.outliers.is_ejected(parts.host(1), 1000));
}

TEST(OutlierDetector, EachEjectionLastsTwiceAsLongUpToEightSeconds) {
  HostParts parts;
  parts.list(4, 0);
  Ms now = 0;
  for (const Ms expected : {1000.0, 2000.0, 4000.0, 8000.0, 8000.0}) {
    ASSERT_TRUE(fail_until_ejected(parts, 1, now));
    EXPECT_EQ(parts.host(1).ejected_until - now, expected);
    now = parts.host(1).ejected_until;
  }
}

TEST(OutlierDetector, NeverEjectsMoreThanHalfOfTheHosts) {
  HostParts parts;
  parts.list(4, 0);
  EXPECT_TRUE(fail_until_ejected(parts, 1, 0));
  EXPECT_TRUE(fail_until_ejected(parts, 2, 0));
  EXPECT_FALSE(fail_until_ejected(parts, 3, 0));
}

TEST(OutlierDetector, ARestoredEjectionIsBounded) {
  HostParts parts;
  parts.list(1, 0);
  parts.outliers.restore(parts.host(1), 7, 1e9, 100);
  EXPECT_EQ(parts.host(1).failure_rate, 1);
  EXPECT_EQ(parts.host(1).ejected_until, 8100);
}

}  // namespace
}  // namespace cometfold::admission
