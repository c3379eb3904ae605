// Hosts during slow start, and hosts that were idle.
#include <gtest/gtest.h>

#include <map>
#include <utility>
#include <vector>

#include "large_fleet.h"

namespace cometfold::testing {
namespace {

class SlowStartOfManyGateways : public ::testing::TestWithParam<int> {};

// Hundreds of gateways that send one attempt each must not overload hosts during slow start. 40 % of the
// hosts and all gateways have just restarted.
TEST_P(SlowStartOfManyGateways, StaysBelowTheCapacityOfTheHosts) {
  const int gateways = GetParam();
  const auto settings = large_fleet_settings(gateways);
  const int each = 1200 / gateways;
  std::map<HostId, int> sends;
  for (int i = 0; i < gateways; ++i) {
    Gateway gateway(settings, host_list(40, 16, 1e6 - 500), 1e6, 100 + static_cast<std::uint64_t>(i));
    for (RequestId id = 1; id <= static_cast<RequestId>(each); ++id) {
      gateway.now += 1000.0 / each;
      if (gateway.submit(id, 1, 2, id)) ++sends[gateway.sink.find(RecordedAction::kSend, id)->host];
      gateway.answer_all();
    }
  }
  int cold = 0;
  for (HostId host_id = 1; host_id <= 16; ++host_id) {
    EXPECT_LE(sends[host_id], 2 * 0.28 * 30 + 3)
        << "twice the current capacity of a host that serves 30 per second when warm";
    cold += sends[host_id];
  }
  EXPECT_GE(cold, 1) << "hosts that warm up by working must receive requests";
  EXPECT_LE(cold, 16 * 30 * 0.4);
}

INSTANTIATE_TEST_SUITE_P(Gateways, SlowStartOfManyGateways, ::testing::Values(3, 400));

// 16 of 24 hosts warm up while the others queue. Their share is based on the capacity of the fleet, not on
// what the overloaded hosts still complete.
TEST(LargeFleet, HostsThatWarmUpGetTheirPartWhileOthersQueue) {
  int cold = 0, all = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto settings = large_fleet_settings(48);
    settings.slow_start_initial_weight = 0.16;
    settings.slow_start_duration_ms = 16'000;
    Gateway gateway(settings, host_list(24, 16, 1e6), 1e6 + 6000, seed);
    std::vector<std::pair<Ms, RecordedAction>> answers;
    for (RequestId id = 1; id <= 20; ++id) {
      gateway.submit(id, 1, 2, id);
      for (const auto& action : gateway.sink.take()) {
        if (action.kind != RecordedAction::kSend) continue;
        answers.emplace_back(gateway.now + (action.host <= 16 ? 250 : 900), action);
        cold += action.host <= 16, ++all;
      }
      for (int i = 0; i < 3; ++i) {
        gateway.advance(100);
        std::erase_if(answers, [&](const auto& due) {
          if (due.first > gateway.now) return false;
          const bool warm = due.second.host > 16;
          AttemptResult end{
              due.second.id, 0, due.second.host, Outcome::kOk, warm ? 900.0 : 250.0, true, {}, {}};
          end.load_report.queue_length = warm ? 4 : 0;
          gateway.controller.on_attempt_end(gateway.now, end, gateway.sink);
          return true;
        });
      }
    }
  }
  ASSERT_GE(all, 200);
  // At 6 s their weight is 0.47 each, 7.6 of a total of 15.6.
  EXPECT_GE(cold, all * 4 / 10);
  EXPECT_LE(cold, all * 8 / 10);
}

// Idle hosts accept a burst at the start and after an idle period. Hosts that then do not answer receive
// hardly anything more after the target latency.
TEST(IdleHosts, ABurstFindsCapacityOnIdleHostsAndNotOnStuckOnes) {
  Gateway gateway(large_fleet_settings(1), {host(1), host(2), host(3), host(4)}, 1000);
  RequestId id = 1;
  const auto burst = [&] {
    int sent = 0;
    for (int i = 0; i < 50; ++i, ++id) sent += gateway.submit(id, 1, 1, id);
    return sent;
  };
  const auto answered = [&] {
    const auto acts = gateway.sink.take();
    gateway.advance(100);
    for (const auto& action : acts) {
      if (action.kind == RecordedAction::kSend)
        gateway.end_attempt(action.id, 0, action.host, Outcome::kOk, 100);
    }
    gateway.sink.take();
  };
  EXPECT_GE(burst(), 45) << "at the start";
  answered();
  EXPECT_GE(burst(), 45) << "immediately after the first burst";
  answered();
  gateway.advance(10'000);
  EXPECT_GE(burst(), 45) << "after an idle period";
  gateway.sink.take();
  gateway.advance(1000);  // no answers
  EXPECT_LE(burst(), 4) << "behind fifty stuck attempts";
}

// Hosts during slow start get only the minimum limit.
TEST(IdleHosts, HostsThatWarmUpGetTheLeastLimitAtFirst) {
  Gateway gateway(large_fleet_settings(1), {host(1, HostState::kReady, 1e6), host(2, HostState::kReady, 1e6)},
                  1e6 + 5000);
  int sent = 0;
  for (RequestId id = 1; id <= 200; ++id) sent += gateway.submit(id, 1, 1, id);
  EXPECT_LE(sent, 10);
}

}  // namespace
}  // namespace cometfold::testing
