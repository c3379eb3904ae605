// Tests which limits on attempts are valid, which errors reject the others, and that the admission module
// enforces them.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <random>
#include <string>

#include "extproc/request_mapper.h"
#include "limits/attempt_limits.h"
#include "net/config.h"
#include "net/gateway_settings.h"
#include "support.h"

namespace cometfold::testing {
namespace {

using limits::AttemptChain;

// The classes of a shop: `lookup` is idempotent, `hold` has idempotency keys that all hosts share for 25 s,
// `order` is not idempotent, and `basket` has keys that are known to one host only.
limits::PlatformConfig shop() {
  limits::PlatformConfig platform;
  platform.class_names = {"lookup", "hold", "order", "basket"};
  platform.settings = plain_settings(4);
  platform.settings.classes = {
      {1500, 4000, 2, 0, Idempotency::kIdempotent, IdempotencyScope::kNone, 0},
      {2500, 12'000, 6, 0, Idempotency::kIdempotencyKey, IdempotencyScope::kAll, 25'000},
      {1500, 4000, 2, 0, Idempotency::kNonIdempotent, IdempotencyScope::kNone, 0},
      {1500, 4000, 2, 0, Idempotency::kIdempotencyKey, IdempotencyScope::kNone, 25'000}};
  platform.settings.max_attempts = 4;
  platform.connect_timeout_ms = 250;
  return platform;
}

// The errors of a settings file, one per line, without the file's name; empty if the file is valid.
std::string errors_of(const std::string& text, const limits::PlatformConfig& platform = shop()) {
  const auto path =
      std::filesystem::temp_directory_path() / (std::to_string(::getpid()) + "-cometfold-limits.toml");
  std::ofstream(path) << text;
  std::string errors;
  try {
    const auto own_settings = net::load_gateway_settings(path);
    for (const auto& error : limits::prove(own_settings.limits, platform).errors) {
      errors += error.to_text().substr(path.string().size() + 1) + "\n";
    }
  } catch (const net::GatewaySettingsError& error) {
    errors = std::string(error.what()).substr(path.string().size() + 1) + "\n";
  }
  std::filesystem::remove(path);
  return errors;
}

TEST(Limits, ValidFilesAreAccepted) {
  const char* const kValid[] = {
      "",
      "[limits]\n",
      "[limits.class.lookup]\n",
      "[limits]\nnetwork_ms = [0, 50]\nclock_error_ms = 5\n",
      "[limits]\nnetwork_ms = [0.5, 50.5]\n",
      "[limits.class.lookup]\nattempts = 1\n",
      "[limits.class.lookup]\nattempts = 4\n",
      "[limits.class.lookup]\nattempts = 2.0\n",
      "[limits.class.lookup]\nattempt_ms = 750\n",
      "[limits.class.lookup]\nattempt_ms = 740\n[limits]\nnetwork_ms = [0, 40]\n",
      "[limits.class.lookup]\nattempts = 3\nattempt_ms = 1000\n",
      "[limits.class.lookup]\nattempts = 1\nattempt_ms = 3750\n",
      "[limits.class.lookup]\nattempt_ms = 500\nsend_until_ms = 1000\n",
      "[limits.class.lookup]\nsend_until_ms = 4000\n",
      "[limits.class.lookup]\nsecond_copies = true\n",
      "[limits.class.lookup]\nsecond_copies = false\n",
      "[limits.class.order]\nsecond_copies = false\nattempts = 2\n",
      "[limits.class.basket]\nsecond_copies = false\n",
      "[limits.class.hold]\nsecond_copies = true\n",
      "[limits.class.hold]\nattempts = 2\nattempt_ms = 5000\n",
      "[limits.class.hold]\nsend_until_ms = 12000\n[limits]\nnetwork_ms = [0, 12000]\n",
      "[limits.class.hold]\nattempts = 1\n[limits]\nnetwork_ms = [0, 20000]\n",
      "[limits.class.lookup]\nattempts = 2\n[limits.class.hold]\nattempts = 3\n",
      "[[extproc.rule]]\npath = \"/items/*\"\nclass = \"lookup\"\nattempts = 2\n",
      "[limits.class.lookup]\nattempts = 3\n[[extproc.rule]]\nclass = \"lookup\"\nattempts = 2\n",
      "[limits.class.lookup]\nattempt_ms = 700\n[[extproc.rule]]\nclass = \"lookup\"\nattempt_ms = 600\n",
      "[[extproc.rule]]\nclass = \"lookup\"\nsecond_copies = false\n",
  };
  for (const auto* text : kValid) EXPECT_EQ(errors_of(text), "") << text;
}

// Each file has one error, with its line, the reason and the nearest valid value.
TEST(Limits, EachInvalidFileIsRejectedWithItsReason) {
  const struct {
    const char* text;
    const char* error;
  } kInvalid[] = {
      {"[limits.class.lookup]\nattempts = 0\n",
       "2: limits.class.lookup.attempts: is 0, not a whole number from 1 to 64; nearest valid value: 1"},
      {"[limits.class.lookup]\nattempts = -2\n", "2: limits.class.lookup.attempts: is -2, not a whole"},
      {"[limits.class.lookup]\nattempts = 1.5\n", "2: limits.class.lookup.attempts: is 1.5, not a whole"},
      {"[limits.class.lookup]\nattempts = nan\n", "2: limits.class.lookup.attempts: is nan, not a whole"},
      {"[limits.class.lookup]\nattempts = inf\n", "2: limits.class.lookup.attempts: is inf, not a whole"},
      {"[limits.class.lookup]\nattempts = 1e300\n",
       "2: limits.class.lookup.attempts: is 1e+300, not a whole"},
      {"[limits.class.lookup]\nattempts = 5\n",
       "attempts: is 5 where the platform allows 4, so it would have no effect; nearest valid value: 4"},
      {"[limits.class.lookup]\nattempts = \"2\"\n", "limits.class.lookup.attempts must be a number"},
      {"[limits.class.lookup]\nattempt_ms = 0\n",
       "2: limits.class.lookup.attempt_ms: is 0, not a time above 0; nearest valid value: 4000 ms"},
      {"[limits.class.lookup]\nattempt_ms = -0.0\n", "attempt_ms: is -0, not a time above 0"},
      {"[limits.class.lookup]\nattempt_ms = nan\n", "attempt_ms: is nan, not a time above 0"},
      {"[limits.class.lookup]\nattempt_ms = inf\n",
       "attempt_ms: is inf ms where the client's deadline is 4000 ms"},
      {"[limits.class.lookup]\nattempt_ms = 4001\n",
       "is 4001 ms where the client's deadline is 4000 ms, so it would have no effect; nearest valid value: "
       "4000 ms"},
      {"[limits.class.lookup]\nattempt_ms = \"1s\"\n", "limits.class.lookup.attempt_ms must be a number"},
      {"[limits.class.lookup]\nattempt_ms = true\n", "limits.class.lookup.attempt_ms must be a number"},
      {"[limits.class.lookup]\nsend_until_ms = 0\n", "send_until_ms: is 0, not a time above 0"},
      {"[limits.class.lookup]\nsend_until_ms = 5000\n", "is 5000 ms where the client's deadline is 4000 ms"},
      {"[limits.class.lookup]\nsecond_copies = 1\n", "second_copies must be true or false"},
      // The longest chain: four attempts of 1,000 ms, each after a connection of up to 250 ms.
      {"[limits.class.lookup]\nattempt_ms = 1000\n",
       "2: limits.class.lookup.attempt_ms: attempt 1 is sent at 0 ms, each times out 1000 ms after its "
       "connection, which takes up to 250 ms, attempt 4 is sent at 3750 ms; the reply reaches the client at "
       "5000 ms, after its deadline of 4000 ms; nearest valid value: 750 ms"},
      // Only the longest network delay makes it too long.
      {"[limits.class.lookup]\nattempt_ms = 750\n[limits]\nnetwork_ms = [0, 1]\n",
       "the reply reaches the client at 4001 ms, after its deadline of 4000 ms; nearest valid value: 749 ms"},
      {"[limits.class.lookup]\nattempt_ms = 50\n[limits]\nnetwork_ms = [25, 50]\n",
       "the network round trip takes at least 50 ms, so no attempt would ever be answered; nearest "
       "valid value: 51 ms"},
      {"[limits.class.lookup]\nattempts = 4\nattempt_ms = 300\n[limits]\nnetwork_ms = [100, 3500]\n",
       "after its deadline of 4000 ms; nearest valid value: attempts = 1"},
      {"[limits.class.order]\nsecond_copies = true\n",
       "second_copies: would execute a request twice: its class is not idempotent; nearest valid value: "
       "false"},
      {"[limits.class.basket]\nsecond_copies = true\n",
       "its class's idempotency keys are known to one host only, and a hedged request goes to another; "
       "nearest valid value: false"},
      {"[limits.class.lookup]\nattempts = 1\nsecond_copies = true\n",
       "is true with one attempt, so it would have no effect; nearest valid value: false"},
      // A retry exceeds the key's 25 s only after a slow first attempt and the longest network delay.
      {"[limits.class.hold]\nattempts = 2\n[limits]\nnetwork_ms = [0, 13000]\nclock_error_ms = 5\n",
       "1: limits.class.hold.send_until_ms: attempt 1 is sent at 0 ms, each may last until the client's "
       "deadline, attempt 2 is sent at 12000 ms; it reaches its host at 25005 ms by that host's clock, after "
       "the idempotency key expired at 25000 ms: the request is executed twice; nearest valid value: "
       "send_until_ms = 11995"},
      {"[limits.class.hold]\nsend_until_ms = 11996\n[limits]\nnetwork_ms = [0, 13000]\nclock_error_ms = 5\n",
       "2: limits.class.hold.send_until_ms: "},
      {"[limits.class.hold]\nattempts = 2\n[limits]\nnetwork_ms = [0, 26000]\n",
       "nearest valid value: attempts = 1"},
      {"[limits.class.holds]\nattempts = 2\n",
       "1: limits.class: no class 'holds'; the classes are lookup, hold, order, basket"},
      {"[limits.class.lookup]\nretries = 2\n",
       "2: [limits.class.lookup] has no 'retries'; it has attempt_ms, attempts, second_copies, "
       "send_until_ms"},
      {"[limits]\nnetwork_ms = [50, 0]\n", "2: limits.network_ms: is not an interval"},
      {"[limits]\nnetwork_ms = [-1, 0]\n", "2: limits.network_ms: is not an interval"},
      {"[limits]\nnetwork_ms = [0, nan]\n", "2: limits.network_ms: is not an interval"},
      {"[limits]\nnetwork_ms = [0]\n", "limits.network_ms must be two numbers"},
      {"[limits]\nnetwork_ms = 5\n", "limits.network_ms must be two numbers"},
      {"[limits]\nclock_error_ms = -1\n", "limits.clock_error_ms must be a number of milliseconds from 0"},
      {"[limits]\nclock_error_ms = nan\n", "limits.clock_error_ms must be a number of milliseconds from 0"},
      {"[limits]\nclass = 5\n", "limits.class must be at most 1024 tables"},
      {"[limits]\nclass.lookup = 5\n", "limits.class must be at most 1024 tables"},
      // The class has a stricter bound than the route.
      {"[limits.class.lookup]\nattempts = 2\n[[extproc.rule]]\nmethod = \"GET\"\npath = \"/a\"\nclass = "
       "\"lookup\"\nattempts = 3\n",
       "7: route GET /a.attempts: is 3 where its class allows 2, so it would have no effect; nearest valid "
       "value: 2"},
      {"[limits.class.lookup]\nattempt_ms = 500\n[[extproc.rule]]\nclass = \"lookup\"\nattempt_ms = 600\n",
       "5: route *.attempt_ms: is 600 ms where its class allows 500 ms"},
      {"[limits.class.lookup]\nsecond_copies = false\n[[extproc.rule]]\nclass = \"lookup\"\nsecond_copies = "
       "true\n",
       "5: route *.second_copies: is true where its class allows none; nearest valid value: false"},
      {"[[extproc.rule]]\nclass = \"order\"\nsecond_copies = true\n",
       "3: route *.second_copies: would execute a request twice"},
      {"[[extproc.rule]]\npath = \"/a\"\nattempts = 2\n", "a rule that limits attempts must name its class"},
  };
  for (const auto& file : kInvalid) {
    const auto errors = errors_of(file.text);
    EXPECT_NE(errors.find(file.error), std::string::npos) << file.text << "errors: " << errors;
    EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << file.text << errors;
  }
}

TEST(Limits, NoClassMayHedgeWhereThePlatformForbidsIt) {
  auto platform = shop();
  platform.settings.hedging_allowed = false;
  EXPECT_EQ(errors_of("[limits.class.lookup]\nsecond_copies = true\n", platform),
            "2: limits.class.lookup.second_copies: is true where the platform allows none; nearest valid "
            "value: false\n");
}

// A route has the limits that it sets, and its class's for the rest.
TEST(Limits, ARouteInheritsFromItsClass) {
  limits::LimitEntry lookup;
  lookup.class_name = "lookup";
  lookup.max_attempts = {3, 1};
  lookup.attempt_timeout_ms = {900, 2};
  limits::LimitEntry route;
  route.class_name = "lookup";
  route.route = "GET /a";
  route.max_attempts = {2, 4};
  limits::LimitsFile file;
  file.entries = {route, lookup};  // in any order
  const auto proof = limits::prove(file, shop());
  ASSERT_TRUE(proof.valid());
  EXPECT_EQ(proof.bounds.by_class[0].max_attempts, 3);
  EXPECT_EQ(proof.bounds.by_entry[0].max_attempts, 2);
  EXPECT_EQ(proof.bounds.by_entry[0].attempt_timeout_ms, 900);
  EXPECT_TRUE(std::isinf(proof.bounds.by_class[1].max_attempts));
}

// A limits file with one entry, and the platform that it is proved for.
struct LimitCase {
  limits::PlatformConfig platform = shop();
  limits::LimitsFile file;
  std::size_t class_index = 0;

  const limits::LimitEntry& entry() const { return file.entries[0]; }
  const ClassSettings& class_settings() const { return platform.settings.classes[class_index]; }
};

using Draw = std::function<double(double most)>;

LimitCase draw_case(int number, std::mt19937_64& random, const Draw& draw) {
  LimitCase drawn;
  drawn.class_index = number % 2;
  drawn.platform.connect_timeout_ms = draw(500);
  drawn.file.network_delay = {0, draw(number % 4 < 2 ? 500 : 16'000)};
  drawn.file.clock_error_ms = draw(50);
  const Ms deadline = drawn.class_settings().deadline_ms;
  const double attempts = 1 + draw(4);
  limits::LimitEntry entry;
  entry.class_name = drawn.platform.class_names[drawn.class_index];
  entry.max_attempts = {attempts, 1};
  if (random() % 4) entry.attempt_timeout_ms = {1 + draw(deadline / attempts), 2};
  if (random() % 2) entry.retry_window_ms = {1 + draw(deadline), 3};
  drawn.file.entries = {entry};
  return drawn;
}

// Simulates one chain of attempts, with the longest or with random durations. Returns whether the reply
// reaches the client too late, or a retry reaches a host after the idempotency key has expired.
bool breaks_a_rule(const LimitCase& played, bool longest, const Draw& draw) {
  const auto& entry = played.entry();
  const auto& settings = played.class_settings();
  const double attempts = entry.max_attempts->value;
  const Ms window = entry.retry_window_ms ? entry.retry_window_ms->value : settings.deadline_ms;
  const Ms last_retry_at = std::min(window, settings.deadline_ms);
  const auto duration = [&](Ms most) { return longest ? most : draw(most + 1); };
  Ms now = 0;
  Ms last_sent = 0;
  for (int attempt = 1; attempt <= attempts; ++attempt) {
    if (attempt > 1 && now > last_retry_at) {
      if (!longest) break;
      // The latest valid retry: an earlier attempt ends just then.
      now = last_retry_at;
      attempt = static_cast<int>(attempts);
    }
    last_sent = now;
    if (entry.attempt_timeout_ms) {
      const Ms connecting = duration(played.platform.connect_timeout_ms);
      now += connecting + duration(entry.attempt_timeout_ms->value);
    } else {
      now += duration(settings.deadline_ms);
    }
  }
  const Ms network_delay = played.file.network_delay.max;
  const bool late = entry.attempt_timeout_ms && now + network_delay > settings.deadline_ms;
  const bool twice = settings.idempotency == Idempotency::kIdempotencyKey && attempts > 1 &&
                     last_sent + network_delay + played.file.clock_error_ms > settings.idempotency_key_ttl_ms;
  return late || twice;
}

// Of several thousand random entries, a valid one breaks no rule in any simulated chain of attempts, and a
// rejected one breaks a rule in the longest chain.
TEST(Limits, ProofsAgreeWithSimulatedAttempts) {
  std::mt19937_64 random(23);
  const Draw draw = [&](double most) {
    return std::floor(static_cast<double>(random() % 10'000) / 1e4 * most);
  };
  int valid = 0, rejected = 0;
  for (int i = 0; i < 4000; ++i) {
    const LimitCase drawn = draw_case(i, random, draw);
    const auto proof = limits::prove(drawn.file, drawn.platform);
    if (proof.valid()) {
      ++valid;
      for (int run = 0; run < 20; ++run) EXPECT_FALSE(breaks_a_rule(drawn, false, draw)) << i;
      EXPECT_FALSE(breaks_a_rule(drawn, true, draw)) << i;
    } else {
      ++rejected;
      EXPECT_TRUE(breaks_a_rule(drawn, true, draw)) << i << ": " << proof.errors[0].to_text();
    }
  }
  EXPECT_GE(valid, 500);
  EXPECT_GE(rejected, 500);
}

// A request has its route's bounds if it is of the route's class, and its own class's bounds otherwise.
TEST(Limits, ExternalProcessorRequestsCarryTheirBounds) {
  extproc::HeaderMapping mapping;
  mapping.default_class = "lookup";
  mapping.default_plan = "team";
  mapping.default_customer = "c";
  extproc::RouteRule rule;
  rule.path = "/a";
  rule.class_name = "lookup";
  rule.bounds = RequestBounds{.max_attempts = 2};
  mapping.rules.push_back(rule);
  extproc::NamedSettings names{{"lookup", "hold"}, {"team"}, plain_settings(2), {}};
  names.bounds = {{.max_attempts = 3}, {.max_attempts = 1}};
  const extproc::RequestMapper mapper(mapping, names, 1);
  const auto attempts = [&](std::string_view path, std::string_view cls) {
    std::vector<http2::HeaderView> headers{{":path", path}};
    if (!cls.empty()) headers.push_back({"x-cometfold-class", cls});
    const auto mapped = mapper.map(headers);
    EXPECT_EQ(mapped.error, "");
    return mapped.request.bounds.max_attempts;
  };
  EXPECT_EQ(attempts("/a", ""), 2);
  EXPECT_EQ(attempts("/a", "hold"), 1);
  EXPECT_EQ(attempts("/b", ""), 3);
}

// ---- The admission module enforces the bounds. ----

Request bounded(RequestId id, RequestBounds bounds) {
  Request request{.id = id, .customer = id, .expires_at = 4000, .units = 1, .gateway_count = 2};
  request.bounds = bounds;
  return request;
}

TEST(Bounds, AttemptsStayWithinTheRequestsBound) {
  for (const double most : {1.0, 2.0, 9.0}) {
    Gateway gateway(plain_settings());
    gateway.control.on_request(0, bounded(1, {.max_attempts = most}), gateway.out);
    int sent = 0;
    while (const Act* send = gateway.out.of(Act::kSend, 1)) {
      const HostId host = send->host;
      gateway.out.take();
      gateway.end(1, static_cast<std::uint32_t>(sent), host, Outcome::kConnectFailed);
      ++sent;
    }
    EXPECT_EQ(sent, std::min(most, 4.0)) << "the platform's four apply as well";
    EXPECT_EQ(gateway.out.count(Act::kRefuse), 1u);
  }
}

TEST(Bounds, AnAttemptHasTheRequestsTimeout) {
  Gateway gateway(plain_settings());
  gateway.control.on_request(0, bounded(1, {.attempt_timeout_ms = 300}), gateway.out);
  EXPECT_EQ(gateway.out.of(Act::kSend, 1)->value, 300);
  gateway.control.on_request(0, bounded(2, {}), gateway.out);
  EXPECT_EQ(gateway.out.of(Act::kSend, 2)->value, 0);
}

TEST(Bounds, NoRetryAfterTheRetryWindow) {
  for (const Ms at : {200.0, 201.0}) {
    Gateway gateway(plain_settings());
    gateway.control.on_request(0, bounded(1, {.retry_window_ms = 200}), gateway.out);
    const HostId host = gateway.out.of(Act::kSend, 1)->host;
    gateway.out.take();
    gateway.now = at;
    gateway.end(1, 0, host, Outcome::kConnectFailed);
    EXPECT_EQ(gateway.out.of(Act::kSend, 1) != nullptr, at <= 200) << at;
  }
}

// A slow request is hedged if its bounds allow it. Otherwise its first attempt is cancelled for a retry if a
// retry is still allowed, and kept if not.
TEST(Bounds, HedgingOnlyWhereTheRequestAllowsIt) {
  const auto after_long = [](RequestBounds bounds) {
    Gateway gateway(plain_settings());
    gateway.fill(100, 40);
    gateway.control.on_request(gateway.now, bounded(1, bounds), gateway.out);
    gateway.out.take();
    gateway.now += 700;
    gateway.control.on_timer(gateway.now, 1, gateway.out);
    return std::pair{gateway.out.count(Act::kSend), gateway.out.count(Act::kCancel)};
  };
  EXPECT_EQ(after_long({}), (std::pair<std::size_t, std::size_t>{1, 0}));
  EXPECT_EQ(after_long({.hedging_allowed = false}), (std::pair<std::size_t, std::size_t>{0, 1}));
  EXPECT_EQ(after_long({.max_attempts = 1, .hedging_allowed = false}),
            (std::pair<std::size_t, std::size_t>{0, 0}));
  EXPECT_EQ(after_long({.hedging_allowed = false, .retry_window_ms = 500}),
            (std::pair<std::size_t, std::size_t>{0, 0}));
}

}  // namespace
}  // namespace cometfold::testing
