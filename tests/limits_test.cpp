// Limits on attempts: what is lawful, what is refused and with which words, and that the module keeps them.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <string>

#include "extproc/mapper.h"
#include "limits/attempt_limits.h"
#include "net/config.h"
#include "net/gateway_settings.h"
#include "support.h"

namespace cometfold::testing {
namespace {

using limits::AttemptChain;

// A shop's classes: lookups are safe, holds have keys that all hosts know for 25 s, orders must not be
// repeated, and baskets have keys that only their host knows.
limits::PlatformTerms shop() {
  limits::PlatformTerms site;
  site.class_names = {"lookup", "hold", "order", "basket"};
  site.settings = plain_settings(4);
  site.settings.classes = {{1500, 4000, 2, 0, Idempotency::kIdempotent, IdempotencyScope::kNone, 0},
                           {2500, 12'000, 6, 0, Idempotency::kIdempotencyKey, IdempotencyScope::kAll, 25'000},
                           {1500, 4000, 2, 0, Idempotency::kNonIdempotent, IdempotencyScope::kNone, 0},
                           {1500, 4000, 2, 0, Idempotency::kIdempotencyKey, IdempotencyScope::kNone, 25'000}};
  site.settings.max_attempts = 4;
  site.connect_timeout_ms = 250;
  return site;
}

// What is said of a settings file for that shop, without the file's name; empty if it is lawful.
std::string verdict(const std::string& text, const limits::PlatformTerms& site = shop()) {
  const auto path =
      std::filesystem::temp_directory_path() / (std::to_string(::getpid()) + "-cometfold-limits.toml");
  std::ofstream(path) << text;
  std::string all;
  try {
    const auto own = net::load_gateway_settings(path);
    for (const auto& r : limits::prove(own.limits, site).errors) {
      all += r.to_text().substr(path.string().size() + 1) + "\n";
    }
  } catch (const net::GatewaySettingsError& error) {
    all = std::string(error.what()).substr(path.string().size() + 1) + "\n";
  }
  std::filesystem::remove(path);
  return all;
}

TEST(Limits, LawfulFilesAreTaken) {
  const char* const kLawful[] = {
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
  for (const auto* text : kLawful) EXPECT_EQ(verdict(text), "") << text;
}

// One cause each, with its place, what would happen and the nearest lawful value.
TEST(Limits, EachUnlawfulFileIsRefusedForItsReason) {
  const struct {
    const char* text;
    const char* said;
  } kUnlawful[] = {
      {"[limits.class.lookup]\nattempts = 0\n",
       "2: limits.class.lookup.attempts: is 0, not a whole number from 1 to 64; lawful: 1"},
      {"[limits.class.lookup]\nattempts = -2\n", "2: limits.class.lookup.attempts: is -2, not a whole"},
      {"[limits.class.lookup]\nattempts = 1.5\n", "2: limits.class.lookup.attempts: is 1.5, not a whole"},
      {"[limits.class.lookup]\nattempts = nan\n", "2: limits.class.lookup.attempts: is nan, not a whole"},
      {"[limits.class.lookup]\nattempts = inf\n", "2: limits.class.lookup.attempts: is inf, not a whole"},
      {"[limits.class.lookup]\nattempts = 1e300\n",
       "2: limits.class.lookup.attempts: is 1e+300, not a whole"},
      {"[limits.class.lookup]\nattempts = 5\n",
       "attempts: is 5 where the site allows 4, so it would never hold; lawful: 4"},
      {"[limits.class.lookup]\nattempts = \"2\"\n", "limits.class.lookup.attempts must be a number"},
      {"[limits.class.lookup]\nattempt_ms = 0\n",
       "2: limits.class.lookup.attempt_ms: is 0, not a time above 0; lawful: 4000 ms"},
      {"[limits.class.lookup]\nattempt_ms = -0.0\n", "attempt_ms: is -0, not a time above 0"},
      {"[limits.class.lookup]\nattempt_ms = nan\n", "attempt_ms: is nan, not a time above 0"},
      {"[limits.class.lookup]\nattempt_ms = inf\n", "attempt_ms: is inf ms where clients wait 4000 ms"},
      {"[limits.class.lookup]\nattempt_ms = 4001\n",
       "is 4001 ms where clients wait 4000 ms, so it would never hold; lawful: 4000 ms"},
      {"[limits.class.lookup]\nattempt_ms = \"1s\"\n", "limits.class.lookup.attempt_ms must be a number"},
      {"[limits.class.lookup]\nattempt_ms = true\n", "limits.class.lookup.attempt_ms must be a number"},
      {"[limits.class.lookup]\nsend_until_ms = 0\n", "send_until_ms: is 0, not a time above 0"},
      {"[limits.class.lookup]\nsend_until_ms = 5000\n", "is 5000 ms where clients wait 4000 ms"},
      {"[limits.class.lookup]\nsecond_copies = 1\n", "second_copies must be true or false"},
      // The longest chain: four attempts of 1,000 ms, each after a connection of up to 250 ms.
      {"[limits.class.lookup]\nattempt_ms = 1000\n",
       "2: limits.class.lookup.attempt_ms: attempt 1 is sent at 0 ms, each is given up 1000 ms after a "
       "connection "
       "that takes up to 250 ms, attempt 4 is sent at 3750 ms; the answer is with the client at 5000 ms, "
       "which has "
       "left at 4000 ms; lawful: 750 ms"},
      // Only the longest way makes it too long.
      {"[limits.class.lookup]\nattempt_ms = 750\n[limits]\nnetwork_ms = [0, 1]\n",
       "is with the client at 4001 ms, which has left at 4000 ms; lawful: 749 ms"},
      {"[limits.class.lookup]\nattempt_ms = 50\n[limits]\nnetwork_ms = [25, 50]\n",
       "the way there and back takes 50 ms at the least, so no attempt would ever be answered; lawful: 51 "
       "ms"},
      {"[limits.class.lookup]\nattempts = 4\nattempt_ms = 300\n[limits]\nnetwork_ms = [100, 3500]\n",
       "left at 4000 ms; lawful: attempts = 1"},
      {"[limits.class.order]\nsecond_copies = true\n",
       "second_copies: would run a request twice: its class must not be repeated; lawful: false"},
      {"[limits.class.basket]\nsecond_copies = true\n",
       "its class's keys are known to one host alone, and a second copy goes to another; lawful: false"},
      {"[limits.class.lookup]\nattempts = 1\nsecond_copies = true\n",
       "is true with one attempt, so it would never hold; lawful: false"},
      // A repeat leaves the key's 25 s only after a slow first attempt and the longest way.
      {"[limits.class.hold]\nattempts = 2\n[limits]\nnetwork_ms = [0, 13000]\nclock_error_ms = 5\n",
       "1: limits.class.hold.send_until_ms: attempt 1 is sent at 0 ms, each may end as late as its client "
       "waits, "
       "attempt 2 is sent at 12000 ms; it is with its host at 25005 ms by that host's clock, which has "
       "forgotten the "
       "key at 25000 ms: the request runs twice; lawful: send_until_ms = 11995"},
      {"[limits.class.hold]\nsend_until_ms = 11996\n[limits]\nnetwork_ms = [0, 13000]\nclock_error_ms = 5\n",
       "2: limits.class.hold.send_until_ms: "},
      {"[limits.class.hold]\nattempts = 2\n[limits]\nnetwork_ms = [0, 26000]\n", "lawful: attempts = 1"},
      {"[limits.class.holds]\nattempts = 2\n",
       "1: limits.class: no class 'holds'; there are lookup, hold, order, basket"},
      {"[limits.class.lookup]\nretries = 2\n",
       "2: [limits.class.lookup] has no 'retries'; it has attempt_ms, attempts, second_copies, "
       "send_until_ms"},
      {"[limits]\nnetwork_ms = [50, 0]\n", "2: limits.network_ms: is no interval"},
      {"[limits]\nnetwork_ms = [-1, 0]\n", "2: limits.network_ms: is no interval"},
      {"[limits]\nnetwork_ms = [0, nan]\n", "2: limits.network_ms: is no interval"},
      {"[limits]\nnetwork_ms = [0]\n", "limits.network_ms must be two numbers"},
      {"[limits]\nnetwork_ms = 5\n", "limits.network_ms must be two numbers"},
      {"[limits]\nclock_error_ms = -1\n", "limits.clock_error_ms must be a number of milliseconds from 0"},
      {"[limits]\nclock_error_ms = nan\n", "limits.clock_error_ms must be a number of milliseconds from 0"},
      {"[limits]\nclass = 5\n", "limits.class must be at most 1024 tables"},
      {"[limits]\nclass.lookup = 5\n", "limits.class must be at most 1024 tables"},
      // A route against a stricter bound of its class.
      {"[limits.class.lookup]\nattempts = 2\n[[extproc.rule]]\nmethod = \"GET\"\npath = \"/a\"\nclass = "
       "\"lookup\"\nattempts = 3\n",
       "7: route GET /a.attempts: is 3 where its class allows 2, so it would never hold; lawful: 2"},
      {"[limits.class.lookup]\nattempt_ms = 500\n[[extproc.rule]]\nclass = \"lookup\"\nattempt_ms = 600\n",
       "5: route *.attempt_ms: is 600 ms where its class allows 500 ms"},
      {"[limits.class.lookup]\nsecond_copies = false\n[[extproc.rule]]\nclass = \"lookup\"\nsecond_copies = "
       "true\n",
       "5: route *.second_copies: is true where its class allows none; lawful: false"},
      {"[[extproc.rule]]\nclass = \"order\"\nsecond_copies = true\n",
       "3: route *.second_copies: would run a request twice"},
      {"[[extproc.rule]]\npath = \"/a\"\nattempts = 2\n", "a rule that limits attempts must name its class"},
  };
  for (const auto& file : kUnlawful) {
    const auto said = verdict(file.text);
    EXPECT_NE(said.find(file.said), std::string::npos) << file.text << "said: " << said;
    EXPECT_EQ(std::count(said.begin(), said.end(), '\n'), 1) << file.text << said;
  }
}

TEST(Limits, WhereTheSiteAllowsNoSecondCopiesNoClassHasThem) {
  auto site = shop();
  site.settings.hedging_allowed = false;
  EXPECT_EQ(verdict("[limits.class.lookup]\nsecond_copies = true\n", site),
            "2: limits.class.lookup.second_copies: is true where the site allows none; lawful: false\n");
}

// A route has what it says, and the rest from its class.
TEST(Limits, ARouteInheritsFromItsClass) {
  limits::LimitsFile w;
  limits::LimitEntry cls, route;
  cls.class_name = route.class_name = "lookup";
  cls.max_attempts = {3, 1}, cls.attempt_timeout_ms = {900, 2};
  route.route = "GET /a", route.max_attempts = {2, 4};
  w.entries = {route, cls};  // in any order
  const auto v = limits::prove(w, shop());
  ASSERT_TRUE(v.valid());
  EXPECT_EQ(v.bounds.by_class[0].max_attempts, 3);
  EXPECT_EQ(v.bounds.by_entry[0].max_attempts, 2);
  EXPECT_EQ(v.bounds.by_entry[0].attempt_timeout_ms, 900);
  EXPECT_TRUE(std::isinf(v.bounds.by_class[1].max_attempts));
}

// Intervals against runs: some thousand sets of bounds, each played with random and with the longest times.
// What is lawful breaks nothing in any run; what is refused for its chain breaks it in the longest one; and
// the lawful value that is named is taken.
TEST(Limits, IntervalsAgreeWithRuns) {
  std::mt19937_64 random(23);
  const auto draw = [&](double most) {
    return std::floor(static_cast<double>(random() % 10'000) / 1e4 * most);
  };
  int lawful = 0, refused = 0;
  for (int i = 0; i < 4000; ++i) {
    auto site = shop();
    const std::size_t cls = i % 2;
    site.connect_timeout_ms = draw(500);
    limits::LimitsFile w;
    w.network_delay = {0, draw(i % 4 < 2 ? 500 : 16'000)};
    w.clock_error_ms = draw(50);
    limits::LimitEntry e;
    e.class_name = site.class_names[cls];
    const double n = 1 + draw(4);
    const auto& c = site.settings.classes[cls];
    e.max_attempts = {n, 1};
    if (random() % 4) e.attempt_timeout_ms = {1 + draw(c.deadline_ms / n), 2};
    if (random() % 2) e.retry_window_ms = {1 + draw(c.deadline_ms), 3};
    w.entries = {e};
    const auto v = limits::prove(w, site);
    // One run: whether the client has its answer too late, or a repeat comes to a host that has forgotten the
    // key.
    const auto breaks = [&](bool longest) {
      Ms at = 0, last_sent = 0;
      const auto some = [&](Ms most) { return longest ? most : draw(most + 1); };
      for (int k = 1; k <= n; ++k) {
        if (k > 1 &&
            at > std::min(e.retry_window_ms ? e.retry_window_ms->value : c.deadline_ms, c.deadline_ms)) {
          if (!longest) break;
          // The latest that is still lawful: an earlier attempt ends just then.
          at = std::min(e.retry_window_ms ? e.retry_window_ms->value : c.deadline_ms, c.deadline_ms);
          k = static_cast<int>(n);
        }
        last_sent = at;
        at += e.attempt_timeout_ms ? some(site.connect_timeout_ms) + some(e.attempt_timeout_ms->value)
                                   : some(c.deadline_ms);
      }
      const bool late = e.attempt_timeout_ms && at + w.network_delay.max > c.deadline_ms;
      const bool twice = c.idempotency == Idempotency::kIdempotencyKey && n > 1 &&
                         last_sent + w.network_delay.max + w.clock_error_ms > c.idempotency_key_ttl_ms;
      return late || twice;
    };
    if (v.valid()) {
      ++lawful;
      for (int run = 0; run < 20; ++run) EXPECT_FALSE(breaks(false)) << i;
      EXPECT_FALSE(breaks(true)) << i;
    } else {
      ++refused;
      EXPECT_TRUE(breaks(true)) << i << ": " << v.errors[0].to_text();
    }
  }
  EXPECT_GE(lawful, 500);
  EXPECT_GE(refused, 500);
}

// A request has its route's bounds if it is of the route's class, else its own class's.
TEST(Limits, RequestsOfTheExternalProcessorCarryThem) {
  extproc::Mapping mapping;
  mapping.default_class = "lookup", mapping.default_plan = "team", mapping.default_customer = "c";
  extproc::Rule rule;
  rule.path = "/a", rule.cls = "lookup", rule.bounds = RequestBounds{.max_attempts = 2};
  mapping.rules.push_back(rule);
  extproc::Names names{{"lookup", "hold"}, {"team"}, plain_settings(2), {}};
  names.bounds = {{.max_attempts = 3}, {.max_attempts = 1}};
  const extproc::Mapper mapper(mapping, names, 1);
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

// ---- the module keeps them ----

Request bounded(RequestId id, RequestBounds bounds) {
  Request q{.id = id, .customer = id, .expires_at = 4000, .units = 1, .gateway_count = 2};
  q.bounds = bounds;
  return q;
}

TEST(Bounds, NoMoreAttemptsThanTheRequestHas) {
  for (const double most : {1.0, 2.0, 9.0}) {
    Gateway g(plain_settings());
    g.control.on_request(0, bounded(1, {.max_attempts = most}), g.out);
    int sent = 0;
    while (const Act* a = g.out.of(Act::kSend, 1)) {
      const HostId at = a->host;
      g.out.take();
      g.end(1, static_cast<std::uint32_t>(sent++), at, Outcome::kConnectFailed);
    }
    EXPECT_EQ(sent, std::min(most, 4.0)) << "the site's four hold as well";
    EXPECT_EQ(g.out.count(Act::kRefuse), 1u);
  }
}

TEST(Bounds, AnAttemptIsGivenUpAfterItsTime) {
  Gateway g(plain_settings());
  g.control.on_request(0, bounded(1, {.attempt_timeout_ms = 300}), g.out);
  EXPECT_EQ(g.out.of(Act::kSend, 1)->value, 300);
  g.control.on_request(0, bounded(2, {}), g.out);
  EXPECT_EQ(g.out.of(Act::kSend, 2)->value, 0);
}

TEST(Bounds, NoFurtherAttemptAfterTheLastTime) {
  for (const Ms at : {200.0, 201.0}) {
    Gateway g(plain_settings());
    g.control.on_request(0, bounded(1, {.retry_window_ms = 200}), g.out);
    const HostId host = g.out.of(Act::kSend, 1)->host;
    g.out.take();
    g.now = at;
    g.end(1, 0, host, Outcome::kConnectFailed);
    EXPECT_EQ(g.out.of(Act::kSend, 1) != nullptr, at <= 200) << at;
  }
}

// A request that lingers gets a second copy where it may have one; else, where it may have a further attempt
// at all, the first is called off for it, and otherwise it stays.
TEST(Bounds, SecondCopiesOnlyWhereTheRequestMayHaveThem) {
  const auto after_long = [](RequestBounds bounds) {
    Gateway g(plain_settings());
    g.fill(100, 40);
    g.control.on_request(g.now, bounded(1, bounds), g.out);
    g.out.take();
    g.now += 700;
    g.control.on_timer(g.now, 1, g.out);
    return std::pair{g.out.count(Act::kSend), g.out.count(Act::kCancel)};
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
