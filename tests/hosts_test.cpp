// Attempts and pools against scripted hosts, and what the settings' reader refuses.
#include <cstring>
#include <map>
#include <thread>

#include "net/config.h"
#include "net/gateway.h"
#include "net/upstream_hosts.h"
#include "net_support.h"

namespace cometfold::net::testing {
namespace {

struct Text : resp::HostCommand {
  explicit Text(std::string all) : text(std::move(all)) {}
  std::size_t bytes() const override { return text.size(); }
  std::string render(Ms) const override { return text; }
  std::string text;
};

struct Ends : HostPoolCallbacks {
  std::optional<Ms> may_write(Ms, AttemptId, bool) override { return 1000; }
  std::map<AttemptId, std::vector<Outcome>> seen;
  std::map<AttemptId, std::string> values;
  void on_attempt_end(Ms, AttemptId attempt, Outcome outcome, std::string_view value,
                      std::string_view) override {
    seen[attempt].push_back(outcome);
    values[attempt] = value;
  }
};

struct Bench {
  boost::asio::io_context io;
  Clock clock;
  Ends ends;
  std::vector<std::unique_ptr<Text>> commands;  // of attempts, until the end
  UpstreamHosts hosts;
  explicit Bench(HostPoolLimits limits = {}) : hosts(io, clock, ends, limits) {}
  resp::HostPool& pool() { return hosts.pool(); }
  StartResult start(AttemptId attempt, HostId host, const std::string& text) {
    commands.push_back(std::make_unique<Text>(text));
    return pool().start(clock.now(), attempt, host, *commands.back(), 1000);
  }
  void add(HostId id, int port) {
    hosts.add(id, {boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, 0);
  }
  Outcome wait_for(AttemptId attempt) {
    while (!ends.seen.contains(attempt)) {
      clock.new_batch();
      io.run_one();
    }
    return ends.seen[attempt].at(0);
  }
};

const std::string kLarge = command({"SVC.SUBMIT", std::string(16 << 20, 'x')});  // more than buffers hold

TEST(Attempts, BrokenBeforeTheLastByteIsCouldNotConnectAndAfterItAReset) {
  for (const bool whole : {false, true}) {
    Listener host;
    Bench bench;
    bench.add(1, host.port());
    ASSERT_EQ(bench.start(1, 1, kLarge), StartResult::kStarted);
    std::thread peer([&] {
      auto at = host.accept();
      at.exactly(whole ? kLarge.size() : 1);
      at.reset();
    });
    EXPECT_EQ(bench.wait_for(1), whole ? Outcome::kConnectionLost : Outcome::kConnectFailed);
    peer.join();
    bench.io.poll();
    EXPECT_EQ(bench.ends.seen[1].size(), 1u);  // once
    EXPECT_EQ(bench.pool().connection_count(), 0u);
  }
}

TEST(Attempts, RefusedAndTurnedAway) {
  Listener host, gone;
  Bench bench;
  bench.add(1, host.port());
  bench.add(2, gone.port());
  gone.close();
  ASSERT_EQ(bench.start(1, 2, "x"), StartResult::kStarted);
  EXPECT_EQ(bench.wait_for(1), Outcome::kConnectFailed);
  std::thread peer([&] {
    auto at = host.accept();
    at.command();
    at.send("-BUSY depth=9\r\n");
    at.command();
    at.send("-ERR failed\r\n");
  });
  ASSERT_EQ(bench.start(2, 1, query(1)), StartResult::kStarted);
  EXPECT_EQ(bench.wait_for(2), Outcome::kOverloaded);
  ASSERT_EQ(bench.start(3, 1, query(2)), StartResult::kStarted);
  EXPECT_EQ(bench.wait_for(3), Outcome::kError);
  peer.join();
}

TEST(Attempts, AnAbandonedOneIsReportedNoMore) {
  Listener host;
  Bench bench;
  bench.add(1, host.port());
  ASSERT_EQ(bench.start(1, 1, query(1)), StartResult::kStarted);
  bench.pool().abandon(bench.clock.now(), 1);
  EXPECT_EQ(bench.pool().connection_count(), 0u);
  ASSERT_EQ(bench.start(2, 1, query(2)), StartResult::kStarted);
  std::thread peer([&] {
    for (;;) {
      auto at = host.accept();
      if (!at.more()) continue;  // the abandoned one
      at.send(served("x"));
      at.ends();
      return;
    }
  });
  EXPECT_EQ(bench.wait_for(2), Outcome::kOk);
  bench.pool().close_all();
  peer.join();
  EXPECT_FALSE(bench.ends.seen.contains(1));
}

// A second copy behind a good answer, however late it comes, is never taken for the next request's answer.
TEST(Attempts, WhatComesBehindAnAnswerIsNotTheNextOnes) {
  Listener host;
  HostPoolLimits limits;
  limits.reuse_delay_ms = 60'000;
  Bench bench(limits);
  bench.add(1, host.port());
  std::thread peer([&] {
    auto first = host.accept();
    first.command();
    first.send(served("one"));
    auto second = host.accept();  // the first has not rested
    second.command();
    first.send(served("one"));
    second.send(served("two"));
    EXPECT_TRUE(first.ends());
  });
  ASSERT_EQ(bench.start(1, 1, query(1)), StartResult::kStarted);
  EXPECT_EQ(bench.wait_for(1), Outcome::kOk);
  ASSERT_EQ(bench.start(2, 1, query(2)), StartResult::kStarted);
  EXPECT_EQ(bench.wait_for(2), Outcome::kOk);
  EXPECT_EQ(bench.ends.values[2], "two");
  while (bench.pool().connection_count() > 1) bench.io.run_one();
  peer.join();
}

// The copy has come, but the loop has not read it yet when the rested connection is wanted again.
TEST(Attempts, AConnectionWithSomethingToReadIsNotUsedAgain) {
  Listener host;
  HostPoolLimits limits;
  Bench bench(limits);
  bench.add(1, host.port());
  ASSERT_EQ(bench.start(1, 1, query(1)), StartResult::kStarted);
  std::optional<Peer> first;
  std::thread peer([&] {
    first.emplace(host.accept());
    first->command();
    first->send(served("one"));
  });
  EXPECT_EQ(bench.wait_for(1), Outcome::kOk);
  peer.join();
  first->send(served("one"));
  std::thread next([&] {
    auto second = host.accept();
    second.command();
    second.send(served("two"));
    second.ends();
  });
  ASSERT_EQ(bench.start(2, 1, query(2)), StartResult::kStarted);
  EXPECT_EQ(bench.wait_for(2), Outcome::kOk);
  EXPECT_EQ(bench.ends.values[2], "two");
  bench.pool().close_all();
  next.join();
}

TEST(Attempts, TheCapIsKeptAndARetiredHostGetsNothing) {
  Listener host;
  HostPoolLimits limits;
  limits.max_connections = 2;
  Bench bench(limits);
  bench.add(1, host.port());
  EXPECT_EQ(bench.start(1, 1, query(1)), StartResult::kStarted);
  EXPECT_EQ(bench.start(2, 1, query(2)), StartResult::kStarted);
  EXPECT_EQ(bench.start(3, 1, query(3)), StartResult::kNoLocalCapacity);
  bench.pool().retire_host(bench.clock.now(), 1);  // both still wait for their connections
  EXPECT_EQ(bench.ends.seen[1].at(0), Outcome::kConnectFailed);
  EXPECT_EQ(bench.ends.seen[2].at(0), Outcome::kConnectFailed);
  EXPECT_EQ(bench.start(4, 1, query(4)), StartResult::kHostUnavailable);
  EXPECT_EQ(bench.start(5, 9, query(5)), StartResult::kHostUnavailable);
}

// Hosts come and go under ever new ids; what is out at one that leaves is still answered.
TEST(Pools, ThoseOfHostsThatHaveLeftAreForgottenOnceNothingIsOut) {
  Listener host;
  Bench bench;
  for (HostId id = 1; id <= 500; ++id) {
    bench.add(id, host.port());
    if (id == 1) {
      ASSERT_EQ(bench.start(1, 1, query(1)), StartResult::kStarted);
      std::thread peer([&] {
        auto at = host.accept();
        at.command();
        at.send(served("one"));
        at.ends();
      });
      EXPECT_EQ(bench.wait_for(1), Outcome::kOk);
      bench.pool().retire_host(bench.clock.now(), id);
      peer.join();
    } else {
      bench.pool().retire_host(bench.clock.now(), id);
    }
  }
  while (bench.pool().known_host_count() > 0) {
    bench.clock.new_batch();
    bench.io.run_one();
  }
  EXPECT_EQ(bench.pool().connection_count(), 0u);
}

TEST(Numbers, AHostsNumberComesFromItsUidAlone) {
  EXPECT_EQ(host_number("123456789"), 0xcbf43926u);  // CRC-32's check value: the same on any machine
  EXPECT_NE(host_number("s-5be2a07c"), host_number("s-5be2a07d"));
}

TEST(Config, TheSettingsComeByTheWiresNamesAndWhatIsMissingIsNamed) {
  const auto good = config(list(7, true, {target("s-1", 9)}), 9);
  const auto read = parse_config(good);
  EXPECT_EQ(read.settings.classes.at(1).idempotency, Idempotency::kIdempotencyKey);
  EXPECT_EQ(read.settings.classes.at(1).idempotency_scope, IdempotencyScope::kAll);
  EXPECT_EQ(read.settings.plans.at(0).quota_rate, 100000);
  EXPECT_EQ(read.settings.gateway_count, 2);
  EXPECT_EQ(read.settings.load_report_fields, std::vector{LoadField::kQueueLength});
  EXPECT_EQ(read.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(read.cached_hosts.version, 7u);
  EXPECT_EQ(read.zones, std::vector<std::string>{"a"});
  for (const auto& [key, value] : good.at("settings").as_object()) {
    if (key == "zones" || key == "host_types" || key == "load_report") continue;
    auto bad = good;
    bad["settings"].as_object().erase(key);
    EXPECT_THROW(parse_config(bad), ConfigError) << key;
    bad["settings"].as_object()[key] = "so";
    EXPECT_THROW(parse_config(bad), ConfigError) << key;
  }
}

}  // namespace
}  // namespace cometfold::net::testing
