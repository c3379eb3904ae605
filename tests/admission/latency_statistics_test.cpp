#include "admission/latency_statistics.h"

#include <gtest/gtest.h>

#include <limits>

namespace cometfold::admission {
namespace {

TEST(LatencyStatistics, TheFirstLatenciesOfAClassMakeItsMean) {
  LatencyStatistics latency;
  latency.resize(2);
  Host host;
  EXPECT_EQ(latency.class_latency(0), 1) << "at least 1 ms";
  latency.record(host, 0, 100, 0);
  EXPECT_DOUBLE_EQ(latency.class_latency(0), 100);
  latency.record(host, 0, 200, 0);
  EXPECT_DOUBLE_EQ(latency.class_latency(0), 150);
  EXPECT_EQ(latency.class_latency(1), 1);
}

TEST(LatencyStatistics, ASlowHostAndItsKindAreTold) {
  LatencyStatistics latency;
  latency.resize(1);
  Host fast;
  Host slow;
  slow.entry.kind = 1;
  for (int i = 0; i < 200; ++i) {
    latency.record(fast, 0, 100, i);
    latency.record(slow, 0, 300, i);
  }
  EXPECT_NEAR(fast.relative_latency, 0.5, 0.05);
  EXPECT_NEAR(slow.relative_latency, 1.5, 0.05);
  EXPECT_NEAR(latency.kind_relative_latency(1), 1.5, 0.05);
  EXPECT_EQ(latency.kind_relative_latency(9), 1) << "not known";
}

TEST(LatencyStatistics, TheUnloadedLatencyFallsAtOnceAndRisesSlowly) {
  LatencyStatistics latency;
  latency.resize(1);
  Host host;
  for (int i = 0; i < 100; ++i) latency.record(host, 0, 100, i * 10);
  EXPECT_NEAR(latency.unloaded_latency(), 100, 1);
  for (int i = 0; i < 100; ++i) latency.record(host, 0, 900, 1000 + i * 10);
  EXPECT_LT(latency.unloaded_latency(), 120);
  for (int i = 0; i < 200; ++i) latency.record(host, 0, 20, 2000 + i * 10);
  EXPECT_LT(latency.unloaded_latency(), 30);
}

TEST(LatencyStatistics, AnImportedMeanOutlastsTheFirstLatency) {
  LatencyStatistics first;
  first.resize(1);
  Host host;
  for (int i = 0; i < 100; ++i) first.record(host, 0, 200, i);
  HandoverSnapshot snapshot;
  first.export_to(snapshot);
  snapshot.class_latency_ms.push_back(std::numeric_limits<double>::quiet_NaN());
  LatencyStatistics second;
  second.resize(2);
  second.import_from(snapshot, 0);
  second.record(host, 0, 1000, 0);
  EXPECT_NEAR(second.class_latency(0), 220, 1);
  EXPECT_EQ(second.class_latency(1), 1) << "NaN is ignored";
}

}  // namespace
}  // namespace cometfold::admission
