// Each rule by a scripted day, bad input, and a random day that asserts the five rules throughout.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <map>
#include <random>

#include "support.h"

namespace cometfold::testing {
namespace {

TEST(Answers, FinalAnswerBeforeTheRequestsOwnDeadline) {
  Gateway g(plain_settings());
  ASSERT_TRUE(g.ask(1, 1, 2, 1, 0, 600));
  g.now += 596;
  g.control.on_timer(g.now, 1, g.out);
  EXPECT_EQ(g.out.count(Act::kRefuse) + g.out.count(Act::kFail), 1u);
  g.out.take();
  g.now += 4;
  g.control.on_timer(g.now, 1, g.out);
  EXPECT_EQ(g.out.count(Act::kRefuse) + g.out.count(Act::kFail) + g.out.count(Act::kSend), 0u);
}

TEST(Answers, NoHostsIsAnsweredAtOnce) {
  Gateway g(plain_settings(), {});
  EXPECT_FALSE(g.ask(1));
  EXPECT_EQ(g.out.count(Act::kRefuse), 1u);
}

TEST(Effects, UnsafeIsNeitherRepeatedNorRefusedOnceItMayHaveRun) {
  auto s = plain_settings();
  s.classes[0].idempotency = Idempotency::kNonIdempotent;
  Gateway g(s);
  ASSERT_TRUE(g.ask(1));
  const HostId first = g.out.of(Act::kSend, 1)->host;
  g.out.take();
  g.end(1, 0, first, Outcome::kConnectionLost);
  EXPECT_EQ(g.out.count(Act::kSend), 0u);
  EXPECT_EQ(g.out.count(Act::kRefuse), 0u);
  EXPECT_EQ(g.out.count(Act::kFail), 1u);
}

TEST(Effects, UnsafeIsTriedAgainWhenItNeverRan) {
  auto s = plain_settings();
  s.classes[0].idempotency = Idempotency::kNonIdempotent;
  Gateway g(s);
  ASSERT_TRUE(g.ask(1));
  const HostId first = g.out.of(Act::kSend, 1)->host;
  g.out.take();
  g.end(1, 0, first, Outcome::kConnectFailed);
  ASSERT_EQ(g.out.count(Act::kSend), 1u);
  EXPECT_NE(g.out.of(Act::kSend, 1)->host, first);
}

TEST(Effects, KeyedStaysInItsGroupAndWithinTheKeysLife) {
  auto s = plain_settings();
  s.classes[0].idempotency = Idempotency::kIdempotencyKey;
  s.classes[0].idempotency_scope = IdempotencyScope::kZone;
  s.classes[0].idempotency_key_ttl_ms = 500;
  Gateway g(s, {host(1, HostState::kReady, 0, 0), host(2, HostState::kReady, 0, 0),
                host(3, HostState::kReady, 0, 1), host(4, HostState::kReady, 0, 1)});
  ASSERT_TRUE(g.ask(1));
  const HostId first = g.out.of(Act::kSend, 1)->host;
  g.out.take();
  g.now += 100;
  g.end(1, 0, first, Outcome::kConnectionLost);
  ASSERT_EQ(g.out.count(Act::kSend), 1u);
  const HostId second = g.out.of(Act::kSend, 1)->host;
  EXPECT_EQ(first <= 2, second <= 2);
  g.out.take();
  g.now += 450;  // the first send's key is forgotten at 500
  g.end(1, 1, second, Outcome::kConnectionLost);
  EXPECT_EQ(g.out.count(Act::kSend), 0u);
  EXPECT_EQ(g.out.count(Act::kFail), 1u) << "a refusal would promise that a retry does no harm";
}

TEST(Effects, NoSecondCopyWhereTheSiteForbidsIt) {
  auto s = plain_settings();
  s.hedging_allowed = false;
  Gateway g(s);
  ASSERT_TRUE(g.ask(1));
  const HostId first = g.out.of(Act::kSend, 1)->host;
  g.out.take();
  g.now += 900;
  g.control.on_timer(g.now, 1, g.out);
  EXPECT_EQ(g.out.count(Act::kSend), 0u);
  g.out.take();
  g.end(1, 0, first, Outcome::kError);
  EXPECT_LE(g.out.count(Act::kSend), 1u);
}

TEST(Drains, NothingNewOnceTold) {
  Gateway g(plain_settings());
  g.list(HostListUpdate::kDelta, {host(1, HostState::kDraining), host(2, HostState::kRemoved)});
  for (RequestId id = 1; id <= 6; ++id) {
    if (g.ask(id, 1, 2, 100 + id)) {
      EXPECT_EQ(g.out.of(Act::kSend, id)->host, 3u);
    }
  }
  g.list(HostListUpdate::kSnapshot, {});  // what a whole list leaves out is gone
  EXPECT_FALSE(g.ask(9, 1, 2, 900));
}

TEST(ColdHosts, GetTheirPartOfWhatWarmHostsCarry) {
  auto s = plain_settings();
  Gateway g(s, {host(1), host(2), host(3)}, 100000);
  RequestId id = 1;
  const auto minute = [&](int n, Ms gap) {
    std::map<HostId, int> sends;
    for (int i = 0; i < n; ++i, ++id, g.now += gap) {
      if (g.ask(id, 1, 2, 5000 + id)) {
        ++sends[g.out.of(Act::kSend, id)->host];
      }
      g.answer_all();
    }
    return sends;
  };
  minute(300, 10);
  g.list(HostListUpdate::kDelta, {host(2, HostState::kReady, g.now), host(3, HostState::kReady, g.now)});
  auto sends = minute(50, 20);  // the fall time of 1 s: present ability 0.2 to 0.28, twice that is the edge
  EXPECT_LT(sends[2], 0.4 * sends[1]);
  EXPECT_LT(sends[3], 0.4 * sends[1]);
  EXPECT_GE(sends[2], 1);
  g.now += 10000;  // warm by now
  sends = minute(60, 20);
  EXPECT_GE(sends[2] + sends[3], 30);
}

TEST(BadInput, UnknownAndMalformedEventsDoNothing) {
  Gateway g(plain_settings());
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  g.end(99, 0, 1, Outcome::kOk);
  g.control.on_client_disconnected(g.now, 99, g.out);
  g.control.on_timer(g.now, 99, g.out);
  g.control.on_stream_started(g.now, 99, 3, g.out);
  g.control.on_health_check_end(g.now, 77, kNan, true, {kNan, {}, {}}, g.out);
  EXPECT_TRUE(g.out.acts.empty());
  g.control.on_request(g.now, {1, 5, 0, 1, g.now + 100, 1, 1}, g.out);  // class out of range
  g.control.on_request(g.now, {2, 0, 9, 1, g.now + 100, 1, 1}, g.out);  // plan out of range
  EXPECT_EQ(g.out.count(Act::kRefuse), 2u);
  g.out.take();
  for (const double odd : {kNan, -3.0, std::numeric_limits<double>::infinity()}) {
    const auto id = static_cast<RequestId>(g.out.acts.size() + 10);
    g.control.on_request(g.now, {id, 0, 0, id, odd, odd, odd}, g.out);
    const bool answered = g.out.of(Act::kRefuse, id) || g.out.of(Act::kFail, id) || g.out.of(Act::kWake, id);
    EXPECT_TRUE(answered) << odd;
  }
}

TEST(BadInput, RepeatedOutcomeCountsOnce) {
  Gateway g(plain_settings());
  ASSERT_TRUE(g.ask(1));
  const HostId h = g.out.of(Act::kSend, 1)->host;
  g.out.take();
  g.end(1, 0, h, Outcome::kOk);
  g.end(1, 0, h, Outcome::kError);
  g.end(1, 4, h, Outcome::kError);
  EXPECT_EQ(g.out.count(Act::kSend) + g.out.count(Act::kFail) + g.out.count(Act::kRefuse), 0u);
}

// A random sequence of events with a fixed seed. It plays no servers: outcomes are drawn blindly, which is
// worse than any fleet. The rules must hold all the same.
class RandomDay : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomDay, KeepsTheFiveRules) {
  std::mt19937_64 random(GetParam());
  const auto draw = [&](std::uint64_t n) { return random() % n; };
  auto s = plain_settings(3);
  s.classes[1] = {800, 2500, 3, 0, Idempotency::kIdempotencyKey, IdempotencyScope::kZone, 1500};
  s.classes[2] = {800, 2500, 5, 0, Idempotency::kNonIdempotent, IdempotencyScope::kNone, 0};
  s.plans.resize(2);
  s.plans[0] = {200, 200, 1, 0.5, 0, 0, 0, 0, 0};
  s.plans[1] = {40, 80, 2, 0, 0.3, 80, 160, 16, 6};
  s.hedging_allowed = draw(2) != 0;
  s.max_request_units = 3;
  std::vector<HostEntry> hosts;
  for (HostId h = 1; h <= 8; ++h) hosts.push_back(host(h, HostState::kReady, 0, h % 2));
  Gateway g(s, hosts, 1e6);

  struct Try {
    HostId host;
    Ms sent;
    bool out = true, may = true, never = false;  // never sent
  };
  struct Seen {
    std::uint32_t cls, plan;
    Ms expires;
    double units;
    std::vector<Try> tries;
    bool ended = false;
  };
  std::map<RequestId, Seen> all;
  std::multimap<Ms, std::uint64_t> timers;
  timers.emplace(g.now + 100, ~std::uint64_t{0});
  std::map<HostId, HostState> state;
  for (auto& h : hosts) state[h.id] = h.state;
  double ceiling = 0, ceiling_at = g.now;  // our slice of the store: 40 a second, 80 at most, from empty
  RequestId next = 1;

  const auto refill = [&] {
    ceiling = std::min(80.0, ceiling + 40 * (g.now - ceiling_at) / 1000);
    ceiling_at = g.now;
  };
  const auto never_sent = [](const Seen& r) {
    return std::all_of(r.tries.begin(), r.tries.end(), [](auto& t) { return t.never; });
  };

  const auto obey = [&] {
    for (const auto& a : g.out.take()) {
      if (a.kind == Act::kWake) timers.emplace(g.now + std::max(a.value, 1.0), a.id);
      if (a.kind != Act::kSend && a.kind != Act::kRefuse && a.kind != Act::kFail) continue;
      auto& r = all.at(a.id);
      ASSERT_FALSE(r.ended) << "an action after the final answer";
      bool may = false, out = false;
      for (auto& t : r.tries) may |= t.out || t.may, out |= t.out;
      if (a.kind == Act::kSend) {
        ASSERT_EQ(state[a.host], HostState::kReady) << "sent to a leaving host";
        ASSERT_LT(r.tries.size(), s.max_attempts);
        if (!s.hedging_allowed) {
          ASSERT_FALSE(out);
        }
        if (r.cls == 2) {
          ASSERT_FALSE(may) << "an unsafe effect could happen twice";
        }
        if (r.cls == 1) {
          for (auto& t : r.tries) {
            if (!t.out && !t.may) continue;
            ASSERT_EQ(t.host % 2, a.host % 2);
            ASSERT_LE(g.now, t.sent + 1500);
          }
        }
        if (r.plan == 1 && never_sent(r)) {
          refill();
          ceiling -= r.units;
          ASSERT_GE(ceiling, -1e-6) << "the ceiling's slice was passed";
        }
        r.tries.push_back({a.host, g.now});
      } else {
        ASSERT_LE(g.now, r.expires + 16);
        if (a.kind == Act::kRefuse && r.cls != 0) {
          ASSERT_FALSE(may) << "refused though it may have run";
        }
        r.ended = true;
      }
    }
  };

  for (int step = 0; step < 20000; ++step) {
    g.now += static_cast<double>(draw(4));
    while (!timers.empty() && timers.begin()->first <= g.now) {
      const auto token = timers.begin()->second;
      timers.erase(timers.begin());
      g.control.on_timer(g.now, token, g.out);
      ASSERT_NO_FATAL_FAILURE(obey());
    }
    const auto what = draw(10);
    if (what < 4) {
      const RequestId id = next++;
      const auto plan = static_cast<std::uint32_t>(draw(2));
      const Request q{id,        static_cast<std::uint32_t>(draw(3)), plan,
                      10 * plan, g.now + 300 + double(draw(2000)),    1 + double(draw(3)),
                      2};
      all[id] = {q.class_index, plan, q.expires_at, q.units, {}};
      g.control.on_request(g.now, q, g.out);
    } else if (what < 9) {
      for (auto& [id, r] : all) {
        std::size_t i = 0;
        while (i < r.tries.size() && !r.tries[i].out) ++i;
        if (i == r.tries.size() || draw(3) != 0) continue;
        auto& t = r.tries[i];
        const auto o = static_cast<Outcome>(draw(8));
        t.out = false;
        t.may = o != Outcome::kOverloaded && o != Outcome::kConnectFailed && o != Outcome::kNotSent;
        if (o == Outcome::kNotSent) {
          t.never = true;
          refill();
          if (r.plan == 1 && never_sent(r)) ceiling = std::min(80.0, ceiling + r.units);
        }
        const bool over = r.ended || o == Outcome::kOk;
        const HostId h = t.host;
        const Ms took = g.now - t.sent;
        r.ended |= over;
        g.control.on_attempt_end(g.now, {id, static_cast<std::uint32_t>(i), h, o, took, over, {}, {}}, g.out);
        break;
      }
    } else {
      const auto h = static_cast<HostId>(1 + draw(8));
      state[h] = static_cast<HostState>(draw(3));
      if (draw(2) != 0) state[h] = HostState::kReady;
      g.list(HostListUpdate::kDelta, {host(h, state[h], draw(4) == 0 ? g.now : 0, h % 2)});
    }
    ASSERT_NO_FATAL_FAILURE(obey());
  }
  for (auto& [id, r] : all) {
    if (r.expires + 16 < g.now) {
      EXPECT_TRUE(r.ended) << "request " << id << " was lost";
    }
  }
  EXPECT_GT(next, 5000u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomDay, ::testing::Values(1, 2, 3, 4, 5, 6));

// ---- what a key binds repeats to ----

// A keyed request is out at host 1, which is in zone 1, when the list changes; then its attempt is reset.
class KeyedRepeat : public ::testing::TestWithParam<IdempotencyScope> {
 protected:
  static AdmissionSettings settings() {
    AdmissionSettings s = plain_settings();
    s.classes[0].idempotency = Idempotency::kIdempotencyKey;
    s.classes[0].idempotency_scope = GetParam();
    s.classes[0].idempotency_key_ttl_ms = 3000;
    return s;
  }
  // To which host the repeat goes; none.
  std::optional<HostId> repeat() {
    gateway.end(1, 0, 1, Outcome::kConnectionLost);
    const Act* again = gateway.out.of(Act::kSend, 1);
    return again ? std::optional(again->host) : std::nullopt;
  }
  void take() {
    ASSERT_TRUE(gateway.ask(1));
    gateway.out.take();
  }
  Gateway gateway{settings(), {host(1, HostState::kReady, 0, 1)}, 20'000};
};

TEST_P(KeyedRepeat, StaysInTheGroupOfAHostThatIsGone) {
  take();
  gateway.list(HostListUpdate::kSnapshot, {host(2, HostState::kReady, 0, 0), HostEntry::removed(1)});
  EXPECT_EQ(repeat(), std::nullopt);
}

TEST_P(KeyedRepeat, GoesToAHostOfTheSameGroup) {
  take();
  gateway.list(HostListUpdate::kSnapshot,
               {host(2, HostState::kReady, 0, 0), host(3, HostState::kReady, 0, 1), HostEntry::removed(1)});
  EXPECT_EQ(repeat(), HostId{3});
}

TEST_P(KeyedRepeat, IsBoundToWhereTheHostWasWhenItWasSent) {
  take();
  gateway.list(HostListUpdate::kDelta, {host(1, HostState::kReady, 0, 0), host(2, HostState::kReady, 0, 0)});
  EXPECT_EQ(repeat(), std::nullopt);
}

TEST_P(KeyedRepeat, GoesNowhereWherePlacesAreNotKnown) {
  HostEntry nowhere = host(2);
  nowhere.zone = nowhere.cell = std::nullopt;
  HostEntry first = nowhere;
  first.id = 1;
  gateway.list(HostListUpdate::kSnapshot, {first});
  take();
  gateway.list(HostListUpdate::kSnapshot, {nowhere, HostEntry::removed(1)});
  EXPECT_EQ(repeat(), std::nullopt);
}

TEST_P(KeyedRepeat, KeepsTheTermsThatItsRequestCameUnder) {
  take();
  gateway.list(HostListUpdate::kDelta, {host(2, HostState::kReady, 0, 0), HostEntry::removed(1)});
  AdmissionSettings later = settings();
  later.classes[0].idempotency_scope = IdempotencyScope::kAll;
  gateway.control.update_settings(gateway.now, later);
  EXPECT_EQ(repeat(), std::nullopt);
}

TEST_P(KeyedRepeat, LeavesTimeForAProcessThatIsHeldUp) {
  AdmissionSettings s = settings();
  s.classes[0].idempotency_key_ttl_ms = 600;
  Gateway held(s, {host(1, HostState::kReady, 0, 1), host(3, HostState::kReady, 0, 1)}, 20'000);
  ASSERT_TRUE(held.ask(1));
  const HostId first = held.out.take().front().host;
  held.now += 600 - 140;  // within 0.8 of it, and bytes may go out 0.15 s later
  held.end(1, 0, first, Outcome::kConnectionLost);
  EXPECT_EQ(held.out.of(Act::kSend, 1), nullptr);
}

INSTANTIATE_TEST_SUITE_P(Groups, KeyedRepeat,
                         ::testing::Values(IdempotencyScope::kZone, IdempotencyScope::kCell));

// A customer whose set grows from one gateway to ten has a tenth of its ceiling here from then on.
TEST(Ceiling, FollowsTheSetOfItsCustomer) {
  AdmissionSettings s = plain_settings();
  s.gateway_count = 10;
  s.plans[0] = {.quota_rate = 1000, .quota_burst = 1000, .ceiling_rate = 20, .ceiling_burst = 20};
  Gateway gateway(s, {host(1), host(2), host(3)}, 60'000);
  gateway.now += 60'000;  // the slice is full
  ASSERT_TRUE(gateway.ask(1, 1, 1));
  gateway.answer_all();
  int sent = 0;
  for (RequestId id = 2; id < 20; ++id) {
    sent += gateway.ask(id, 1, 10);
    gateway.answer_all();
  }
  EXPECT_LE(sent, 2);  // a tenth of the burst
}

}  // namespace
}  // namespace cometfold::testing
