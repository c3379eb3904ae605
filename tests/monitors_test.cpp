// The monitors against histories written by hand: each bad one is called, and the nearest good one is not.
#include <gtest/gtest.h>

#include "rules/rule_monitors.h"
#include "support.h"

namespace cometfold::rules {
namespace {

using E = Event;

AdmissionSettings three_kinds(IdempotencyScope group = IdempotencyScope::kAll) {
  AdmissionSettings s = cometfold::testing::plain_settings(3);
  s.classes[1].idempotency = Idempotency::kIdempotencyKey;
  s.classes[1].idempotency_scope = group;
  s.classes[1].idempotency_key_ttl_ms = 500;
  s.classes[2].idempotency = Idempotency::kNonIdempotent;
  return s;
}

E event(E::Kind kind, Ms at, std::uint64_t request = 1) {
  E e;
  e.kind = kind;
  e.at = at;
  e.request = request;
  return e;
}
E taken(Ms at, std::uint32_t cls = 0, std::uint64_t request = 1) {
  E e = event(E::kRequestReceived, at, request);
  e.class_index = cls;
  e.expires_at = at + 1000;
  e.customer = 5;
  return e;
}
E made(Ms at, std::string_view value) {
  E e = event(E::kExecuted, at);
  e.value = value;
  return e;
}
E served(Ms at, std::string_view value) {
  E e = event(E::kServed, at);
  e.value = value;
  return e;
}
E on(E::Kind kind, Ms at, std::uint64_t connection, HostId host = 1, std::uint64_t request = 1) {
  E e = event(kind, at, request);
  e.connection = connection;
  e.host = host;
  return e;
}
E told(Ms at, HostEntry entry) {
  E e = event(E::kHostUpdate, at, 0);
  e.entry = entry;
  e.host = entry.id;
  return e;
}

std::string first(const AdmissionSettings& settings, const std::vector<E>& history, Ms end = 0,
                  double capacity = 0) {
  RuleMonitors rules(
      settings,
      {.reply_slack_ms = 50, .drain_grace_ms = 250, .ceiling_slack_ms = 0, .warm_host_capacity = capacity});
  for (const auto& e : history) rules.observe(e);
  if (end > 0) rules.check_deadlines(end);
  return rules.violations().empty() ? "" : rules.violations()[0].description;
}
#define HOLDS(...) EXPECT_EQ(first(__VA_ARGS__), "")
#define BREAKS(text, ...) EXPECT_NE(first(__VA_ARGS__).find(text), std::string::npos) << first(__VA_ARGS__)

TEST(OneAnswer, IsGivenOnceInTimeAndWithWhatWasMade) {
  const auto s = three_kinds();
  HOLDS(s, {taken(0), made(5, "v"), served(9, "v")}, 2000);
  HOLDS(s, {taken(0), event(E::kClientDisconnected, 5)}, 2000);
  HOLDS(s, {taken(0), event(E::kGatewayCrashed, 5)}, 2000);
  HOLDS(s, {taken(0), made(1, "a"), made(2, "b"), served(3, "a")});
  BREAKS("a second answer", s, {taken(0), made(5, "v"), served(9, "v"), event(E::kFailed, 10)});
  BREAKS("a second answer", s, {taken(0), event(E::kRejected, 9), event(E::kRejected, 10)});
  BREAKS("no host made", s, {taken(0), made(5, "v"), served(9, "w")});
  BREAKS("no host made", s, {taken(0), served(9, "v")});
  BREAKS("came late", s, {taken(0), event(E::kFailed, 1051)});
  HOLDS(s, {taken(0), event(E::kFailed, 1050)});
  BREAKS("its time is up", s, {taken(0)}, 1051);
  HOLDS(s, {taken(0)}, 1050);
  BREAKS("nobody asked", s, {event(E::kFailed, 3)});
}

TEST(OneAnswer, IsTheEndOfSending) {
  const auto s = three_kinds();
  BREAKS("after its answer", s, {taken(0), event(E::kFailed, 3), on(E::kAttemptFirstByte, 4, 1)});
  BREAKS("after its answer", s,
         {taken(0), on(E::kAttemptFirstByte, 2, 1), event(E::kFailed, 3), on(E::kAttemptWritten, 4, 1)});
  BREAKS("after its client went", s,
         {taken(0), event(E::kClientDisconnected, 3), on(E::kAttemptFirstByte, 4, 1)});
  HOLDS(s, {taken(0), on(E::kAttemptFirstByte, 2, 1), on(E::kAttemptWritten, 2, 1), event(E::kFailed, 3)});
}

TEST(NoRepeat, UnsafeIsSentAgainOnlyIfNothingRan) {
  const auto s = three_kinds();
  BREAKS(
      "unsafe, was sent again", s,
      {taken(0, 2), on(E::kAttemptWritten, 1, 1), on(E::kAttemptEnded, 2, 1), on(E::kAttemptWritten, 3, 2)});
  HOLDS(s,
        {taken(0, 2), on(E::kAttemptWritten, 1, 1), on(E::kNotExecuted, 2, 1), on(E::kAttemptWritten, 3, 2)});
  HOLDS(s, {taken(0, 0), on(E::kAttemptWritten, 1, 1), on(E::kAttemptEnded, 2, 1),
            on(E::kAttemptWritten, 3, 2)});
  BREAKS("was refused though", s,
         {taken(0, 2), on(E::kAttemptWritten, 1, 1), on(E::kAttemptEnded, 2, 1), event(E::kRejected, 3)});
  HOLDS(s, {taken(0, 2), on(E::kAttemptWritten, 1, 1), on(E::kNotExecuted, 2, 1), event(E::kRejected, 3)});
  HOLDS(s, {taken(0, 2), on(E::kAttemptWritten, 1, 1), on(E::kAttemptEnded, 2, 1), event(E::kFailed, 3)});
}

TEST(NoRepeat, KeyedStaysInItsGroupAndItsKeysLifetime) {
  const HostEntry a{1, HostState::kReady, 0, 0, 0, 1, 1}, b{2, HostState::kReady, 0, 0, 0, 2, 1},
      c{3, HostState::kReady, 0, 0, 1, 1, 1};
  const auto again = [&](Ms at, HostId host) {
    return std::vector<E>{told(0, a),
                          told(0, b),
                          told(0, c),
                          taken(0, 1),
                          on(E::kAttemptWritten, 1, 1, 1),
                          on(E::kAttemptEnded, 2, 1),
                          on(E::kAttemptWritten, at, 2, host)};
  };
  HOLDS(three_kinds(IdempotencyScope::kAll), again(3, 3));
  HOLDS(three_kinds(IdempotencyScope::kZone), again(3, 2));
  BREAKS("outside its group", three_kinds(IdempotencyScope::kZone), again(3, 3));
  BREAKS("outside its group", three_kinds(IdempotencyScope::kCell), again(3, 2));
  HOLDS(three_kinds(IdempotencyScope::kCell), again(3, 1));
  HOLDS(three_kinds(IdempotencyScope::kAll), again(501, 2));
  BREAKS("lifetime", three_kinds(IdempotencyScope::kAll), again(502, 2));
}

TEST(NoRepeat, CountsCopiesAndAttempts) {
  auto s = three_kinds();
  const std::vector<E> two{taken(0), on(E::kAttemptWritten, 1, 1), on(E::kAttemptWritten, 2, 2)};
  HOLDS(s, two);
  s.hedging_allowed = false;
  BREAKS("more attempts out", s, two);
  s.max_attempts = 1;
  BREAKS("had more attempts", s,
         {taken(0), on(E::kAttemptWritten, 1, 1), on(E::kAttemptEnded, 2, 1), on(E::kAttemptWritten, 3, 2)});
}

TEST(Drains, EndNewSendsAfterTheGrace) {
  const auto s = three_kinds();
  for (const auto state : {HostState::kDraining, HostState::kRemoved}) {
    const auto leaves = told(100, {1, state, 0, 0, 0, 1, 1});
    HOLDS(s, {taken(0), leaves, on(E::kAttemptFirstByte, 350, 1)});
    BREAKS("after the gateway was told", s, {taken(0), leaves, on(E::kAttemptFirstByte, 351, 1)});
    HOLDS(s, {taken(0), leaves, on(E::kAttemptFirstByte, 351, 1, 2)});
    const auto back = told(300, {1, HostState::kReady, 0, 0, 0, 1, 1});
    HOLDS(s, {taken(0), leaves, back, on(E::kAttemptFirstByte, 400, 1)});
    // Told again later, the first word counts.
    BREAKS("after the gateway was told", s,
           {taken(0), leaves, told(340, leaves.entry), on(E::kAttemptFirstByte, 351, 1)});
    // Another gateway's word binds only that one.
    auto other = on(E::kAttemptFirstByte, 400, 1);
    other.gateway = 2;
    HOLDS(s, {taken(0), leaves, other});
  }
}

TEST(ColdHosts, BearTheirMultipleOfWhatTheyCanDo) {
  auto s = three_kinds();  // from 0.2, warm after 10 s, factor 2, fall 1 s
  const auto flood = [&](Ms started, Ms from, int n) {
    std::vector<E> h{told(0, {1, HostState::kReady, started, 0, 0, 1, 1})};
    for (int i = 0; i < n; ++i) {
      const auto id = static_cast<std::uint64_t>(i) + 1;
      h.push_back(taken(from, 0, id));
      h.push_back(on(E::kAttemptWritten, from + i, id, 1, id));
    }
    return h;
  };
  // 100 a second when warm: in its first second it does 100 x 0.24, so it bears 48.
  HOLDS(s, flood(1000, 1000, 48), 0, 100);
  BREAKS("bears", s, flood(1000, 1000, 49), 0, 100);
  HOLDS(s, flood(1000, 11'500, 190), 0, 100);  // warm by then: not this rule's matter
  HOLDS(s, flood(0, 1000, 300), 0, 100);       // long ago
}

TEST(Ceilings, HoldInRateAndAtOnceOverAllGateways) {
  auto s = three_kinds();
  s.plans[0].ceiling_rate = 10;
  s.plans[0].ceiling_burst = 5;
  s.plans[0].ceiling_slack = 1;
  const auto sends = [&](int n, Ms apart) {
    std::vector<E> h;
    for (int i = 0; i < n; ++i) {
      const auto id = static_cast<std::uint64_t>(i) + 1;
      auto begun = taken(i * apart, 0, id);
      begun.gateway = static_cast<GatewayId>(i % 2);
      h.push_back(begun);
      h.push_back(on(E::kAttemptWritten, i * apart, id, 1, id));
      h.push_back(on(E::kAttemptEnded, i * apart, id, 1, id));
    }
    return h;
  };
  HOLDS(s, sends(6, 0));
  BREAKS("beyond its ceiling", s, sends(7, 0));
  HOLDS(s, sends(100, 100));  // at its rate for good
  BREAKS("beyond its ceiling", s, sends(100, 90));
  // Further attempts of a request draw nothing.
  auto again = sends(6, 0);
  again.push_back(on(E::kAttemptWritten, 1, 99, 2, 6));
  HOLDS(s, again);

  s.plans[0].ceiling_rate = 0;
  s.plans[0].ceiling_slack = 0;
  s.plans[0].max_concurrent_attempts = 2;
  std::vector<E> open{taken(0, 0, 1), taken(0, 0, 2), taken(0, 0, 3), on(E::kAttemptWritten, 1, 1, 1, 1),
                      on(E::kAttemptWritten, 1, 2, 1, 2)};
  HOLDS(s, open);
  auto three = open;
  three.push_back(on(E::kAttemptWritten, 2, 3, 1, 3));
  BREAKS("out at once", s, three);
  open.push_back(on(E::kAttemptEnded, 2, 1, 1, 1));
  open.push_back(on(E::kAttemptWritten, 3, 3, 1, 3));
  HOLDS(s, open);
}

}  // namespace
}  // namespace cometfold::rules
