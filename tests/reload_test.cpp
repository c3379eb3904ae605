// A new configuration under load: SIGHUP, and what discovery tells at two addresses meanwhile.
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "net/backoff.h"
#include "net_support.h"

namespace cometfold::net::testing {
namespace {

std::string at_discovery(boost::json::object conf, const Listener& discovery) {
  conf["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
  return boost::json::serialize(conf);
}

TEST(Reload, ABadFileIsLoggedTheOldOneKeptAndWorkInFlightGoesOn) {
  Listener host, discovery;
  const auto conf = config(list(7, true, {target("s-1", host.port())}), discovery.port());
  Program program(conf);
  auto client = program.client();
  client.send(query(1));
  auto at = host.accept();
  at.command();
  for (const std::string bad : {"", "{", "{}", R"({"name":"n0"})"}) {
    program.reload(bad);
    program.log_until("the old one is kept");
  }
  program.reload(boost::json::serialize(conf));
  program.log_until("configuration read again");
  at.send(served("one"));
  EXPECT_EQ(client.reply(), "one");
}

TEST(Reload, ANewAddressIsWatchedAndTheOldOneHeardUntilTheNewHasToldAll) {
  Listener first, second, third, old_agent, new_agent;
  const auto conf = config(list(7, true, {target("s-1", first.port())}), old_agent.port());
  Program program(conf);
  auto before = old_agent.accept();
  watch_head(before);
  program.reload(at_discovery(conf, new_agent));
  auto fetch = new_agent.accept();  // and nothing yet: the old one is still heard
  chunk(before,
        list(8, false, {target("s-1", first.port(), "leaving"), target("s-2", second.port())}) + "\n");
  auto client = program.client();
  for (bool told = false; !told;) {  // until that line has come through
    client.send(query(1));
    if (Listener::first_of(first, second)) {
      auto at = first.accept();
      at.command();
      at.send("-BUSY\r\n");
      at.ends();
      client.reply();
      continue;
    }
    auto at = second.accept();
    at.command();
    at.send(served("two"));
    EXPECT_EQ(client.reply(), "two");
    told = true;
  }
  // Versions of the two do not agree, and the new one still takes the host that leaves for active.
  whole_list(fetch, list(3, true, {target("s-1", first.port()), target("s-3", third.port())}));
  auto after = new_agent.accept();
  EXPECT_NE(watch_head(after).find("since=3 "), std::string::npos);
  EXPECT_TRUE(before.ends());
  client.send(query(2));
  auto at = third.accept();
  for (unsigned n = 2; n < 12; ++n) {
    EXPECT_EQ(at.command().at(2), id(n));
    at.send(served("three"));
    EXPECT_EQ(client.reply(), "three");
    let_rest();
    client.send(query(n + 1));
  }
  EXPECT_FALSE(first.waiting(0));
}

// A fleet that was killed at once, and a discovery that turns all away while more than so many call in a
// second.
TEST(Backoff, AFleetThatIsTurnedAwayGetsThrough) {
  constexpr int kFleet = 48, kMostASecond = 20;
  std::mt19937 random(5);
  std::vector<Backoff> waits(kFleet);
  std::multimap<double, int> calls;
  for (int i = 0; i < kFleet; ++i) calls.emplace(random() % 100, i);
  std::deque<double> last_second;
  double done_at = 0;
  int left = kFleet;
  while (left > 0 && done_at < 60'000) {
    const auto [now, who] = *calls.begin();
    calls.erase(calls.begin());
    done_at = now;
    last_second.push_back(now);
    while (last_second.front() < now - 1000) last_second.pop_front();
    if (last_second.size() <= kMostASecond) {
      --left;
      continue;
    }
    const auto pause = static_cast<double>(waits[who].next_delay(WatchResult::kRejected).count());
    calls.emplace(now + pause / 2 + random() % static_cast<unsigned>(pause), who);
  }
  EXPECT_EQ(left, 0);
  EXPECT_LT(done_at, 15'000);
}

// A discovery with a queue, which works on calls that nobody waits for any more, and 70 of 100 gateways that
// have started at one moment. Called by all at once it was seconds behind for as long as they came back.
TEST(Backoff, AHundredRestartedAtOnceAreAllToldSoon) {
  constexpr int kFleet = 100, kStarted = 70;
  constexpr double kTakes = 1000.0 / 15, kWaits = 2000;
  std::mt19937 random(5);
  std::vector<Backoff> waits(kStarted, Backoff(kFleet));
  std::multimap<double, int> calls;
  for (int i = 0; i < kStarted; ++i) {
    calls.emplace(
        random() % std::max<unsigned>(1, static_cast<unsigned>(waits[i].max_initial_delay().count())), i);
  }
  double free_at = 0, last = 0;
  int made = 0;
  for (; !calls.empty() && made < 5000; ++made) {
    const auto [now, who] = *calls.begin();
    calls.erase(calls.begin());
    free_at = std::max(free_at, now);
    const bool away = free_at - now > kWaits;  // turned away at once, else it waits in the queue
    if (!away) free_at += kTakes;
    if (!away && free_at - now <= kWaits) {
      last = std::max(last, free_at);
      continue;
    }
    const auto pause = static_cast<double>(waits[who].next_delay(WatchResult::kRejected).count());
    calls.emplace(now + (away ? 0 : kWaits) + pause / 2 + random() % static_cast<unsigned>(pause), who);
  }
  EXPECT_TRUE(calls.empty());
  EXPECT_LT(last, 9'000);
  EXPECT_LT(made, 2 * kStarted);
}

// A change counts as told 6 s after discovery had it, whatever became of a call: neither the first call nor
// the next one after being turned away may come later, however many gateways there are.
TEST(Backoff, InALargeFleetNoPauseIsAsLongAsSixSeconds) {
  for (const double fleet : {2, 100, 321, 1000}) {
    Backoff wait(fleet);
    EXPECT_LE(wait.max_initial_delay().count(), 4000) << fleet;
    for (int i = 0; i < 20; ++i) {
      EXPECT_LE(wait.next_delay(WatchResult::kRejected).count() * 3 / 2, 4000) << fleet;
    }
  }
}

// Where discovery pushes, its agent answers at once and what it has counts as told: nobody waits with that
// call.
TEST(Reload, AnAgentIsCalledAtOnceHoweverLargeTheFleet) {
  Listener host, agent;
  auto conf = config(list(7, true, {target("s-1", host.port())}), agent.port());
  auto& settings = conf["settings"].as_object();
  settings["siblings"] = 1000;
  settings["discovery"] = "automatic";
  Program program(conf);
  auto watch = agent.accept();
  EXPECT_NE(watch_head(watch).find("since=7 "), std::string::npos);
}

TEST(Backoff, OneWhoseAgentIsDownComesBackWithinTwoSeconds) {
  Backoff wait;
  for (int i = 0; i < 20; ++i) EXPECT_LE(wait.next_delay(WatchResult::kFailed).count(), 1000);
  EXPECT_EQ(wait.next_delay(WatchResult::kReceivedData), Backoff::kMinDelay);
}

}  // namespace
}  // namespace cometfold::net::testing
