// Tests the rule monitors on handwritten histories: each reports the violation, and not the closest valid
// history.
#include <gtest/gtest.h>

#include "rules/rule_monitors.h"
#include "support.h"

namespace cometfold::rules {
namespace {

AdmissionSettings settings_of_three_classes(IdempotencyScope scope = IdempotencyScope::kAll) {
  AdmissionSettings settings = cometfold::testing::plain_settings(3);
  settings.classes[1].idempotency = Idempotency::kIdempotencyKey;
  settings.classes[1].idempotency_scope = scope;
  settings.classes[1].idempotency_key_ttl_ms = 500;
  settings.classes[2].idempotency = Idempotency::kNonIdempotent;
  return settings;
}

Event event(Event::Kind kind, Ms at, std::uint64_t request = 1) {
  Event result;
  result.kind = kind;
  result.at = at;
  result.request = request;
  return result;
}
Event request_received(Ms at, std::uint32_t class_index = 0, std::uint64_t request = 1) {
  Event result = event(Event::kRequestReceived, at, request);
  result.class_index = class_index;
  result.expires_at = at + 1000;
  result.customer = 5;
  return result;
}
Event executed(Ms at, std::string_view value) {
  Event result = event(Event::kExecuted, at);
  result.value = value;
  return result;
}
Event served(Ms at, std::string_view value) {
  Event result = event(Event::kServed, at);
  result.value = value;
  return result;
}
Event attempt_event(Event::Kind kind, Ms at, std::uint64_t connection, HostId host = 1,
                    std::uint64_t request = 1) {
  Event result = event(kind, at, request);
  result.connection = connection;
  result.host = host;
  return result;
}
Event host_update(Ms at, HostEntry entry) {
  Event result = event(Event::kHostUpdate, at, 0);
  result.entry = entry;
  result.host = entry.id;
  return result;
}

std::string first_violation(const AdmissionSettings& settings, const std::vector<Event>& history, Ms end = 0,
                            double capacity = 0) {
  RuleMonitors monitors(
      settings,
      {.reply_slack_ms = 50, .drain_grace_ms = 250, .ceiling_slack_ms = 0, .warm_host_capacity = capacity});
  for (const auto& event : history) monitors.observe(event);
  if (end > 0) monitors.check_deadlines(end);
  return monitors.violations().empty() ? "" : monitors.violations()[0].description;
}
#define EXPECT_HOLDS(...) EXPECT_EQ(first_violation(__VA_ARGS__), "")
#define EXPECT_VIOLATION(text, ...) \
  EXPECT_NE(first_violation(__VA_ARGS__).find(text), std::string::npos) << first_violation(__VA_ARGS__)

TEST(SingleReplyMonitor, RequiresOneReplyInTimeWithAProducedValue) {
  const auto settings = settings_of_three_classes();
  EXPECT_HOLDS(settings, {request_received(0), executed(5, "v"), served(9, "v")}, 2000);
  EXPECT_HOLDS(settings, {request_received(0), event(Event::kClientDisconnected, 5)}, 2000);
  EXPECT_HOLDS(settings, {request_received(0), event(Event::kGatewayCrashed, 5)}, 2000);
  EXPECT_HOLDS(settings, {request_received(0), executed(1, "a"), executed(2, "b"), served(3, "a")});
  EXPECT_VIOLATION("a second reply", settings,
                   {request_received(0), executed(5, "v"), served(9, "v"), event(Event::kFailed, 10)});
  EXPECT_VIOLATION("a second reply", settings,
                   {request_received(0), event(Event::kRejected, 9), event(Event::kRejected, 10)});
  EXPECT_VIOLATION("no host produced", settings, {request_received(0), executed(5, "v"), served(9, "w")});
  EXPECT_VIOLATION("no host produced", settings, {request_received(0), served(9, "v")});
  EXPECT_VIOLATION("came after its deadline", settings, {request_received(0), event(Event::kFailed, 1051)});
  EXPECT_HOLDS(settings, {request_received(0), event(Event::kFailed, 1050)});
  EXPECT_VIOLATION("has no reply although its deadline has passed", settings, {request_received(0)}, 1051);
  EXPECT_HOLDS(settings, {request_received(0)}, 1050);
  EXPECT_VIOLATION("a reply to unknown request", settings, {event(Event::kFailed, 3)});
}

TEST(SingleReplyMonitor, AllowsNoAttemptAfterTheReply) {
  const auto settings = settings_of_three_classes();
  EXPECT_VIOLATION(
      "after its reply", settings,
      {request_received(0), event(Event::kFailed, 3), attempt_event(Event::kAttemptFirstByte, 4, 1)});
  EXPECT_VIOLATION("after its reply", settings,
                   {request_received(0), attempt_event(Event::kAttemptFirstByte, 2, 1),
                    event(Event::kFailed, 3), attempt_event(Event::kAttemptWritten, 4, 1)});
  EXPECT_VIOLATION("after its client had disconnected", settings,
                   {request_received(0), event(Event::kClientDisconnected, 3),
                    attempt_event(Event::kAttemptFirstByte, 4, 1)});
  EXPECT_HOLDS(settings, {request_received(0), attempt_event(Event::kAttemptFirstByte, 2, 1),
                          attempt_event(Event::kAttemptWritten, 2, 1), event(Event::kFailed, 3)});
}

TEST(AtMostOnceMonitor, AllowsANonIdempotentRetryOnlyIfNothingExecuted) {
  const auto settings = settings_of_three_classes();
  EXPECT_VIOLATION("not idempotent, was retried", settings,
                   {request_received(0, 2), attempt_event(Event::kAttemptWritten, 1, 1),
                    attempt_event(Event::kAttemptEnded, 2, 1), attempt_event(Event::kAttemptWritten, 3, 2)});
  EXPECT_HOLDS(settings,
               {request_received(0, 2), attempt_event(Event::kAttemptWritten, 1, 1),
                attempt_event(Event::kNotExecuted, 2, 1), attempt_event(Event::kAttemptWritten, 3, 2)});
  EXPECT_HOLDS(settings,
               {request_received(0, 0), attempt_event(Event::kAttemptWritten, 1, 1),
                attempt_event(Event::kAttemptEnded, 2, 1), attempt_event(Event::kAttemptWritten, 3, 2)});
  EXPECT_VIOLATION("was rejected although", settings,
                   {request_received(0, 2), attempt_event(Event::kAttemptWritten, 1, 1),
                    attempt_event(Event::kAttemptEnded, 2, 1), event(Event::kRejected, 3)});
  EXPECT_HOLDS(settings, {request_received(0, 2), attempt_event(Event::kAttemptWritten, 1, 1),
                          attempt_event(Event::kNotExecuted, 2, 1), event(Event::kRejected, 3)});
  EXPECT_HOLDS(settings, {request_received(0, 2), attempt_event(Event::kAttemptWritten, 1, 1),
                          attempt_event(Event::kAttemptEnded, 2, 1), event(Event::kFailed, 3)});
}

TEST(AtMostOnceMonitor, KeepsKeyedRetriesInScopeAndKeyLifetime) {
  const HostEntry a{1, HostState::kReady, 0, 0, 0, 1, 1}, b{2, HostState::kReady, 0, 0, 0, 2, 1},
      c{3, HostState::kReady, 0, 0, 1, 1, 1};
  const auto again = [&](Ms at, HostId host) {
    return std::vector<Event>{host_update(0, a),
                              host_update(0, b),
                              host_update(0, c),
                              request_received(0, 1),
                              attempt_event(Event::kAttemptWritten, 1, 1, 1),
                              attempt_event(Event::kAttemptEnded, 2, 1),
                              attempt_event(Event::kAttemptWritten, at, 2, host)};
  };
  EXPECT_HOLDS(settings_of_three_classes(IdempotencyScope::kAll), again(3, 3));
  EXPECT_HOLDS(settings_of_three_classes(IdempotencyScope::kZone), again(3, 2));
  EXPECT_VIOLATION("outside the scope of its idempotency key",
                   settings_of_three_classes(IdempotencyScope::kZone), again(3, 3));
  EXPECT_VIOLATION("outside the scope of its idempotency key",
                   settings_of_three_classes(IdempotencyScope::kCell), again(3, 2));
  EXPECT_HOLDS(settings_of_three_classes(IdempotencyScope::kCell), again(3, 1));
  EXPECT_HOLDS(settings_of_three_classes(IdempotencyScope::kAll), again(501, 2));
  EXPECT_VIOLATION("after its idempotency key had expired", settings_of_three_classes(IdempotencyScope::kAll),
                   again(502, 2));
}

TEST(AtMostOnceMonitor, BoundsAttemptsInAllAndInFlight) {
  auto settings = settings_of_three_classes();
  const std::vector<Event> two{request_received(0), attempt_event(Event::kAttemptWritten, 1, 1),
                               attempt_event(Event::kAttemptWritten, 2, 2)};
  EXPECT_HOLDS(settings, two);
  settings.hedging_allowed = false;
  EXPECT_VIOLATION("more attempts in flight", settings, two);
  settings.max_attempts = 1;
  EXPECT_VIOLATION("had more attempts", settings,
                   {request_received(0), attempt_event(Event::kAttemptWritten, 1, 1),
                    attempt_event(Event::kAttemptEnded, 2, 1), attempt_event(Event::kAttemptWritten, 3, 2)});
}

TEST(DrainMonitor, AllowsNoNewAttemptAfterTheGracePeriod) {
  const auto settings = settings_of_three_classes();
  for (const auto state : {HostState::kDraining, HostState::kRemoved}) {
    const auto leaving = host_update(100, {1, state, 0, 0, 0, 1, 1});
    EXPECT_HOLDS(settings, {request_received(0), leaving, attempt_event(Event::kAttemptFirstByte, 350, 1)});
    EXPECT_VIOLATION("after the gateway was notified", settings,
                     {request_received(0), leaving, attempt_event(Event::kAttemptFirstByte, 351, 1)});
    EXPECT_HOLDS(settings,
                 {request_received(0), leaving, attempt_event(Event::kAttemptFirstByte, 351, 1, 2)});
    const auto ready_again = host_update(300, {1, HostState::kReady, 0, 0, 0, 1, 1});
    EXPECT_HOLDS(settings, {request_received(0), leaving, ready_again,
                            attempt_event(Event::kAttemptFirstByte, 400, 1)});
    // The first notification counts, not a repeated one.
    EXPECT_VIOLATION("after the gateway was notified", settings,
                     {request_received(0), leaving, host_update(340, leaving.entry),
                      attempt_event(Event::kAttemptFirstByte, 351, 1)});
    // A notification applies only to the gateway that got it.
    auto other = attempt_event(Event::kAttemptFirstByte, 400, 1);
    other.gateway = 2;
    EXPECT_HOLDS(settings, {request_received(0), leaving, other});
  }
}

TEST(SlowStartMonitor, BoundsAttemptsByCapacityTimesFactor) {
  // Initial weight 0.2, warm after 10 s, overload factor 2, window 1 s.
  auto settings = settings_of_three_classes();
  const auto flood = [&](Ms started, Ms from, int n) {
    std::vector<Event> history{host_update(0, {1, HostState::kReady, started, 0, 0, 1, 1})};
    for (int i = 0; i < n; ++i) {
      const auto id = static_cast<std::uint64_t>(i) + 1;
      history.push_back(request_received(from, 0, id));
      history.push_back(attempt_event(Event::kAttemptWritten, from + i, id, 1, id));
    }
    return history;
  };
  // A warm host serves 100 requests per second. In the first second this one can serve 100 x 0.24, and twice
  // that is 48.
  EXPECT_HOLDS(settings, flood(1000, 1000, 48), 0, 100);
  EXPECT_VIOLATION("the limit is", settings, flood(1000, 1000, 49), 0, 100);
  EXPECT_HOLDS(settings, flood(1000, 11'500, 190), 0, 100);  // warm by then: 198 are allowed
  EXPECT_HOLDS(settings, flood(0, 1000, 300), 0, 100);       // its start time is unknown
}

TEST(CeilingMonitor, BoundsRateAndConcurrencyOverAllGateways) {
  auto settings = settings_of_three_classes();
  settings.plans[0].ceiling_rate = 10;
  settings.plans[0].ceiling_burst = 5;
  settings.plans[0].ceiling_slack = 1;
  const auto sends = [&](int n, Ms apart) {
    std::vector<Event> history;
    for (int i = 0; i < n; ++i) {
      const auto id = static_cast<std::uint64_t>(i) + 1;
      auto received = request_received(i * apart, 0, id);
      received.gateway = static_cast<GatewayId>(i % 2);
      history.push_back(received);
      history.push_back(attempt_event(Event::kAttemptWritten, i * apart, id, 1, id));
      history.push_back(attempt_event(Event::kAttemptEnded, i * apart, id, 1, id));
    }
    return history;
  };
  EXPECT_HOLDS(settings, sends(6, 0));
  EXPECT_VIOLATION("exceeds its ceiling", settings, sends(7, 0));
  EXPECT_HOLDS(settings, sends(100, 100));  // exactly at the ceiling's rate
  EXPECT_VIOLATION("exceeds its ceiling", settings, sends(100, 90));
  // Retries draw no tokens.
  auto again = sends(6, 0);
  again.push_back(attempt_event(Event::kAttemptWritten, 1, 99, 2, 6));
  EXPECT_HOLDS(settings, again);

  settings.plans[0].ceiling_rate = 0;
  settings.plans[0].ceiling_slack = 0;
  settings.plans[0].max_concurrent_attempts = 2;
  std::vector<Event> open{request_received(0, 0, 1), request_received(0, 0, 2), request_received(0, 0, 3),
                          attempt_event(Event::kAttemptWritten, 1, 1, 1, 1),
                          attempt_event(Event::kAttemptWritten, 1, 2, 1, 2)};
  EXPECT_HOLDS(settings, open);
  auto three = open;
  three.push_back(attempt_event(Event::kAttemptWritten, 2, 3, 1, 3));
  EXPECT_VIOLATION("attempts in flight; its plan allows", settings, three);
  open.push_back(attempt_event(Event::kAttemptEnded, 2, 1, 1, 1));
  open.push_back(attempt_event(Event::kAttemptWritten, 3, 3, 1, 3));
  EXPECT_HOLDS(settings, open);
}

}  // namespace
}  // namespace cometfold::rules
