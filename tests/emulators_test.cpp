// The emulators behave as configured, and the gateway keeps the rules with hosts that fail at random.
#include <future>
#include <thread>

#include "emulators/discovery_emulator.h"
#include "emulators/host_emulator.h"
#include "emulators/load.h"
#include "net_support.h"

namespace cometfold::net::testing {
namespace {

struct EmulatedSite {
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
  DiscoveryEmulator discovery{io};
  std::vector<std::unique_ptr<HostEmulator>> hosts;
  std::jthread thread;

  EmulatedSite(int count, const Behaviour& behaviour) {
    for (int i = 1; i <= count; ++i) {
      hosts.push_back(std::make_unique<HostEmulator>(io, behaviour, static_cast<std::uint64_t>(i)));
      discovery.set("s-" + std::to_string(i), hosts.back()->port(), "active");
    }
    thread = std::jthread([this] { io.run(); });
  }
  ~EmulatedSite() { stop(); }
  void stop() {
    io.stop();
    if (thread.joinable()) thread.join();
  }
  // Runs `call` on the emulators' thread and waits for it.
  template <class Call>
  void run_on_loop(Call&& call) {
    std::promise<void> done;
    boost::asio::post(io, [&] {
      call();
      done.set_value();
    });
    done.get_future().wait();
  }
  std::size_t executions_of(const std::string& request) {
    std::size_t runs = 0;
    run_on_loop([&] {
      for (const auto& h : hosts) runs += h->executions_of(request);
    });
    return runs;
  }
};

TEST(EmulatorsTest, AnUnsafeRequestRunsAtMostOnceAmongHostsThatFailAtRandom) {
  EmulatedSite site(
      3,
      {.mean_ms = 1, .error = 0.1, .busy = 0.1, .malformed = 0.1, .disconnect = 0.1, .duplicate_reply = 0.1});
  Program gateway(config(site.discovery.full_list(), site.discovery.port()));
  auto client = gateway.client();
  std::size_t served = 0, failed = 0;
  for (unsigned n = 1; n <= 300; ++n) {
    client.send(submit("pay", n));
    const auto reply = client.reply();
    const auto runs = site.executions_of(id(n));
    ASSERT_LE(runs, 1u) << n;
    if (reply.starts_with("value of " + id(n))) {
      ++served;
      ASSERT_EQ(runs, 1u) << n;
    } else if (reply.starts_with("-BUSY")) {
      ASSERT_EQ(runs, 0u) << n << ": a refusal promises that a repeat is harmless";
    } else {
      ++failed;
      ASSERT_TRUE(reply.starts_with("-ERR")) << reply;
    }
  }
  EXPECT_GT(served, 50u);
  EXPECT_GT(failed, 5u);  // the hosts did fail, and requests that may have run are not retried
}

TEST(EmulatorsTest, ADrainingHostGetsNoNewRequests) {
  EmulatedSite site(2, {.mean_ms = 0});
  Program gateway(config(site.discovery.full_list(), site.discovery.port()));
  auto client = gateway.client();
  const auto reply_to = [&](unsigned n) {
    client.send(query(n));
    return client.reply();
  };
  EXPECT_TRUE(reply_to(1).starts_with("value of"));
  site.run_on_loop([&] { site.discovery.set("s-1", site.hosts[0]->port(), "leaving"); });
  // The change takes effect asynchronously, so the first requests may still reach the draining host. It has
  // taken effect when none of fifty does.
  std::uint64_t before = 0, after = 1;
  unsigned n = 2;
  for (int round = 0; round < 200 && after != before; ++round) {
    site.run_on_loop([&] { before = site.hosts[0]->received(); });
    for (int i = 0; i < 50; ++i) EXPECT_TRUE(reply_to(n++).starts_with("value of"));
    site.run_on_loop([&] { after = site.hosts[0]->received(); });
  }
  EXPECT_EQ(before, after);
  site.run_on_loop([&] { site.discovery.set("s-1", site.hosts[0]->port(), "active"); });
  for (int i = 0; i < 20'000 && after == before; ++i) {
    EXPECT_TRUE(reply_to(n++).starts_with("value of"));
    site.run_on_loop([&] { after = site.hosts[0]->received(); });
  }
  EXPECT_GT(after, before);
}

TEST(EmulatorsTest, TheLoadOffersItsRateAndChecksEachValue) {
  EmulatedSite site(2, {.mean_ms = 1});
  Program gateway(config(site.discovery.full_list(), site.discovery.port()));
  const LoadPlan plan{.rate = 50, .seconds = 1, .warm_up = 0.2, .timeout_ms = 30'000};
  const auto r = run_load(gateway.port(), plan);
  EXPECT_EQ(r.offered, 50u);
  EXPECT_EQ(r.served + r.refused + r.failed + r.unanswered, r.offered);
  EXPECT_GT(r.served, 0u);
  EXPECT_EQ(r.mismatched, 0u);
  EXPECT_EQ(r.latency_ms.size(), r.served);
}

TEST(EmulatorsTest, AHostInjectsTheConfiguredFaults) {
  const auto first_reply = [](const Behaviour& behaviour) {
    EmulatedSite site(1, behaviour);
    auto peer = Peer::connect(site.hosts[0]->port());
    peer.send(query(7));
    const auto line = peer.receive() ? peer.line() : "end";
    return std::pair{line, site.executions_of(id(7))};
  };
  using ReplyAndExecutions = std::pair<std::string, std::size_t>;
  EXPECT_EQ(first_reply({.mean_ms = 0}), (ReplyAndExecutions{"*3", 1}));
  EXPECT_EQ(first_reply({.mean_ms = 0, .error = 1}), (ReplyAndExecutions{"-ERR failed", 1}));
  EXPECT_EQ(first_reply({.mean_ms = 0, .busy = 1}), (ReplyAndExecutions{"-BUSY", 0}));
  EXPECT_EQ(first_reply({.mean_ms = 0, .malformed = 1}), (ReplyAndExecutions{"*2", 1}));
  EXPECT_EQ(first_reply({.mean_ms = 0, .disconnect = 1}), (ReplyAndExecutions{"end", 1}));
}

}  // namespace
}  // namespace cometfold::net::testing
