// The host connection pool against scripted hosts, and validation of the configuration.
#include <cstring>
#include <map>
#include <thread>

#include "net/config.h"
#include "net/gateway.h"
#include "net/upstream_hosts.h"
#include "net_support.h"

namespace cometfold::net::testing {
namespace {

struct FixedCommand : resp::HostCommand {
  explicit FixedCommand(std::string all) : text(std::move(all)) {}
  std::size_t bytes() const override { return text.size(); }
  std::string render(Ms) const override { return text; }
  std::string text;
};

struct RecordedEnds : HostPoolCallbacks {
  std::optional<Ms> may_write(Ms, AttemptId, bool) override { return 1000; }
  std::map<AttemptId, std::vector<Outcome>> outcomes;
  std::map<AttemptId, std::string> values;
  void on_attempt_end(Ms, AttemptId attempt, Outcome outcome, std::string_view value,
                      std::string_view) override {
    outcomes[attempt].push_back(outcome);
    values[attempt] = value;
  }
};

struct PoolFixture {
  boost::asio::io_context io;
  Clock clock;
  RecordedEnds ends;
  std::vector<std::unique_ptr<FixedCommand>> commands;  // of all attempts, kept until the test ends
  UpstreamHosts hosts;
  explicit PoolFixture(HostPoolLimits limits = {}) : hosts(io, clock, ends, limits) {}
  resp::HostPool& pool() { return hosts.pool(); }
  StartResult start(AttemptId attempt, HostId host, const std::string& text) {
    commands.push_back(std::make_unique<FixedCommand>(text));
    return pool().start(clock.now(), attempt, host, *commands.back(), 1000);
  }
  void add(HostId id, int port) {
    hosts.add(id, {boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, 0);
  }
  Outcome wait_for(AttemptId attempt) {
    while (!ends.outcomes.contains(attempt)) {
      clock.new_batch();
      io.run_one();
    }
    return ends.outcomes[attempt].at(0);
  }
};

const std::string kLargeCommand =
    command({"SVC.SUBMIT", std::string(16 << 20, 'x')});  // more than the socket buffers hold

TEST(HostPool, ABreakBeforeTheLastByteIsAFailedConnectAndAfterItALostConnection) {
  for (const bool fully_written : {false, true}) {
    Listener host;
    PoolFixture fixture;
    fixture.add(1, host.port());
    ASSERT_EQ(fixture.start(1, 1, kLargeCommand), StartResult::kStarted);
    std::thread peer([&] {
      auto upstream = host.accept();
      upstream.exactly(fully_written ? kLargeCommand.size() : 1);
      upstream.reset();
    });
    EXPECT_EQ(fixture.wait_for(1), fully_written ? Outcome::kConnectionLost : Outcome::kConnectFailed);
    peer.join();
    fixture.io.poll();
    EXPECT_EQ(fixture.ends.outcomes[1].size(), 1u);  // exactly once
    EXPECT_EQ(fixture.pool().connection_count(), 0u);
  }
}

TEST(HostPool, ReportsRefusedConnectionsOverloadAndErrors) {
  Listener host, closed;
  PoolFixture fixture;
  fixture.add(1, host.port());
  fixture.add(2, closed.port());
  closed.close();
  ASSERT_EQ(fixture.start(1, 2, "x"), StartResult::kStarted);
  EXPECT_EQ(fixture.wait_for(1), Outcome::kConnectFailed);
  std::thread peer([&] {
    auto upstream = host.accept();
    upstream.command();
    upstream.send("-BUSY depth=9\r\n");
    upstream.command();
    upstream.send("-ERR failed\r\n");
  });
  ASSERT_EQ(fixture.start(2, 1, query(1)), StartResult::kStarted);
  EXPECT_EQ(fixture.wait_for(2), Outcome::kOverloaded);
  ASSERT_EQ(fixture.start(3, 1, query(2)), StartResult::kStarted);
  EXPECT_EQ(fixture.wait_for(3), Outcome::kError);
  peer.join();
}

TEST(HostPool, DoesNotReportAbandonedAttempts) {
  Listener host;
  PoolFixture fixture;
  fixture.add(1, host.port());
  ASSERT_EQ(fixture.start(1, 1, query(1)), StartResult::kStarted);
  fixture.pool().abandon(fixture.clock.now(), 1);
  EXPECT_EQ(fixture.pool().connection_count(), 0u);
  ASSERT_EQ(fixture.start(2, 1, query(2)), StartResult::kStarted);
  std::thread peer([&] {
    for (;;) {
      auto upstream = host.accept();
      if (!upstream.receive()) continue;  // the connection of the abandoned attempt
      upstream.send(served("x"));
      upstream.wait_for_close();
      return;
    }
  });
  EXPECT_EQ(fixture.wait_for(2), Outcome::kOk);
  fixture.pool().close_all();
  peer.join();
  EXPECT_FALSE(fixture.ends.outcomes.contains(1));
}

// A second copy of a valid reply must not be taken for the next request's reply, however late it arrives.
TEST(HostPool, NeverTakesASecondReplyForTheNextRequests) {
  Listener host;
  HostPoolLimits limits;
  limits.reuse_delay_ms = 60'000;
  PoolFixture fixture(limits);
  fixture.add(1, host.port());
  std::thread peer([&] {
    auto first = host.accept();
    first.command();
    first.send(served("one"));
    auto second = host.accept();  // the first is still in its reuse delay
    second.command();
    first.send(served("one"));
    second.send(served("two"));
    EXPECT_TRUE(first.wait_for_close());
  });
  ASSERT_EQ(fixture.start(1, 1, query(1)), StartResult::kStarted);
  EXPECT_EQ(fixture.wait_for(1), Outcome::kOk);
  ASSERT_EQ(fixture.start(2, 1, query(2)), StartResult::kStarted);
  EXPECT_EQ(fixture.wait_for(2), Outcome::kOk);
  EXPECT_EQ(fixture.ends.values[2], "two");
  while (fixture.pool().connection_count() > 1) fixture.io.run_one();
  peer.join();
}

// A second reply has arrived but has not been read when the connection is needed again.
TEST(HostPool, DoesNotReuseAConnectionWithUnreadBytes) {
  Listener host;
  HostPoolLimits limits;
  PoolFixture fixture(limits);
  fixture.add(1, host.port());
  ASSERT_EQ(fixture.start(1, 1, query(1)), StartResult::kStarted);
  std::optional<Peer> first;
  std::thread peer([&] {
    first.emplace(host.accept());
    first->command();
    first->send(served("one"));
  });
  EXPECT_EQ(fixture.wait_for(1), Outcome::kOk);
  peer.join();
  first->send(served("one"));
  std::thread next([&] {
    auto second = host.accept();
    second.command();
    second.send(served("two"));
    second.wait_for_close();
  });
  ASSERT_EQ(fixture.start(2, 1, query(2)), StartResult::kStarted);
  EXPECT_EQ(fixture.wait_for(2), Outcome::kOk);
  EXPECT_EQ(fixture.ends.values[2], "two");
  fixture.pool().close_all();
  next.join();
}

TEST(HostPool, KeepsItsLimitAndStartsNothingAtARetiredHost) {
  Listener host;
  HostPoolLimits limits;
  limits.max_connections = 2;
  PoolFixture fixture(limits);
  fixture.add(1, host.port());
  EXPECT_EQ(fixture.start(1, 1, query(1)), StartResult::kStarted);
  EXPECT_EQ(fixture.start(2, 1, query(2)), StartResult::kStarted);
  EXPECT_EQ(fixture.start(3, 1, query(3)), StartResult::kNoLocalCapacity);
  fixture.pool().retire_host(fixture.clock.now(), 1);  // both attempts wait for their connections
  EXPECT_EQ(fixture.ends.outcomes[1].at(0), Outcome::kConnectFailed);
  EXPECT_EQ(fixture.ends.outcomes[2].at(0), Outcome::kConnectFailed);
  EXPECT_EQ(fixture.start(4, 1, query(4)), StartResult::kHostUnavailable);
  EXPECT_EQ(fixture.start(5, 9, query(5)), StartResult::kHostUnavailable);
}

// New hosts get new ids, so retired ones must not accumulate. An attempt in flight still gets its reply.
TEST(HostPool, ForgetsRetiredHostsOnceNoAttemptIsInFlight) {
  Listener host;
  PoolFixture fixture;
  for (HostId id = 1; id <= 500; ++id) {
    fixture.add(id, host.port());
    if (id == 1) {
      ASSERT_EQ(fixture.start(1, 1, query(1)), StartResult::kStarted);
      std::thread peer([&] {
        auto upstream = host.accept();
        upstream.command();
        upstream.send(served("one"));
        upstream.wait_for_close();
      });
      EXPECT_EQ(fixture.wait_for(1), Outcome::kOk);
      fixture.pool().retire_host(fixture.clock.now(), id);
      peer.join();
    } else {
      fixture.pool().retire_host(fixture.clock.now(), id);
    }
  }
  while (fixture.pool().known_host_count() > 0) {
    fixture.clock.new_batch();
    fixture.io.run_one();
  }
  EXPECT_EQ(fixture.pool().connection_count(), 0u);
}

TEST(HostNumber, DependsOnTheUidAlone) {
  EXPECT_EQ(host_number("123456789"), 0xcbf43926u);  // the check value of CRC-32; independent of the machine
  EXPECT_NE(host_number("s-5be2a07c"), host_number("s-5be2a07d"));
}

TEST(Config, ReadsTheWiresNamesAndReportsMissingKeys) {
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
