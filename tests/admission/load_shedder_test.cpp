#include "admission/load_shedder.h"

#include <gtest/gtest.h>

#include "host_parts.h"

namespace cometfold::admission {
namespace {

class LoadShedderTest : public ::testing::Test {
 protected:
  LoadShedderTest() {
    shedder.on_settings_changed();
    shedder.start(0);
    parts.list(2, 0);
  }
  // Samples with this many attempts in flight at each host, until the utilization has converged.
  void settle(double attempts_in_flight) {
    for (HostId id : {1u, 2u}) parts.host(id).attempts_in_flight = attempts_in_flight;
    for (int i = 0; i < 100; ++i) shedder.measure_utilization(now += 100);
  }
  int shed_of_hundred(double value) {
    int shed = 0;
    for (int i = 0; i < 100; ++i) shed += shedder.should_shed(value, 1);
    return shed;
  }

  HostParts parts;
  LoadShedder shedder{{parts.settings, parts.hosts, parts.latency, parts.limiter, parts.outliers,
                       parts.overload, parts.random}};
  Ms now = 0;
};

TEST_F(LoadShedderTest, NothingIsShedBelowHalfOfTheLimits) {
  settle(2);  // of 4
  EXPECT_EQ(shed_of_hundred(1), 0);
  EXPECT_FALSE(shedder.is_overloaded());
}

TEST_F(LoadShedderTest, RequestsOfLeastValueAreShedFirst) {
  settle(3);  // three quarters of the limits: half of all requests are shed
  for (int i = 0; i < 300; ++i) shedder.should_shed(i % 2 == 0 ? 1 : 2, 1);
  int low = 0;
  int high = 0;
  for (int i = 0; i < 100; ++i) {
    low += shedder.should_shed(1, 1);
    high += shedder.should_shed(2, 1);
  }
  EXPECT_GE(low, 90);
  EXPECT_LE(high, 10);
}

TEST_F(LoadShedderTest, SomeRequestsPassUnderAnyLoad) {
  settle(100);
  for (int i = 0; i < 512; ++i) shedder.should_shed(1, 1);
  int shed = 0;
  for (int i = 0; i < 2000; ++i) shed += shedder.should_shed(1, 1);
  EXPECT_NEAR(shed, 1700, 60) << "at most a fraction of 0.85 is shed";
}

TEST_F(LoadShedderTest, LateAnswersAreOverload) {
  for (int i = 0; i < 100; ++i) shedder.record_latency(300, 1000);
  EXPECT_FALSE(shedder.is_overloaded());
  for (int i = 0; i < 100; ++i) shedder.record_latency(800, 1000);
  EXPECT_TRUE(shedder.is_overloaded());
  EXPECT_TRUE(shedder.is_under_pressure());
}

TEST_F(LoadShedderTest, AQuotaBindsBeforeTheHostsAreOverloaded) {
  settle(2);
  EXPECT_FALSE(shedder.is_under_pressure()) << "half of the limits, 0.15 of the objective";
  settle(3);
  EXPECT_TRUE(shedder.is_under_pressure());
  EXPECT_FALSE(shedder.is_overloaded());
}

TEST_F(LoadShedderTest, WorkIsTheLatencyOfAUnit) {
  Host host;
  parts.latency.record(host, 0, 100, 0);
  for (int i = 0; i < 200; ++i) shedder.record_request({.class_index = 0, .units = 4});
  EXPECT_NEAR(shedder.work_per_unit(0), 25, 0.01);
}

}  // namespace
}  // namespace cometfold::admission
