// The rules for final answers, retries and draining hosts, individually and under random events, and invalid
// input.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <map>
#include <random>

#include "tests/support.h"

namespace cometfold::testing {
namespace {

TEST(FinalAnswer, ComesBeforeTheRequestsDeadline) {
  Gateway gateway(plain_settings());
  ASSERT_TRUE(gateway.submit(1, 1, 2, 1, 0, 600));
  gateway.now += 596;
  gateway.controller.on_timer(gateway.now, 1, gateway.sink);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kReject) + gateway.sink.count(RecordedAction::kFail), 1u);
  gateway.sink.take();
  gateway.now += 4;
  gateway.controller.on_timer(gateway.now, 1, gateway.sink);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kReject) + gateway.sink.count(RecordedAction::kFail) +
                gateway.sink.count(RecordedAction::kSend),
            0u);
}

TEST(FinalAnswer, ComesAtOnceWithoutHosts) {
  Gateway gateway(plain_settings(), {});
  EXPECT_FALSE(gateway.submit(1));
  EXPECT_EQ(gateway.sink.count(RecordedAction::kReject), 1u);
}

TEST(Idempotency, ANonIdempotentRequestThatMayHaveExecutedIsNeitherRetriedNorRejected) {
  auto settings = plain_settings();
  settings.classes[0].idempotency = Idempotency::kNonIdempotent;
  Gateway gateway(settings);
  ASSERT_TRUE(gateway.submit(1));
  const HostId first = gateway.sink.find(RecordedAction::kSend, 1)->host;
  gateway.sink.take();
  gateway.end_attempt(1, 0, first, Outcome::kConnectionLost);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kSend), 0u);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kReject), 0u);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kFail), 1u);
}

TEST(Idempotency, ANonIdempotentRequestThatWasNotExecutedIsRetried) {
  auto settings = plain_settings();
  settings.classes[0].idempotency = Idempotency::kNonIdempotent;
  Gateway gateway(settings);
  ASSERT_TRUE(gateway.submit(1));
  const HostId first = gateway.sink.find(RecordedAction::kSend, 1)->host;
  gateway.sink.take();
  gateway.end_attempt(1, 0, first, Outcome::kConnectFailed);
  ASSERT_EQ(gateway.sink.count(RecordedAction::kSend), 1u);
  EXPECT_NE(gateway.sink.find(RecordedAction::kSend, 1)->host, first);
}

TEST(Idempotency, RetriesStayWithinTheKeysScopeAndLifetime) {
  auto settings = plain_settings();
  settings.classes[0].idempotency = Idempotency::kIdempotencyKey;
  settings.classes[0].idempotency_scope = IdempotencyScope::kZone;
  settings.classes[0].idempotency_key_ttl_ms = 500;
  Gateway gateway(settings, {host(1, HostState::kReady, 0, 0), host(2, HostState::kReady, 0, 0),
                             host(3, HostState::kReady, 0, 1), host(4, HostState::kReady, 0, 1)});
  ASSERT_TRUE(gateway.submit(1));
  const HostId first = gateway.sink.find(RecordedAction::kSend, 1)->host;
  gateway.sink.take();
  gateway.now += 100;
  gateway.end_attempt(1, 0, first, Outcome::kConnectionLost);
  ASSERT_EQ(gateway.sink.count(RecordedAction::kSend), 1u);
  const HostId second = gateway.sink.find(RecordedAction::kSend, 1)->host;
  EXPECT_EQ(first <= 2, second <= 2);
  gateway.sink.take();
  gateway.now += 450;  // the first attempt's key expires at 500
  gateway.end_attempt(1, 1, second, Outcome::kConnectionLost);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kSend), 0u);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kFail), 1u)
      << "a rejection would promise that a retry is safe";
}

TEST(Idempotency, NothingIsHedgedWhereHedgingIsNotAllowed) {
  auto settings = plain_settings();
  settings.hedging_allowed = false;
  Gateway gateway(settings);
  ASSERT_TRUE(gateway.submit(1));
  const HostId first = gateway.sink.find(RecordedAction::kSend, 1)->host;
  gateway.sink.take();
  gateway.now += 900;
  gateway.controller.on_timer(gateway.now, 1, gateway.sink);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kSend), 0u);
  gateway.sink.take();
  gateway.end_attempt(1, 0, first, Outcome::kError);
  EXPECT_LE(gateway.sink.count(RecordedAction::kSend), 1u);
}

TEST(Draining, ADrainingOrRemovedHostGetsNoNewAttempts) {
  Gateway gateway(plain_settings());
  gateway.update_hosts(HostListUpdate::kDelta, {host(1, HostState::kDraining), host(2, HostState::kRemoved)});
  for (RequestId id = 1; id <= 6; ++id) {
    if (gateway.submit(id, 1, 2, 100 + id)) {
      EXPECT_EQ(gateway.sink.find(RecordedAction::kSend, id)->host, 3u);
    }
  }
  gateway.update_hosts(HostListUpdate::kSnapshot, {});  // a snapshot removes the hosts that it leaves out
  EXPECT_FALSE(gateway.submit(9, 1, 2, 900));
}

TEST(WarmingUpHosts, GetAPartOfWhatWarmHostsGet) {
  auto settings = plain_settings();
  Gateway gateway(settings, {host(1), host(2), host(3)}, 100000);
  RequestId id = 1;
  const auto send_requests = [&](int n, Ms gap) {
    std::map<HostId, int> sends;
    for (int i = 0; i < n; ++i, ++id, gateway.now += gap) {
      if (gateway.submit(id, 1, 2, 5000 + id)) {
        ++sends[gateway.sink.find(RecordedAction::kSend, id)->host];
      }
      gateway.answer_all();
    }
    return sends;
  };
  send_requests(300, 10);
  gateway.update_hosts(HostListUpdate::kDelta,
                       {host(2, HostState::kReady, gateway.now), host(3, HostState::kReady, gateway.now)});
  auto sends = send_requests(50, 20);  // weights 0.2 to 0.28; twice the weight would be overload
  EXPECT_LT(sends[2], 0.4 * sends[1]);
  EXPECT_LT(sends[3], 0.4 * sends[1]);
  EXPECT_GE(sends[2], 1);
  gateway.now += 10000;  // warm by now
  sends = send_requests(60, 20);
  EXPECT_GE(sends[2] + sends[3], 30);
}

// Guards against effects that happen twice, and values that are cut, as a host pauses in a long response: it
// is hedged as its class, the settings and the number of attempts permit, and goes on.
TEST(PausedStreams, AreHedgedAsTheRulesPermit) {
  struct Case {
    Idempotency idempotency;
    bool hedging_allowed;
    double max_attempts;
    bool hedged;
  };
  for (const Case& expected :
       {Case{Idempotency::kIdempotent, true, 4, true}, Case{Idempotency::kIdempotencyKey, true, 4, true},
        Case{Idempotency::kNonIdempotent, true, 4, false}, Case{Idempotency::kIdempotent, false, 4, false},
        Case{Idempotency::kIdempotent, true, 1, false}}) {
    auto settings = plain_settings();
    settings.classes[0].idempotency = expected.idempotency;
    settings.classes[0].idempotency_scope = IdempotencyScope::kAll;
    settings.classes[0].idempotency_key_ttl_ms = 60'000;
    settings.hedging_allowed = expected.hedging_allowed;
    settings.max_attempts = expected.max_attempts;
    Gateway gateway(settings);
    ASSERT_TRUE(gateway.submit(1));
    const HostId first = gateway.sink.find(RecordedAction::kSend, 1)->host;
    gateway.now += 20;
    gateway.controller.on_stream_started(gateway.now, 1, 0, gateway.sink);
    gateway.sink.take();
    gateway.now += 1000;
    for (int i = 0; i < 2; ++i) gateway.controller.on_stream_paused(gateway.now, 1, 0, gateway.sink);
    EXPECT_EQ(gateway.sink.count(RecordedAction::kSend), expected.hedged ? 1u : 0u);
    EXPECT_EQ(gateway.sink.count(RecordedAction::kCancel), 0u);
    if (!expected.hedged) continue;
    const HostId second = gateway.sink.find(RecordedAction::kSend, 1)->host;
    EXPECT_NE(second, first);
    const AttemptResult unused{1, 1, second, Outcome::kOk, 50, false, {}, {}};  // the first one goes on
    gateway.controller.on_attempt_end(gateway.now, unused, gateway.sink);
    EXPECT_EQ(gateway.sink.count(RecordedAction::kCancel), 0u);
  }
}

TEST(PausedStreams, AreCancelledOnceAnotherHostContinues) {
  Gateway gateway(plain_settings());
  ASSERT_TRUE(gateway.submit(1));
  gateway.controller.on_stream_started(gateway.now, 1, 0, gateway.sink);
  gateway.now += 1000;
  gateway.controller.on_stream_paused(gateway.now, 1, 0, gateway.sink);
  gateway.sink.take();
  gateway.controller.on_stream_started(gateway.now, 1, 1, gateway.sink);
  ASSERT_EQ(gateway.sink.count(RecordedAction::kCancel), 1u);
  EXPECT_EQ(gateway.sink.find(RecordedAction::kCancel, 1)->value, 0);
}

TEST(InvalidInput, UnknownAndMalformedEventsDoNothing) {
  Gateway gateway(plain_settings());
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  gateway.end_attempt(99, 0, 1, Outcome::kOk);
  gateway.controller.on_client_disconnected(gateway.now, 99, gateway.sink);
  gateway.controller.on_timer(gateway.now, 99, gateway.sink);
  gateway.controller.on_stream_started(gateway.now, 99, 3, gateway.sink);
  gateway.controller.on_health_check_end(gateway.now, 77, kNan, true, {kNan, {}, {}}, gateway.sink);
  EXPECT_TRUE(gateway.sink.actions.empty());
  gateway.controller.on_request(gateway.now, {1, 5, 0, 1, gateway.now + 100, 1, 1},
                                gateway.sink);  // class out of range
  gateway.controller.on_request(gateway.now, {2, 0, 9, 1, gateway.now + 100, 1, 1},
                                gateway.sink);  // plan out of range
  EXPECT_EQ(gateway.sink.count(RecordedAction::kReject), 2u);
  gateway.sink.take();
  for (const double odd : {kNan, -3.0, std::numeric_limits<double>::infinity()}) {
    const auto id = static_cast<RequestId>(gateway.sink.actions.size() + 10);
    gateway.controller.on_request(gateway.now, {id, 0, 0, id, odd, odd, odd}, gateway.sink);
    const bool answered = gateway.sink.find(RecordedAction::kReject, id) ||
                          gateway.sink.find(RecordedAction::kFail, id) ||
                          gateway.sink.find(RecordedAction::kScheduleTimer, id);
    EXPECT_TRUE(answered) << odd;
  }
}

TEST(InvalidInput, ARepeatedResultCountsOnce) {
  Gateway gateway(plain_settings());
  ASSERT_TRUE(gateway.submit(1));
  const HostId host_id = gateway.sink.find(RecordedAction::kSend, 1)->host;
  gateway.sink.take();
  gateway.end_attempt(1, 0, host_id, Outcome::kOk);
  gateway.end_attempt(1, 0, host_id, Outcome::kError);
  gateway.end_attempt(1, 4, host_id, Outcome::kError);
  EXPECT_EQ(gateway.sink.count(RecordedAction::kSend) + gateway.sink.count(RecordedAction::kFail) +
                gateway.sink.count(RecordedAction::kReject),
            0u);
}

// A random sequence of events with a fixed seed. Outcomes are drawn without a model of hosts, so the sequence
// is harder than any real fleet.
class RandomEvents : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomEvents, KeepTheRules) {
  std::mt19937_64 random(GetParam());
  const auto draw = [&](std::uint64_t n) { return random() % n; };
  auto settings = plain_settings(3);
  settings.classes[1] = {800, 2500, 3, 0, Idempotency::kIdempotencyKey, IdempotencyScope::kZone, 1500};
  settings.classes[2] = {800, 2500, 5, 0, Idempotency::kNonIdempotent, IdempotencyScope::kNone, 0};
  settings.plans.resize(2);
  settings.plans[0] = {200, 200, 1, 0.5, 0, 0, 0, 0, 0};
  settings.plans[1] = {40, 80, 2, 0, 0.3, 80, 160, 16, 6};
  settings.hedging_allowed = draw(2) != 0;
  settings.max_request_units = 3;
  std::vector<HostEntry> hosts;
  for (HostId host_id = 1; host_id <= 8; ++host_id)
    hosts.push_back(host(host_id, HostState::kReady, 0, host_id % 2));
  Gateway gateway(settings, hosts, 1e6);

  struct AttemptRecord {
    HostId host;
    Ms sent;
    bool out = true, may = true, never = false;  // was never sent
  };
  struct RequestRecord {
    std::uint32_t cls, plan;
    Ms expires;
    double units;
    std::vector<AttemptRecord> attempts;
    bool ended = false;
  };
  std::map<RequestId, RequestRecord> all;
  std::multimap<Ms, std::uint64_t> timers;
  timers.emplace(gateway.now + 100, ~std::uint64_t{0});
  std::map<HostId, HostState> state;
  for (auto& host_id : hosts) state[host_id.id] = host_id.state;
  double ceiling = 0,
         ceiling_at = gateway.now;  // this gateway's slice: 40 units per second, at most 80, initially empty
  RequestId next = 1;

  const auto refill = [&] {
    ceiling = std::min(80.0, ceiling + 40 * (gateway.now - ceiling_at) / 1000);
    ceiling_at = gateway.now;
  };
  const auto never_sent = [](const RequestRecord& record) {
    return std::all_of(record.attempts.begin(), record.attempts.end(),
                       [](auto& attempt) { return attempt.never; });
  };

  const auto check_actions = [&] {
    for (const auto& action : gateway.sink.take()) {
      if (action.kind == RecordedAction::kScheduleTimer)
        timers.emplace(gateway.now + std::max(action.value, 1.0), action.id);
      if (action.kind != RecordedAction::kSend && action.kind != RecordedAction::kReject &&
          action.kind != RecordedAction::kFail)
        continue;
      auto& record = all.at(action.id);
      ASSERT_FALSE(record.ended) << "an action after the final answer";
      bool may = false, out = false;
      for (auto& attempt : record.attempts) may |= attempt.out || attempt.may, out |= attempt.out;
      if (action.kind == RecordedAction::kSend) {
        ASSERT_EQ(state[action.host], HostState::kReady) << "sent to a draining or removed host";
        ASSERT_LT(record.attempts.size(), settings.max_attempts);
        if (!settings.hedging_allowed) {
          ASSERT_FALSE(out);
        }
        if (record.cls == 2) {
          ASSERT_FALSE(may) << "a non-idempotent request could be executed twice";
        }
        if (record.cls == 1) {
          for (auto& attempt : record.attempts) {
            if (!attempt.out && !attempt.may) continue;
            ASSERT_EQ(attempt.host % 2, action.host % 2);
            ASSERT_LE(gateway.now, attempt.sent + 1500);
          }
        }
        if (record.plan == 1 && never_sent(record)) {
          refill();
          ceiling -= record.units;
          ASSERT_GE(ceiling, -1e-6) << "the ceiling's slice was exceeded";
        }
        record.attempts.push_back({action.host, gateway.now});
      } else {
        ASSERT_LE(gateway.now, record.expires + 16);
        if (action.kind == RecordedAction::kReject && record.cls != 0) {
          ASSERT_FALSE(may) << "rejected although it may have been executed";
        }
        record.ended = true;
      }
    }
  };

  for (int step = 0; step < 20000; ++step) {
    gateway.now += static_cast<double>(draw(4));
    while (!timers.empty() && timers.begin()->first <= gateway.now) {
      const auto token = timers.begin()->second;
      timers.erase(timers.begin());
      gateway.controller.on_timer(gateway.now, token, gateway.sink);
      ASSERT_NO_FATAL_FAILURE(check_actions());
    }
    const auto what = draw(10);
    if (what < 4) {
      const RequestId id = next++;
      const auto plan = static_cast<std::uint32_t>(draw(2));
      const Request request{id,        static_cast<std::uint32_t>(draw(3)),    plan,
                            10 * plan, gateway.now + 300 + double(draw(2000)), 1 + double(draw(3)),
                            2};
      all[id] = {request.class_index, plan, request.expires_at, request.units, {}};
      gateway.controller.on_request(gateway.now, request, gateway.sink);
    } else if (what < 9) {
      for (auto& [id, record] : all) {
        std::size_t i = 0;
        while (i < record.attempts.size() && !record.attempts[i].out) ++i;
        if (i == record.attempts.size() || draw(3) != 0) continue;
        auto& attempt = record.attempts[i];
        const auto outcome = static_cast<Outcome>(draw(8));
        attempt.out = false;
        attempt.may = outcome != Outcome::kOverloaded && outcome != Outcome::kConnectFailed &&
                      outcome != Outcome::kNotSent;
        if (outcome == Outcome::kNotSent) {
          attempt.never = true;
          refill();
          if (record.plan == 1 && never_sent(record)) ceiling = std::min(80.0, ceiling + record.units);
        }
        const bool over = record.ended || outcome == Outcome::kOk;
        const HostId host_id = attempt.host;
        const Ms took = gateway.now - attempt.sent;
        record.ended |= over;
        gateway.controller.on_attempt_end(
            gateway.now, {id, static_cast<std::uint32_t>(i), host_id, outcome, took, over, {}, {}},
            gateway.sink);
        break;
      }
    } else {
      const auto host_id = static_cast<HostId>(1 + draw(8));
      state[host_id] = static_cast<HostState>(draw(3));
      if (draw(2) != 0) state[host_id] = HostState::kReady;
      gateway.update_hosts(HostListUpdate::kDelta,
                           {host(host_id, state[host_id], draw(4) == 0 ? gateway.now : 0, host_id % 2)});
    }
    ASSERT_NO_FATAL_FAILURE(check_actions());
  }
  for (auto& [id, record] : all) {
    if (record.expires + 16 < gateway.now) {
      EXPECT_TRUE(record.ended) << "request " << id << " was never answered";
    }
  }
  EXPECT_GT(next, 5000u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Values(1, 2, 3, 4, 5, 6));

// Hosts that a request with an idempotency key may be retried at. It is in flight at host 1 in zone 1 when
// the host list changes; then its connection is lost.
class KeyedRetry : public ::testing::TestWithParam<IdempotencyScope> {
 protected:
  static AdmissionSettings settings() {
    AdmissionSettings settings = plain_settings();
    settings.classes[0].idempotency = Idempotency::kIdempotencyKey;
    settings.classes[0].idempotency_scope = GetParam();
    settings.classes[0].idempotency_key_ttl_ms = 3000;
    return settings;
  }
  // The host that the retry is sent to, if any.
  std::optional<HostId> retry_host() {
    gateway.end_attempt(1, 0, 1, Outcome::kConnectionLost);
    const RecordedAction* again = gateway.sink.find(RecordedAction::kSend, 1);
    return again ? std::optional(again->host) : std::nullopt;
  }
  void send_request() {
    ASSERT_TRUE(gateway.submit(1));
    gateway.sink.take();
  }
  Gateway gateway{settings(), {host(1, HostState::kReady, 0, 1)}, 20'000};
};

TEST_P(KeyedRetry, StaysInTheScopeOfARemovedHost) {
  send_request();
  gateway.update_hosts(HostListUpdate::kSnapshot, {host(2, HostState::kReady, 0, 0), HostEntry::removed(1)});
  EXPECT_EQ(retry_host(), std::nullopt);
}

TEST_P(KeyedRetry, GoesToAHostOfTheSameScope) {
  send_request();
  gateway.update_hosts(HostListUpdate::kSnapshot, {host(2, HostState::kReady, 0, 0),
                                                   host(3, HostState::kReady, 0, 1), HostEntry::removed(1)});
  EXPECT_EQ(retry_host(), HostId{3});
}

TEST_P(KeyedRetry, IsBoundToTheHostsLocationAtTheTimeOfTheSend) {
  send_request();
  gateway.update_hosts(HostListUpdate::kDelta,
                       {host(1, HostState::kReady, 0, 0), host(2, HostState::kReady, 0, 0)});
  EXPECT_EQ(retry_host(), std::nullopt);
}

TEST_P(KeyedRetry, IsNotSentWhereLocationsAreNotKnown) {
  HostEntry unlocated = host(2);
  unlocated.zone = unlocated.cell = std::nullopt;
  HostEntry first = unlocated;
  first.id = 1;
  gateway.update_hosts(HostListUpdate::kSnapshot, {first});
  send_request();
  gateway.update_hosts(HostListUpdate::kSnapshot, {unlocated, HostEntry::removed(1)});
  EXPECT_EQ(retry_host(), std::nullopt);
}

// Guards against a new process that is taken for the one that had run the request: it does not know the key,
// and would run it again.
TEST_P(KeyedRetry, IsNotSentToANewProcessOfAHostWithoutLocation) {
  HostEntry unlocated = host(1);
  unlocated.zone = unlocated.cell = std::nullopt;
  gateway.update_hosts(HostListUpdate::kSnapshot, {unlocated});
  send_request();
  HostEntry restarted = unlocated;
  restarted.started_at = 1;  // long enough ago to be warm
  gateway.update_hosts(HostListUpdate::kDelta, {restarted});
  EXPECT_EQ(retry_host(), std::nullopt);
}

TEST_P(KeyedRetry, KeepsTheSettingsThatItsRequestArrivedWith) {
  send_request();
  gateway.update_hosts(HostListUpdate::kDelta, {host(2, HostState::kReady, 0, 0), HostEntry::removed(1)});
  AdmissionSettings later = settings();
  later.classes[0].idempotency_scope = IdempotencyScope::kAll;
  gateway.controller.update_settings(gateway.now, later);
  EXPECT_EQ(retry_host(), std::nullopt);
}

TEST_P(KeyedRetry, LeavesTimeForAPauseOfTheProcess) {
  AdmissionSettings short_lived = settings();
  short_lived.classes[0].idempotency_key_ttl_ms = 600;
  Gateway held(short_lived, {host(1, HostState::kReady, 0, 1), host(3, HostState::kReady, 0, 1)}, 20'000);
  ASSERT_TRUE(held.submit(1));
  const HostId first = held.sink.take().front().host;
  held.now += 600 - 140;  // within 0.8 of the key's lifetime, but the bytes may be written 0.15 s later
  held.end_attempt(1, 0, first, Outcome::kConnectionLost);
  EXPECT_EQ(held.sink.find(RecordedAction::kSend, 1), nullptr);
}

INSTANTIATE_TEST_SUITE_P(Groups, KeyedRetry,
                         ::testing::Values(IdempotencyScope::kZone, IdempotencyScope::kCell));

}  // namespace
}  // namespace cometfold::testing
