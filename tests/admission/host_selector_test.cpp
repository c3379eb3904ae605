#include "admission/host_selector.h"

#include <gtest/gtest.h>

#include <map>

#include "host_parts.h"

namespace cometfold::admission {
namespace {

class HostSelectorTest : public ::testing::Test {
 protected:
  HostSelectorTest() { parts.list(4, 0); }
  Host* select() { return selector.select(pending, {}, now); }
  std::map<HostId, int> select_often() {
    std::map<HostId, int> counts;
    for (int i = 0; i < 100; ++i) ++counts[select()->entry.id];
    return counts;
  }

  HostParts parts;
  HostSelector selector{{parts.settings, parts.hosts, parts.latency, parts.outliers, parts.slow_start,
                         parts.limiter, parts.overload, parts.random}};
  PendingRequest pending;
  Ms now = 100'000;
};

TEST_F(HostSelectorTest, HostsOfEqualCostAreSelectedAlike) {
  for (const auto& [id, count] : select_often()) EXPECT_GE(count, 10) << id;
}

TEST_F(HostSelectorTest, AHostWithMoreAttemptsInFlightIsLeftOut) {
  for (HostId id : {1u, 2u, 4u}) parts.host(id).attempts_in_flight = 2;
  EXPECT_EQ(select_often(), (std::map<HostId, int>{{3, 100}}));
}

TEST_F(HostSelectorTest, HostsOfTheOwnZoneArePreferred) {
  const HostEntry near[] = {{.id = 2, .zone = 0}};
  parts.hosts.update(HostListUpdate::kDelta, near, 0);
  EXPECT_EQ(select_often(), (std::map<HostId, int>{{2, 100}}));
}

TEST_F(HostSelectorTest, AHostThatIsSilentWhileOthersAnswerIsLeftOut) {
  for (HostId id = 1; id <= 4; ++id) {
    parts.host(id).attempts_in_flight = 1;
    parts.host(id).silent_since = id == 1 ? now - 1000 : now;
  }
  EXPECT_EQ(select_often().count(1), 0u);
}

TEST_F(HostSelectorTest, TriedAndEjectedHostsAreTheLastResort) {
  pending.attempts.push_back({.host = 1, .in_flight = false});
  parts.host(2).ejected_until = now + 1000;
  const auto counts = select_often();
  EXPECT_EQ(counts.count(1) + counts.count(2), 0u);
  EXPECT_TRUE(selector.has_untried_host(pending, now));
  for (HostId id : {3u, 4u}) parts.host(id).departing = true;
  EXPECT_FALSE(selector.has_untried_host(pending, now));
  EXPECT_NE(select(), nullptr);
}

TEST_F(HostSelectorTest, NoHostIsSelectedAboveItsLimit) {
  for (HostId id = 1; id <= 4; ++id) parts.host(id).attempts_in_flight = 1000;
  EXPECT_EQ(select(), nullptr);
}

TEST_F(HostSelectorTest, AKeyHolderBindsTheAttemptToItsHost) {
  const Attempt earlier{.host = 3};
  const RetryConstraint<Attempt> constraint{AttemptVerdict::kAllowed, &earlier};
  EXPECT_EQ(selector.select(pending, constraint, now), &parts.host(3));
}

TEST_F(HostSelectorTest, HealthChecksGoToHostsThatWereSilent) {
  EXPECT_EQ(selector.select_for_health_check(now), std::nullopt) << "not allowed";
  parts.settings.health_checks_allowed = true;
  int checks = 0;
  for (int i = 0; i < 1000; ++i) checks += selector.select_for_health_check(now).has_value();
  EXPECT_NEAR(checks, 500, 60);
  for (HostId id = 1; id <= 4; ++id) parts.host(id).silent_since = now - 1500;
  for (int i = 0; i < 100; ++i) EXPECT_EQ(selector.select_for_health_check(now), std::nullopt);
}

}  // namespace
}  // namespace cometfold::admission
