// A second process of the same gateway beside the first: who serves when, and what is handed over.
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include "emulators/host_emulator.h"
#include "net_support.h"
#include "ops/handover_state.h"

namespace cometfold::net::testing {
namespace {

struct Directory {
  std::filesystem::path path;
  Directory() {
    std::string name = (std::filesystem::temp_directory_path() / "cometfold-XXXXXX").string();
    if (!::mkdtemp(name.data())) throw Hung("no directory");
    path = name;
  }
  ~Directory() { std::filesystem::remove_all(path); }
};

struct Beside {
  Listener host, discovery;
  Directory directory;
  boost::json::object conf;
  Beside() : conf(config(list(7, true, {target("s-1", host.port())}), discovery.port())) {
    auto& plan = conf["settings"].as_object()["packages"].as_array()[0].as_object();
    plan["quota_rate"] = 0.5;  // so that what a customer took is still missing at the handover
    plan["burst"] = 100.0;
  }
  std::unique_ptr<Program> start() const {
    return std::make_unique<Program>(conf, std::vector<std::string>{"TMPDIR=" + directory.path.string()});
  }
  void serve(Peer& client, unsigned n) {
    client.send(query(n));
    auto at = host.accept();
    at.command();
    at.send(served("v"));
    EXPECT_EQ(client.reply(), "v");
    at.close();
  }
};

std::string ping(const Program& program) {
  auto client = program.client();
  client.send(command({"PING"}));
  return client.reply();
}

// As text, between processes that number classes differently, and from one that tells of customers only.
TEST(HandedText, HostsAndClassesGoOverAndWhatIsMissingIsNotKnown) {
  const std::vector<std::string> theirs{"look", "hold"}, ours{"hold", "audit", "look"}, plans{"team"};
  HandoverSnapshot state{5000,
                         {{.id = 7, .plan_index = 0, .attempts_in_flight = 3}},
                         {{42, 1500, 2.5, 0.5, 4, 9, 800}},
                         {60, 250},
                         90};
  state.customers[0].class_levels = {1, 2};
  state.departed_hosts = {{43, 1234.5}, {44, std::nullopt}};
  const PlanSettings plan;
  const auto text = ops::encode_handover(state, {theirs, plans}, std::span(&plan, 1));
  const auto got = ops::decode_handover(text, {ours, plans});
  ASSERT_EQ(got.customers.size(), 1u);
  EXPECT_EQ(got.customers[0].attempts_in_flight, 3);
  ASSERT_EQ(got.hosts.size(), 1u);
  EXPECT_EQ(got.hosts[0].id, 42u);
  EXPECT_EQ(got.hosts[0].uptime_ms, 1500);
  EXPECT_EQ(got.hosts[0].ejection_remaining_ms, 800);
  EXPECT_EQ(got.class_latency_ms, (std::vector<Ms>{250, 0, 60}));
  EXPECT_EQ(got.unloaded_latency_ms, 90);
  ASSERT_EQ(got.departed_hosts.size(), 2u);
  EXPECT_EQ(got.departed_hosts[0].id, 43u);
  EXPECT_EQ(got.departed_hosts[0].boot_unix_ms, 1234.5);
  EXPECT_FALSE(got.departed_hosts[1].boot_unix_ms);

  const auto before = ops::decode_handover(R"({"version":1,"age_ms":1,"classes":["look"],"plans":["team"],)"
                                           R"("customers":[[7,0,1,1,1,1,0,0,[1]]]})",
                                           {ours, plans});
  ASSERT_EQ(before.customers.size(), 1u);
  EXPECT_EQ(before.customers[0].attempts_in_flight, 0);
  EXPECT_TRUE(before.hosts.empty());
  EXPECT_TRUE(before.departed_hosts.empty());
  EXPECT_THROW(
      ops::decode_handover(R"({"version":1,"age_ms":1,"classes":[],"plans":[],"customers":[],"hosts":[[1]]})",
                           {ours, plans}),
      ops::HandoverError);
}

TEST(Upgrade, TheSecondBeginsWhenTheFirstIsToldToEnd) {
  Beside b;
  auto first = b.start();
  auto kept = first->client();
  b.serve(kept, 1);
  auto second = b.start();
  first->log_until("a second process is there");
  EXPECT_EQ(second->port(), first->port());
  b.serve(kept, 2);  // still the first
  std::vector<Peer> queued;
  for (int i = 0; i < 20; ++i) queued.push_back(first->client());
  first->terminate();
  for (int i = 0; i < 20; ++i) queued.push_back(first->client());
  for (auto& client : queued) {  // whoever accepted them: nobody is turned away
    client.send(command({"PING"}));
    EXPECT_EQ(client.reply(), "+PONG");
  }
  second->log_until("taken over: 2 customers");
  b.serve(kept, 3);  // one more answer on a kept connection, then its end
  EXPECT_TRUE(kept.ends());
  queued.clear();
  EXPECT_EQ(first->exit_code(), 0);
  EXPECT_EQ(ping(*second), "+PONG");
  auto third = b.start();  // and the next finds the second
  second->log_until("a second process is there");
  second->terminate();
  third->log_until("taken over");
  auto client = third->client();
  b.serve(client, 4);
}

TEST(Upgrade, TheFirstDiesWithoutAWord) {
  Beside b;
  auto first = b.start();
  auto second = b.start();
  first.reset();  // SIGKILL
  second->log_until("ended without a word");
  auto client = second->client();
  b.serve(client, 1);
}

// What the first had given of a ceiling when it died is not known: the second's slice starts empty then,
// however long it has waited.
TEST(Upgrade, TheSecondOfOneThatDiesHasAnEmptyCeiling) {
  boost::asio::io_context io;
  HostEmulator host(io, Behaviour{.mean_ms = 1}, 1);
  std::thread hosts([&io] { io.run_for(std::chrono::seconds(60)); });
  Beside b;
  b.conf = config(list(7, true, {target("s-1", host.port())}), b.discovery.port());
  auto& plan = b.conf["settings"].as_object()["packages"].as_array()[0].as_object();
  plan["hard_rate"] = 20.0;  // a slice of 10 a second that holds 10
  plan["hard_burst"] = 20.0;
  auto first = b.start();
  auto second = b.start();
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  first.reset();  // SIGKILL
  second->log_until("ended without a word");
  auto client = second->client();
  std::string burst;
  for (unsigned n = 1; n <= 10; ++n) {
    burst += command({"SVC.QUERY", id(7), id(n), "c=lookup,t=team,d=30000,units=1,spread=2,first=0"});
  }
  client.send(burst);
  int given = 0;
  for (unsigned n = 1; n <= 10; ++n) given += client.reply().front() != '-';
  EXPECT_LE(given, 5);
  io.stop();
  hosts.join();
}

// A first process that hangs: the second does not give up, whether the first is killed or comes to again.
TEST(Upgrade, AFirstThatHangsIsWaitedFor) {
  for (const bool killed : {true, false}) {
    Beside b;
    auto first = b.start();
    const int port = first->port();
    ASSERT_EQ(::kill(first->pid(), SIGSTOP), 0);
    const auto second = b.start();
    int at = port;
    if (killed) {
      first.reset();                                       // SIGKILL
      const auto line = second->log_until("listens now");  // any port will do here
      at = std::stoi(line.substr(line.rfind(':') + 1));
    } else {
      ASSERT_EQ(::kill(first->pid(), SIGCONT), 0);
      first->log_until("a second process is there");
      first->terminate();
      second->log_until("taken over");
    }
    auto client = Peer::connect(at);
    b.serve(client, 1);
  }
}

// The first is told to end while the second has only just come, and the second is upgraded at once in turn.
TEST(Upgrade, TwoWithinASecond) {
  Beside b;
  auto first = b.start();
  auto second = b.start();
  first->terminate();
  second->log_until("taken over");
  auto third = b.start();
  second->terminate();
  third->log_until("taken over");
  auto client = third->client();
  b.serve(client, 1);
}

TEST(Upgrade, TheSecondDiesAndTheFirstServesOn) {
  Beside b;
  auto first = b.start();
  auto second = b.start();
  first->log_until("a second process is there");
  second.reset();  // SIGKILL
  first->log_until("ended before it took over");
  auto client = first->client();
  b.serve(client, 1);
  auto third = b.start();
  first->log_until("a second process is there");
  first->terminate();
  third->log_until("taken over");
  auto late = third->client();
  b.serve(late, 2);
}

// Whoever comes meanwhile finds one of the two, or nobody: what the system has accepted is not dropped.
TEST(Upgrade, BothAreToldToEndAtOnce) {
  for (int round = 0; round < 5; ++round) {
    Beside b;
    auto first = b.start();
    auto second = b.start();
    first->log_until("a second process is there");
    second->terminate();
    first->terminate();
    std::vector<Peer> clients;
    for (int i = 0; i < 20; ++i) {
      clients.push_back(first->client());
      clients.back().send(command({"PING"}));
    }
    int dropped = 0;
    for (auto& client : clients) {
      try {
        EXPECT_EQ(client.reply(), "+PONG");
      } catch (const Hung&) {
        ++dropped;
      }
    }
    EXPECT_EQ(dropped, 0) << "of 20 accepted connections, in round " << round;
    EXPECT_EQ(first->exit_code(), 0);
    EXPECT_EQ(second->exit_code(), 0);
  }
}

// The second has an older list in its configuration, and discovery is silent: what the first was told holds
// for both.
TEST(Upgrade, ADrainThatTheFirstWasToldOfIsKeptByTheSecond) {
  for (const std::string state : {"leaving", "left"}) {
    boost::asio::io_context io;
    HostEmulator one(io, Behaviour{.mean_ms = 1}, 1), two(io, Behaviour{.mean_ms = 1}, 2);
    std::thread hosts([&io] { io.run_for(std::chrono::seconds(60)); });
    Beside b;
    b.conf =
        config(list(7, true, {target("s-1", one.port()), target("s-2", two.port())}), b.discovery.port());
    auto first = b.start();
    auto watch = b.discovery.accept();
    watch_head(watch);
    chunk(watch, list(8, false, {target("s-1", one.port(), state)}) + "\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    auto second = b.start();
    first->log_until("a second process is there");
    first->terminate();
    second->log_until("taken over");
    const auto before = one.received();
    auto client = second->client();
    for (unsigned n = 1; n <= 20; ++n) {
      client.send(query(n));
      EXPECT_NE(client.reply().front(), '-') << n;
    }
    EXPECT_EQ(one.received(), before) << "sent to a host that the first was told is " << state;
    io.stop();
    hosts.join();
  }
}

TEST(Upgrade, TheSecondIsToldToEndFirst) {
  Beside b;
  auto first = b.start();
  auto second = b.start();
  first->log_until("a second process is there");
  second->terminate();
  EXPECT_EQ(second->exit_code(), 0);
  first->log_until("ended before it took over");
  EXPECT_EQ(ping(*first), "+PONG");
}

TEST(Upgrade, AThirdProcessIsTurnedAway) {
  Beside b;
  auto first = b.start();
  auto second = b.start();
  first->log_until("a second process is there");
  auto conf = b.conf;  // its own address is taken, and nobody gives it the socket
  EXPECT_EQ(ping(*first), "+PONG");
  const int taken = first->port();
  conf["listen"] = "127.0.0.1:" + std::to_string(taken);
  EXPECT_THROW(Program(conf, {"EDGE_LISTEN=127.0.0.1:" + std::to_string(taken)}), Hung);
  EXPECT_EQ(ping(*first), "+PONG");
}

TEST(HandedState, ComesThroughInTheNumbersOfTheOther) {
  const std::vector<std::string> classes{"a", "b"}, plans{"p", "q"};
  const std::vector<std::string> their_classes{"c", "b"}, their_plans{"q"};
  HandoverSnapshot state{1500, {}};
  state.customers.push_back({(1ULL << 33) - 1, 1, 2, 3.5, -4, 5, {6, 7}, 8, 9});
  state.customers.push_back({7, 0, 1, 1, 1, 1, {1, 1}, 1, 1});
  const std::vector<PlanSettings> settings(2);
  const auto text = ops::encode_handover(state, {classes, plans}, settings);
  EXPECT_EQ(text.find('\n'), std::string::npos);
  const auto got = ops::decode_handover(text, {their_classes, their_plans});
  EXPECT_EQ(got.age_ms, 1500);
  ASSERT_EQ(got.customers.size(), 1u);  // the other's plan is not there
  EXPECT_EQ(got.customers[0].id, (1ULL << 33) - 1);
  EXPECT_EQ(got.customers[0].plan_index, 0u);
  EXPECT_EQ(got.customers[0].undivided_quota_level, -4);
  EXPECT_EQ(got.customers[0].class_levels, (std::vector<double>{3.5, 7}));
}

TEST(HandedState, WhatIsNoneIsRefused) {
  const std::vector<std::string> names{"a"};
  const ops::HandoverNames n{names, names};
  for (const std::string bad :
       {"", "{", "[]", "{}", R"({"version":2,"age_ms":0,"classes":[],"plans":[],"customers":[]})",
        R"({"version":1,"age_ms":0,"classes":["a"],"plans":["a"],"customers":[[1,5,1,1,1,1,1,1,[]]]})",
        R"({"version":1,"age_ms":0,"classes":["a"],"plans":["a"],"customers":[[1,0,1,1,1,1,1,1,[1,2]]]})",
        R"({"version":1,"age_ms":0,"classes":["a"],"plans":["a"],"customers":[[-1,0,1,1,1,1,1,1,[]]]})",
        R"({"version":1,"age_ms":0,"classes":["a"],"plans":["a"],"customers":[[1,0]]})"}) {
    EXPECT_THROW(ops::decode_handover(bad, n), ops::HandoverError) << bad;
  }
}

TEST(HandedState, AboveTheBoundCustomersWithACeilingGoFirst) {
  const std::vector<std::string> names{"soft", "hard"}, classes{"a"};
  std::vector<PlanSettings> plans(2);
  plans[1].ceiling_rate = 1;
  HandoverSnapshot state;
  state.age_ms = 1e6;
  for (std::size_t i = 0; i < ops::kMaxHandedCustomers + 10; ++i)
    state.customers.push_back({.id = i, .class_levels = {1}});
  state.customers.back().plan_index = 1;
  const auto got =
      ops::decode_handover(ops::encode_handover(state, {classes, names}, plans), {classes, names});
  EXPECT_EQ(got.customers.size(), ops::kMaxHandedCustomers);
  EXPECT_EQ(got.customers.front().plan_index, 1u);
  EXPECT_EQ(got.age_ms, 0);  // those left out must not have a full ceiling
}

}  // namespace
}  // namespace cometfold::net::testing
