#include "admission/host_table.h"

#include <gtest/gtest.h>

#include "host_parts.h"

namespace cometfold::admission {
namespace {

TEST(HostTable, ASnapshotRemovesWhatItLeavesOutAndADeltaDoesNot) {
  HostParts parts;
  parts.list(3, 0);
  const HostEntry draining[] = {{.id = 2, .state = HostState::kDraining}};
  parts.hosts.update(HostListUpdate::kDelta, draining, 10);
  EXPECT_TRUE(parts.host(1).is_usable());
  EXPECT_FALSE(parts.host(2).is_usable());
  EXPECT_TRUE(parts.host(2).listed);
  parts.list(1, 20);
  EXPECT_TRUE(parts.host(1).is_usable());
  EXPECT_FALSE(parts.host(3).is_usable());
  EXPECT_TRUE(parts.hosts.any_usable());
  parts.hosts.update(HostListUpdate::kSnapshot, {}, 30);
  EXPECT_FALSE(parts.hosts.any_usable());
}

TEST(HostTable, ARestartedHostKeepsOnlyItsAttemptsInFlight) {
  HostParts parts;
  parts.list(1, 0);
  Host& host = parts.host(1);
  host.attempts_in_flight = 3;
  host.overdue_attempts = 1;
  host.failure_rate = 0.9;
  parts.list(1, 500, 1, 400);
  EXPECT_EQ(host.attempts_in_flight, 3);
  EXPECT_EQ(host.overdue_attempts, 1);
  EXPECT_EQ(host.failure_rate, 0);
  EXPECT_EQ(host.silent_since, 500);
  EXPECT_EQ(host.uptime(500), 100);
}

TEST(HostTable, ADepartedHostStaysWhileAttemptsAreInFlight) {
  HostParts parts;
  parts.list(1, 0);
  parts.host(1).attempts_in_flight = 1;
  const HostEntry removed[] = {HostEntry::removed(1)};
  parts.hosts.update(HostListUpdate::kDelta, removed, 0);
  parts.hosts.erase_departed(60'000);
  ASSERT_NE(parts.hosts.find(1), nullptr);
  parts.host(1).attempts_in_flight = 0;
  parts.hosts.erase_departed(10'000);
  ASSERT_NE(parts.hosts.find(1), nullptr) << "it is erased after more than 10 s";
  parts.hosts.erase_departed(10'001);
  EXPECT_EQ(parts.hosts.find(1), nullptr);
}

TEST(HostTable, AFailureRateHalvesInFourSeconds) {
  HostParts parts;
  parts.list(1, 0);
  parts.host(1).failure_rate = 0.8;
  parts.hosts.decay(parts.host(1), 4000);
  EXPECT_NEAR(parts.host(1).failure_rate, 0.4, 1e-12);
}

TEST(HostTable, AnOldLoadReportFadesTowardsTheMean) {
  HostParts parts;
  parts.list(2, 0);
  parts.hosts.record_load(parts.host(1), LoadReport{10, {}, {}}, false, 0);
  EXPECT_NEAR(parts.hosts.expected_load(parts.host(1), 0), 10, 1e-12);
  EXPECT_NEAR(parts.hosts.expected_load(parts.host(1), 60'000), 1, 1e-4)
      << "the mean after one report with weight 0.1";
  EXPECT_NEAR(parts.hosts.expected_load(parts.host(2), 0), 1, 1e-12) << "it has not reported";
}

TEST(HostTable, AMissingRequiredReportCountsAsMoreThanTheMean) {
  HostParts parts;
  parts.list(1, 0);
  parts.hosts.record_load(parts.host(1), {}, false, 100);
  EXPECT_EQ(parts.host(1).reported_load, 0);
  parts.hosts.record_load(parts.host(1), {}, true, 100);
  EXPECT_EQ(parts.host(1).reported_load, 1);
}

}  // namespace
}  // namespace cometfold::admission
