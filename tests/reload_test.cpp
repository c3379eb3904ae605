// Reload of the configuration by SIGHUP, a change of the address of discovery, and backoff.
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "net/backoff.h"
#include "net_support.h"

namespace cometfold::net::testing {
namespace {

std::string with_discovery(boost::json::object conf, const Listener& discovery) {
  conf["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
  return boost::json::serialize(conf);
}

TEST(Reload, AnInvalidFileIsLoggedAndRequestsInFlightGoOn) {
  Listener host, discovery;
  const auto conf = config(list(7, true, {target("s-1", host.port())}), discovery.port());
  Program program(conf);
  auto client = program.client();
  client.send(query(1));
  auto upstream = host.accept();
  upstream.command();
  for (const std::string bad : {"", "{", "{}", R"({"name":"n0"})"}) {
    program.reload(bad);
    program.log_until("the previous configuration is kept");
  }
  program.reload(boost::json::serialize(conf));
  program.log_until("configuration reloaded");
  upstream.send(served("one"));
  EXPECT_EQ(client.reply(), "one");
}

TEST(Reload, TheOldDiscoveryAddressIsWatchedUntilTheNewOneHasSentItsSnapshot) {
  Listener first, second, third, old_agent, new_agent;
  const auto conf = config(list(7, true, {target("s-1", first.port())}), old_agent.port());
  Program program(conf);
  auto before = old_agent.accept();
  answer_watch_request(before);
  program.reload(with_discovery(conf, new_agent));
  auto fetch = new_agent.accept();  // not answered yet, so the old address stays in use
  chunk(before,
        list(8, false, {target("s-1", first.port(), "leaving"), target("s-2", second.port())}) + "\n");
  auto client = program.client();
  for (bool served_by_second = false; !served_by_second;) {  // until the program has read that line
    client.send(query(1));
    if (Listener::first_of(first, second)) {
      auto upstream = first.accept();
      upstream.command();
      upstream.send("-BUSY\r\n");
      upstream.wait_for_close();
      client.reply();
      continue;
    }
    auto upstream = second.accept();
    upstream.command();
    upstream.send(served("two"));
    EXPECT_EQ(client.reply(), "two");
    served_by_second = true;
  }
  // The versions of the two addresses differ, and the new one still lists the draining host as ready.
  answer_list_request(fetch, list(3, true, {target("s-1", first.port()), target("s-3", third.port())}));
  auto after = new_agent.accept();
  EXPECT_NE(answer_watch_request(after).find("since=3 "), std::string::npos);
  EXPECT_TRUE(before.wait_for_close());
  client.send(query(2));
  auto upstream = third.accept();
  for (unsigned n = 2; n < 12; ++n) {
    EXPECT_EQ(upstream.command().at(2), id(n));
    upstream.send(served("three"));
    EXPECT_EQ(client.reply(), "three");
    wait_for_connection_rest();
    client.send(query(n + 1));
  }
  EXPECT_FALSE(first.waiting(0));
}

// Guards against requests that lose their class: commands that a client wrote before SIGHUP, and that wait
// behind 64 others, are parsed with the names of the new settings, without the class that has vanished.
TEST(Reload, CommandsThatWaitBehindOthersKeepTheClassTheyWereWrittenFor) {
  constexpr unsigned kWaiting = 3;
  Listener host, discovery;
  auto conf = config(list(7, true, {target("s-1", host.port())}), discovery.port());
  Program program(conf);
  auto client = program.client();
  std::string commands = query(1);
  for (int i = 0; i < 63; ++i) commands += command({"PING"});
  for (unsigned n = 2; n < 2 + kWaiting; ++n) commands += n % 4 == 0 ? query(n) : submit("hold", n);
  client.send(commands);
  auto first = host.accept();
  first.command();
  auto& classes = conf["settings"].as_object()["lanes"].as_array();
  classes.erase(classes.begin() + 1);
  program.reload(boost::json::serialize(conf));
  program.log_until("reloaded settings are in use");
  first.send(served("one"));
  first.close();  // so that the waiting requests get other connections
  EXPECT_EQ(client.reply(), "one");
  for (int i = 0; i < 63; ++i) EXPECT_EQ(client.reply(), "+PONG");
  std::vector<Peer> upstreams;
  for (unsigned i = 0; i < kWaiting; ++i) {
    upstreams.push_back(host.accept());
    upstreams.back().send(served(upstreams.back().command().at(2)));
  }
  for (unsigned n = 2; n < 2 + kWaiting; ++n) EXPECT_EQ(client.reply(), id(n));
  client.send(submit("hold", 50));  // written after the reload
  EXPECT_EQ(client.reply(), "-ERR unknown class");
}

// A whole fleet restarts at once, and discovery rejects each call that exceeds its limit per second, counting
// rejected calls too. Retries that are not spread out would exceed the limit again and again.
TEST(Backoff, ARejectedFleetSpreadsOutAndGetsThrough) {
  constexpr int kFleet = 48, kMaxCallsPerSecond = 20;
  std::mt19937 random(5);
  std::vector<Backoff> backoffs(kFleet);
  std::multimap<double, int> calls;
  for (int i = 0; i < kFleet; ++i) calls.emplace(random() % 100, i);
  std::deque<double> last_second;
  double done_at = 0;
  int left = kFleet;
  while (left > 0 && done_at < 60'000) {
    const auto [now, gateway] = *calls.begin();
    calls.erase(calls.begin());
    done_at = now;
    last_second.push_back(now);
    while (last_second.front() < now - 1000) last_second.pop_front();
    if (last_second.size() <= kMaxCallsPerSecond) {
      --left;
      continue;
    }
    const auto delay = static_cast<double>(backoffs[gateway].next_delay(WatchResult::kRejected).count());
    calls.emplace(now + delay / 2 + random() % static_cast<unsigned>(delay), gateway);
  }
  EXPECT_EQ(left, 0);
  EXPECT_LT(done_at, 15'000);
}

// 70 of 100 gateways start at the same moment. Discovery queues calls and also processes those whose callers
// have timed out, so too many calls at once would keep it busy with work that nobody waits for.
TEST(Backoff, AHundredSimultaneousRestartsAllGetTheListSoon) {
  constexpr int kFleet = 100, kStarted = 70;
  constexpr double kServiceMs = 1000.0 / 15;
  constexpr double kCallerTimeoutMs = 2000;
  std::mt19937 random(5);
  std::vector<Backoff> backoffs(kStarted, Backoff(kFleet));
  std::multimap<double, int> calls;
  for (int i = 0; i < kStarted; ++i) {
    calls.emplace(
        random() % std::max<unsigned>(1, static_cast<unsigned>(backoffs[i].max_initial_delay().count())), i);
  }
  double free_at = 0, last = 0;
  int made = 0;
  for (; !calls.empty() && made < 5000; ++made) {
    const auto [now, gateway] = *calls.begin();
    calls.erase(calls.begin());
    free_at = std::max(free_at, now);
    const bool rejected = free_at - now > kCallerTimeoutMs;  // rejected at once; otherwise the call is queued
    if (!rejected) free_at += kServiceMs;
    if (!rejected && free_at - now <= kCallerTimeoutMs) {
      last = std::max(last, free_at);
      continue;
    }
    const auto delay = static_cast<double>(backoffs[gateway].next_delay(WatchResult::kRejected).count());
    calls.emplace(
        now + (rejected ? 0 : kCallerTimeoutMs) + delay / 2 + random() % static_cast<unsigned>(delay),
        gateway);
  }
  EXPECT_TRUE(calls.empty());
  EXPECT_LT(last, 9'000);
  EXPECT_LT(made, 2 * kStarted);
}

// A gateway must receive a change within 6 s of discovery having it, in a fleet of any size: neither the
// first call nor the next one after a rejection may be delayed beyond that.
TEST(Backoff, DelaysOfALargeFleetStayBelowThePropagationLimit) {
  for (const double fleet : {2, 100, 321, 1000}) {
    Backoff backoff(fleet);
    EXPECT_LE(backoff.max_initial_delay().count(), 4000) << fleet;
    for (int i = 0; i < 20; ++i) {
      EXPECT_LE(backoff.next_delay(WatchResult::kRejected).count() * 3 / 2, 4000) << fleet;
    }
  }
}

// If discovery pushes its list, its local agent answers at once, so gateways need not spread their calls.
TEST(Reload, ALocalAgentIsCalledWithoutDelayInALargeFleet) {
  Listener host, agent;
  auto conf = config(list(7, true, {target("s-1", host.port())}), agent.port());
  auto& settings = conf["settings"].as_object();
  settings["siblings"] = 1000;
  settings["discovery"] = "automatic";
  Program program(conf);
  auto watch = agent.accept();
  EXPECT_NE(answer_watch_request(watch).find("since=7 "), std::string::npos);
}

TEST(Backoff, AFailedConnectionIsRetriedWithinTwoSeconds) {
  Backoff backoff;
  for (int i = 0; i < 20; ++i) EXPECT_LE(backoff.next_delay(WatchResult::kFailed).count(), 1000);
  EXPECT_EQ(backoff.next_delay(WatchResult::kReceivedData), Backoff::kMinDelay);
}

}  // namespace
}  // namespace cometfold::net::testing
