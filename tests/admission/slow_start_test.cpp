#include "admission/slow_start.h"

#include <gtest/gtest.h>

#include <map>

#include "host_parts.h"

namespace cometfold::admission {
namespace {

TEST(SlowStart, TheWeightGrowsFromItsInitialValueToOne) {
  HostParts parts;
  parts.list(2, 1000, 1, 1000);
  const Host& host = parts.host(1);
  EXPECT_DOUBLE_EQ(parts.slow_start.weight(host, 1000), 0.2);
  EXPECT_DOUBLE_EQ(parts.slow_start.weight(host, 6000), 0.6);
  EXPECT_DOUBLE_EQ(parts.slow_start.weight(host, 11'000), 1);
  EXPECT_TRUE(parts.slow_start.is_warming_up(host, 10'999));
  EXPECT_FALSE(parts.slow_start.is_warming_up(host, 11'000));
  EXPECT_FALSE(parts.slow_start.is_warming_up(parts.host(2), 1000));
}

TEST(SlowStart, SelectsNoHostAndDrawsNothingWhereAllAreWarm) {
  HostParts parts;
  parts.list(3, 1000);
  EXPECT_EQ(parts.slow_start.select(parts.hosts, parts.random, 1000), nullptr);
  EXPECT_EQ(parts.random.uniform(), RandomSource(7).uniform());
}

// Four hosts with weights 0.2, 0.2, 1 and 1. The share of a warming-up host is its weight divided by the
// sum 2.4, but at most its weight times 0.6 times the overload factor times an equal share.
TEST(SlowStart, EachHostIsSelectedAsOftenAsItsWeightAllows) {
  struct Case {
    double overload_factor;
    double expected_part;
  };
  for (const auto& [overload_factor, expected_part] : {Case{2, 0.2 * 0.6 * 2 / 4}, Case{4, 0.2 / 2.4}}) {
    AdmissionSettings settings = HostParts::default_settings();
    settings.overload_factor = overload_factor;
    HostParts parts(settings);
    parts.list(4, 1000, 2, 1000);
    std::map<const Host*, int> selected;
    constexpr int kSends = 20'000;
    for (int i = 0; i < kSends; ++i) ++selected[parts.slow_start.select(parts.hosts, parts.random, 1000)];
    EXPECT_NEAR(selected[&parts.host(1)], kSends * expected_part, kSends * 0.01) << overload_factor;
    EXPECT_NEAR(selected[&parts.host(2)], kSends * expected_part, kSends * 0.01) << overload_factor;
    EXPECT_EQ(selected[&parts.host(3)] + selected[&parts.host(4)], 0);
  }
}

TEST(SlowStart, AHostThatDrainsIsNotSelected) {
  HostParts parts;
  parts.list(1, 1000, 1, 1000);
  const HostEntry draining[] = {{.id = 1, .state = HostState::kDraining, .started_at = 1000}};
  parts.hosts.update(HostListUpdate::kDelta, draining, 1000);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(parts.slow_start.select(parts.hosts, parts.random, 1000), nullptr);
}

}  // namespace
}  // namespace cometfold::admission
