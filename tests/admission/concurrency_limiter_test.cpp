#include "admission/concurrency_limiter.h"

#include <gtest/gtest.h>

#include "host_parts.h"

namespace cometfold::admission {
namespace {

int limit_of(HostParts& parts, HostId id, Ms now) {
  Host& host = parts.host(id);
  const double before = host.attempts_in_flight;
  int limit = 0;
  for (host.attempts_in_flight = 0; !parts.limiter.is_at_limit(host, parts.limiter.target_latency(), now);
       host.attempts_in_flight += 1) {
    ++limit;
  }
  host.attempts_in_flight = before;
  return limit;
}

TEST(ConcurrencyLimiter, TheTargetLatencyIsBoundedByTheShortestObjective) {
  AdmissionSettings settings = HostParts::default_settings();
  settings.classes[1].latency_objective_ms = 0;  // its deadline of 4 s is used instead
  HostParts parts(settings);
  EXPECT_EQ(parts.limiter.shortest_objective(), 1000);
  EXPECT_DOUBLE_EQ(parts.limiter.target_latency(), 300);
  Host host;
  for (int i = 0; i < 100; ++i) parts.latency.record(host, 0, 100, i);
  EXPECT_NEAR(parts.limiter.target_latency(), 350, 1e-6);
  for (int i = 0; i < 400; ++i) parts.latency.record(host, 0, 900, 1e6 + i * 1000.0);
  EXPECT_DOUBLE_EQ(parts.limiter.target_latency(), 500);
}

TEST(ConcurrencyLimiter, AnUnknownWarmHostGetsMoreThanOneThatWarmsUp) {
  HostParts parts;
  parts.list(2, 100'000, 1, 99'000);
  EXPECT_EQ(limit_of(parts, 1, 100'000), 5);
  EXPECT_EQ(limit_of(parts, 2, 100'000), 17);
}

TEST(ConcurrencyLimiter, GatewaysShareTheLeastLimit) {
  AdmissionSettings settings = HostParts::default_settings();
  settings.gateway_count = 4;
  HostParts parts(settings);
  parts.list(1, 100'000);
  EXPECT_EQ(limit_of(parts, 1, 100'000), 5);
  EXPECT_DOUBLE_EQ(parts.limiter.min_in_flight(), 1);
}

TEST(ConcurrencyLimiter, TheLimitIsWhatCompletesWithinTheTargetLatency) {
  HostParts parts;
  parts.list(1, 0);
  Host& host = parts.host(1);
  Ms now = 100'000;
  parts.limiter.record_send(host, now);
  host.attempts_in_flight = 1;
  for (int i = 0; i < 1000; ++i, now += 10) {  // 100 completions per second
    parts.hosts.decay(host, now);
    parts.hosts.record_answer(host, now, now);
    parts.limiter.record_completion(host, now);
  }
  EXPECT_NEAR(limit_of(parts, 1, now), 100 * 0.3 + 1, 1);
  EXPECT_NEAR(parts.limiter.proven_rate(host, now), 100, 1);
}

TEST(ConcurrencyLimiter, AHostThatWasIdleGetsWhatItHasProven) {
  HostParts parts;
  parts.list(1, 0);
  Host& host = parts.host(1);
  parts.hosts.record_answer(host, 1, 1);
  parts.limiter.restore(host, 100, 20'000);
  EXPECT_EQ(limit_of(parts, 1, 20'000), 5);
  parts.limiter.record_send(host, 20'000);
  EXPECT_EQ(limit_of(parts, 1, 20'000), 31);
  EXPECT_EQ(limit_of(parts, 1, 20'300), 5) << "the proven rate is used for the target latency only";
}

}  // namespace
}  // namespace cometfold::admission
