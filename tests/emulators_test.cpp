// The stand-ins do what they say, and the gateway keeps the rules among hosts that fail at random.
#include <future>
#include <thread>

#include "emulators/discovery_emulator.h"
#include "emulators/host_emulator.h"
#include "emulators/load.h"
#include "net_support.h"

namespace cometfold::net::testing {
namespace {

struct Site {
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
  DiscoveryEmulator discovery{io};
  std::vector<std::unique_ptr<HostEmulator>> hosts;
  std::jthread thread;

  Site(int count, const Behaviour& behaviour) {
    for (int i = 1; i <= count; ++i) {
      hosts.push_back(std::make_unique<HostEmulator>(io, behaviour, static_cast<std::uint64_t>(i)));
      discovery.set("s-" + std::to_string(i), hosts.back()->port(), "active");
    }
    thread = std::jthread([this] { io.run(); });
  }
  ~Site() { stop(); }
  void stop() {
    io.stop();
    if (thread.joinable()) thread.join();
  }
  // On the servers' thread, when done there.
  template <class Call>
  void there(Call&& call) {
    std::promise<void> done;
    boost::asio::post(io, [&] {
      call();
      done.set_value();
    });
    done.get_future().wait();
  }
  std::size_t runs_of(const std::string& request) {
    std::size_t runs = 0;
    there([&] {
      for (const auto& h : hosts) runs += h->runs_of(request);
    });
    return runs;
  }
};

TEST(StandIns, AnUnsafeRequestRunsAtMostOnceAmongHostsThatFailAtRandom) {
  Site site(3, {.mean_ms = 1, .error = 0.1, .busy = 0.1, .spoilt = 0.1, .broken = 0.1, .twin = 0.1});
  Program gateway(config(site.discovery.whole(), site.discovery.port()));
  auto client = gateway.client();
  std::size_t served = 0, failed = 0;
  for (unsigned n = 1; n <= 300; ++n) {
    client.send(submit("pay", n));
    const auto reply = client.reply();
    const auto runs = site.runs_of(id(n));
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
  EXPECT_GT(failed, 5u);  // the hosts did fail, and a lost one is not asked again
}

TEST(StandIns, ADrainToldByDiscoveryEndsNewWork) {
  Site site(2, {.mean_ms = 0});
  Program gateway(config(site.discovery.whole(), site.discovery.port()));
  auto client = gateway.client();
  const auto ask = [&](unsigned n) {
    client.send(query(n));
    return client.reply();
  };
  EXPECT_TRUE(ask(1).starts_with("value of"));
  site.there([&] { site.discovery.set("s-1", site.hosts[0]->port(), "leaving"); });
  // The word takes its way: the first request after it may still go there. When none of fifty does, it is
  // kept.
  std::uint64_t before = 0, after = 1;
  unsigned n = 2;
  for (int round = 0; round < 200 && after != before; ++round) {
    site.there([&] { before = site.hosts[0]->received(); });
    for (int i = 0; i < 50; ++i) EXPECT_TRUE(ask(n++).starts_with("value of"));
    site.there([&] { after = site.hosts[0]->received(); });
  }
  EXPECT_EQ(before, after);
  site.there([&] { site.discovery.set("s-1", site.hosts[0]->port(), "active"); });
  for (int i = 0; i < 20'000 && after == before; ++i) {
    EXPECT_TRUE(ask(n++).starts_with("value of"));
    site.there([&] { after = site.hosts[0]->received(); });
  }
  EXPECT_GT(after, before);
}

TEST(StandIns, AnOpenLoopOffersItsRateAndChecksEachValue) {
  Site site(2, {.mean_ms = 1});
  Program gateway(config(site.discovery.whole(), site.discovery.port()));
  const LoadPlan plan{.rate = 50, .seconds = 1, .warm_up = 0.2, .wait_ms = 30'000};
  const auto r = run_load(gateway.port(), plan);
  EXPECT_EQ(r.offered, 50u);
  EXPECT_EQ(r.served + r.refused + r.failed + r.unanswered, r.offered);
  EXPECT_GT(r.served, 0u);
  EXPECT_EQ(r.wrong, 0u);
  EXPECT_EQ(r.latency_ms.size(), r.served);
}

TEST(StandIns, AHostFailsAsItIsTold) {
  const auto first_reply = [](const Behaviour& behaviour) {
    Site site(1, behaviour);
    auto peer = Peer::connect(site.hosts[0]->port());
    peer.send(query(7));
    const auto line = peer.more() ? peer.line() : "end";
    return std::pair{line, site.runs_of(id(7))};
  };
  using Seen = std::pair<std::string, std::size_t>;
  EXPECT_EQ(first_reply({.mean_ms = 0}), (Seen{"*3", 1}));
  EXPECT_EQ(first_reply({.mean_ms = 0, .error = 1}), (Seen{"-ERR failed", 1}));
  EXPECT_EQ(first_reply({.mean_ms = 0, .busy = 1}), (Seen{"-BUSY", 0}));
  EXPECT_EQ(first_reply({.mean_ms = 0, .spoilt = 1}), (Seen{"*2", 1}));
  EXPECT_EQ(first_reply({.mean_ms = 0, .broken = 1}), (Seen{"end", 1}));
}

}  // namespace
}  // namespace cometfold::net::testing
