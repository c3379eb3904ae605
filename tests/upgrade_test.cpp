// Upgrades with two processes of the same gateway: which one serves, and what is handed over.
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

struct TemporaryDirectory {
  std::filesystem::path path;
  TemporaryDirectory() {
    std::string name = (std::filesystem::temp_directory_path() / "cometfold-XXXXXX").string();
    if (!::mkdtemp(name.data())) throw PeerError("can't create a temporary directory");
    path = name;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
};

struct UpgradeSetup {
  Listener host, discovery;
  TemporaryDirectory directory;
  boost::json::object conf;
  UpgradeSetup() : conf(config(list(7, true, {target("s-1", host.port())}), discovery.port())) {
    auto& plan = conf["settings"].as_object()["packages"].as_array()[0].as_object();
    plan["quota_rate"] = 0.5;  // so that a customer's used quota is not refilled before the hand-over
    plan["burst"] = 100.0;
  }
  std::unique_ptr<Program> start() const {
    return std::make_unique<Program>(conf, std::vector<std::string>{"TMPDIR=" + directory.path.string()});
  }
  void serve(Peer& client, unsigned n) {
    client.send(query(n));
    auto upstream = host.accept();
    upstream.command();
    upstream.send(served("v"));
    EXPECT_EQ(client.reply(), "v");
    upstream.close();
  }
};

std::string ping(const Program& program) {
  auto client = program.client();
  client.send(command({"PING"}));
  return client.reply();
}

// The processes number their classes differently. An older process hands over customers only.
TEST(HandoverCodec, TransfersHostsAndClassesAndToleratesMissingParts) {
  const std::vector<std::string> sender_classes{"look", "hold"}, receiver_classes{"hold", "audit", "look"},
      plans{"team"};
  HandoverSnapshot state{5000,
                         {{.id = 7, .plan_index = 0, .attempts_in_flight = 3}},
                         {{42, 1500, 2.5, 0.5, 4, 9, 800}},
                         {60, 250},
                         90};
  state.customers[0].class_levels = {1, 2};
  state.departed_hosts = {{43, 1234.5}, {44, std::nullopt}};
  state.identities_in_use = {{0xfedcba9876543210, 1'500}};
  const PlanSettings plan;
  const auto text = ops::encode_handover(state, {sender_classes, plans}, std::span(&plan, 1));
  const auto decoded = ops::decode_handover(text, {receiver_classes, plans});
  ASSERT_EQ(decoded.customers.size(), 1u);
  EXPECT_EQ(decoded.customers[0].attempts_in_flight, 3);
  ASSERT_EQ(decoded.hosts.size(), 1u);
  EXPECT_EQ(decoded.hosts[0].id, 42u);
  EXPECT_EQ(decoded.hosts[0].uptime_ms, 1500);
  EXPECT_EQ(decoded.hosts[0].ejection_remaining_ms, 800);
  EXPECT_EQ(decoded.class_latency_ms, (std::vector<Ms>{250, 0, 60}));
  EXPECT_EQ(decoded.unloaded_latency_ms, 90);
  ASSERT_EQ(decoded.departed_hosts.size(), 2u);
  EXPECT_EQ(decoded.departed_hosts[0].id, 43u);
  EXPECT_EQ(decoded.departed_hosts[0].boot_unix_ms, 1234.5);
  EXPECT_FALSE(decoded.departed_hosts[1].boot_unix_ms);
  ASSERT_EQ(decoded.identities_in_use.size(), 1u);
  EXPECT_EQ(decoded.identities_in_use[0].identity, 0xfedcba9876543210);
  EXPECT_EQ(decoded.identities_in_use[0].remaining_ms, 1'500);

  const auto older = ops::decode_handover(R"({"version":1,"age_ms":1,"classes":["look"],"plans":["team"],)"
                                          R"("customers":[[7,0,1,1,1,1,0,0,[1]]]})",
                                          {receiver_classes, plans});
  ASSERT_EQ(older.customers.size(), 1u);
  EXPECT_EQ(older.customers[0].attempts_in_flight, 0);
  EXPECT_TRUE(older.hosts.empty());
  EXPECT_TRUE(older.departed_hosts.empty());
  EXPECT_TRUE(older.identities_in_use.empty());
  EXPECT_THROW(
      ops::decode_handover(R"({"version":1,"age_ms":1,"classes":[],"plans":[],"customers":[],"hosts":[[1]]})",
                           {receiver_classes, plans}),
      ops::HandoverError);
}

TEST(Upgrade, TheSecondServesWhenTheFirstIsTerminated) {
  UpgradeSetup setup;
  auto first = setup.start();
  auto connected = first->client();
  setup.serve(connected, 1);
  auto second = setup.start();
  first->log_until("a successor process has connected");
  EXPECT_EQ(second->port(), first->port());
  setup.serve(connected, 2);  // still by the first process
  std::vector<Peer> queued;
  for (int i = 0; i < 20; ++i) queued.push_back(first->client());
  first->terminate();
  for (int i = 0; i < 20; ++i) queued.push_back(first->client());
  for (auto& client : queued) {  // none is dropped, whichever process accepts it
    client.send(command({"PING"}));
    EXPECT_EQ(client.reply(), "+PONG");
  }
  setup.serve(connected, 3);  // an open connection gets one more reply and is closed then
  second->log_until("taken over: 2 customers");
  EXPECT_TRUE(connected.wait_for_close());
  queued.clear();
  EXPECT_EQ(first->exit_code(), 0);
  EXPECT_EQ(ping(*second), "+PONG");
  auto third = setup.start();  // has the second as its predecessor
  second->log_until("a successor process has connected");
  second->terminate();
  third->log_until("taken over");
  auto client = third->client();
  setup.serve(client, 4);
}

// Guards against an effect that happens twice as a request comes again, under its id, at the other process.
TEST(Upgrade, AnIdThatIsOpenAtTheFirstDoesNotRunAtTheSecond) {
  UpgradeSetup setup;
  auto first = setup.start();
  auto client = first->client();
  client.send(submit("pay", 1));
  auto upstream = setup.host.accept();
  upstream.command();
  auto second = setup.start();
  first->log_until("a successor process has connected");
  first->terminate();
  second->log_until("taken over");
  auto again = second->client();
  again.send(submit("pay", 1));
  EXPECT_FALSE(setup.host.waiting(500));
  upstream.send(served("v"));
  EXPECT_EQ(client.reply(), "v");
}

TEST(Upgrade, TheSecondServesAfterTheFirstIsKilled) {
  UpgradeSetup setup;
  auto first = setup.start();
  auto second = setup.start();
  first.reset();  // SIGKILL
  second->log_until("exited without a hand-over");
  auto client = second->client();
  setup.serve(client, 1);
}

// It is not known how much of a ceiling the first process had used when it was killed, so the second must
// start with an empty one, however long it has waited.
TEST(Upgrade, TheSuccessorOfAKilledProcessStartsWithAnEmptyCeiling) {
  boost::asio::io_context io;
  HostEmulator host(io, Behaviour{.mean_ms = 1}, 1);
  std::thread hosts([&io] { io.run_for(std::chrono::seconds(60)); });
  UpgradeSetup setup;
  setup.conf = config(list(7, true, {target("s-1", host.port())}), setup.discovery.port());
  auto& plan = setup.conf["settings"].as_object()["packages"].as_array()[0].as_object();
  plan["hard_rate"] = 20.0;  // the slice of this gateway is 10 a second, with a burst of 10
  plan["hard_burst"] = 20.0;
  auto first = setup.start();
  auto second = setup.start();
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  first.reset();  // SIGKILL
  second->log_until("exited without a hand-over");
  auto client = second->client();
  std::string burst;
  for (unsigned n = 1; n <= 10; ++n) {
    burst += command({"SVC.QUERY", id(7), id(n), "c=lookup,t=team,d=30000,units=1,spread=2,first=0"});
  }
  client.send(burst);
  int admitted = 0;
  for (unsigned n = 1; n <= 10; ++n) admitted += client.reply().front() != '-';
  EXPECT_LE(admitted, 5);
  io.stop();
  hosts.join();
}

// The first process is suspended (SIGSTOP), and then killed or resumed.
TEST(Upgrade, AnUnresponsivePredecessorIsWaitedFor) {
  for (const bool killed : {true, false}) {
    UpgradeSetup setup;
    auto first = setup.start();
    const int port = first->port();
    ASSERT_EQ(::kill(first->pid(), SIGSTOP), 0);
    const auto second = setup.start();
    int serving_port = port;
    if (killed) {
      first.reset();  // SIGKILL
      // The configured port is 0, so this may be another port.
      const auto line = second->log_until("listening after the predecessor's exit");
      serving_port = std::stoi(line.substr(line.rfind(':') + 1));
    } else {
      ASSERT_EQ(::kill(first->pid(), SIGCONT), 0);
      first->log_until("a successor process has connected");
      first->terminate();
      second->log_until("taken over");
    }
    auto client = Peer::connect(serving_port);
    setup.serve(client, 1);
  }
}

// The first process is terminated right after the second has started, and the second is upgraded at once too.
TEST(Upgrade, TwoUpgradesWithinASecond) {
  UpgradeSetup setup;
  auto first = setup.start();
  auto second = setup.start();
  first->terminate();
  second->log_until("taken over");
  auto third = setup.start();
  second->terminate();
  third->log_until("taken over");
  auto client = third->client();
  setup.serve(client, 1);
}

TEST(Upgrade, TheFirstServesOnAfterTheSecondIsKilled) {
  UpgradeSetup setup;
  auto first = setup.start();
  auto second = setup.start();
  first->log_until("a successor process has connected");
  second.reset();  // SIGKILL
  first->log_until("exited before the hand-over");
  auto client = first->client();
  setup.serve(client, 1);
  auto third = setup.start();
  first->log_until("a successor process has connected");
  first->terminate();
  third->log_until("taken over");
  auto late = third->client();
  setup.serve(late, 2);
}

// Clients that connect meanwhile must be served by one of the two processes: no accepted connection is
// dropped.
TEST(Upgrade, BothAreTerminatedAtOnce) {
  for (int round = 0; round < 5; ++round) {
    UpgradeSetup setup;
    auto first = setup.start();
    auto second = setup.start();
    first->log_until("a successor process has connected");
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
      } catch (const PeerError&) {
        ++dropped;
      }
    }
    EXPECT_EQ(dropped, 0) << "of 20 accepted connections, in round " << round;
    EXPECT_EQ(first->exit_code(), 0);
    EXPECT_EQ(second->exit_code(), 0);
  }
}

// Guards against requests lost to SIGKILL, which comes 0.7 s after the longest deadline, on idle connections.
TEST(Upgrade, TheFirstEndsBeforeSigkillWhereDeadlinesAreShort) {
  UpgradeSetup setup;
  for (auto& settings : setup.conf["settings"].as_object()["lanes"].as_array()) {
    settings.as_object()["slo_ms"] = 500.0;
    settings.as_object()["deadline_ms"] = 1000.0;
  }
  auto first = setup.start();
  auto idle = first->client();
  setup.serve(idle, 1);
  auto second = setup.start();
  first->log_until("a successor process has connected");
  const auto terminated_at = std::chrono::steady_clock::now();
  first->terminate();
  EXPECT_TRUE(idle.wait_for_close());
  EXPECT_EQ(first->exit_code(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - terminated_at, std::chrono::milliseconds(1700));
}

// Guards against requests that the first process takes so late that its end cuts their long values off:
// clients may go on using idle connections, and SIGKILL is excused only for what was sent up to 0.7 s after
// SIGTERM.
TEST(Upgrade, TheFirstTakesNoRequestOfAnIdleConnectionThatSigkillMayFindUnanswered) {
  UpgradeSetup setup;
  auto first = setup.start();
  std::vector<Peer> idle;
  for (int i = 0; i < 20; ++i) {
    idle.push_back(first->client());
    idle.back().send(command({"PING"}));
    EXPECT_EQ(idle.back().reply(), "+PONG");
  }
  auto second = setup.start();
  first->log_until("a successor process has connected");
  first->terminate();
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  unsigned n = 0;
  for (auto& client : idle) client.send(query(++n));
  EXPECT_FALSE(setup.host.waiting(200)) << "the first process has taken a request";
  idle.clear();
  EXPECT_EQ(first->exit_code(), 0);
}

// Guards against a request that is turned back although it had arrived before its idle connection ended.
TEST(Upgrade, RequestsThatArriveOnIdleConnectionsBeforeTheirEndAreServed) {
  UpgradeSetup setup;
  auto first = setup.start();
  std::vector<Peer> idle;
  for (int i = 0; i < 20; ++i) {
    idle.push_back(first->client());
    idle.back().send(command({"PING"}));
    EXPECT_EQ(idle.back().reply(), "+PONG");
  }
  auto second = setup.start();
  first->log_until("a successor process has connected");
  first->terminate();
  first->log_until("shutdown begins");
  {
    const Stopped stopped(*first);  // their end is due when it goes on, and they have unread commands
    for (auto& client : idle) client.send(command({"PING"}));
    stopped.outlast(std::chrono::milliseconds(600));
  }
  for (auto& client : idle) {
    EXPECT_EQ(client.reply(), "+PONG");
    EXPECT_TRUE(client.closes_in_order());
  }
  idle.clear();
  EXPECT_EQ(first->exit_code(), 0);
}

// Guards against connections that wait in the accept queue, which nobody serves, until the first process
// ends.
TEST(Upgrade, ASecondThatStartsWhileTheFirstStopsServesAtOnce) {
  UpgradeSetup setup;
  auto first = setup.start();
  auto client = first->client();
  client.send(query(1));
  auto upstream = setup.host.accept();
  upstream.command();
  first->terminate();
  first->log_until("shutdown begins");
  auto second = setup.start();
  std::this_thread::sleep_for(std::chrono::milliseconds(700));  // the first has closed its listener by then
  auto late = second->client();
  late.send(command({"PING"}));
  EXPECT_EQ(late.reply(), "+PONG");
  EXPECT_TRUE(client.receives_nothing(0)) << "the first process has ended its request already";
  upstream.send(served("one"));
  EXPECT_EQ(client.reply(), "one");
  EXPECT_EQ(first->exit_code(), 0);
}

// Guards against a third process that finds no predecessor, as the first has removed the second's socket
// file.
TEST(Upgrade, TheSocketFileOfASecondThatStartsAfterTheListenerClosedStays) {
  UpgradeSetup setup;
  auto first = setup.start();
  auto client = first->client();
  client.send(query(1));
  auto upstream = setup.host.accept();
  upstream.command();
  first->terminate();
  first->log_until("the listener for clients is closed");
  auto second = setup.start();
  upstream.send(served("one"));
  EXPECT_EQ(client.reply(), "one");
  EXPECT_EQ(first->exit_code(), 0);
  ASSERT_FALSE(std::filesystem::is_empty(setup.directory.path));
  auto third = setup.start();
  second->log_until("a successor process has connected");
}

// The second process has an older host list in its configuration, and discovery sends it nothing.
TEST(Upgrade, TheSecondKeepsDrainsReportedToTheFirst) {
  for (const std::string state : {"leaving", "left"}) {
    boost::asio::io_context io;
    HostEmulator one(io, Behaviour{.mean_ms = 1}, 1), two(io, Behaviour{.mean_ms = 1}, 2);
    std::thread hosts([&io] { io.run_for(std::chrono::seconds(60)); });
    UpgradeSetup setup;
    setup.conf =
        config(list(7, true, {target("s-1", one.port()), target("s-2", two.port())}), setup.discovery.port());
    auto first = setup.start();
    auto watch = setup.discovery.accept();
    answer_watch_request(watch);
    chunk(watch, list(8, false, {target("s-1", one.port(), state)}) + "\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    auto second = setup.start();
    first->log_until("a successor process has connected");
    first->terminate();
    second->log_until("taken over");
    const auto before = one.received();
    auto client = second->client();
    for (unsigned n = 1; n <= 20; ++n) {
      client.send(query(n));
      EXPECT_NE(client.reply().front(), '-') << n;
    }
    EXPECT_EQ(one.received(), before) << "sent to a host that was reported to the first as " << state;
    io.stop();
    hosts.join();
  }
}

TEST(Upgrade, TheSecondIsTerminatedFirst) {
  UpgradeSetup setup;
  auto first = setup.start();
  auto second = setup.start();
  first->log_until("a successor process has connected");
  second->terminate();
  EXPECT_EQ(second->exit_code(), 0);
  first->log_until("exited before the hand-over");
  EXPECT_EQ(ping(*first), "+PONG");
}

TEST(Upgrade, AThirdProcessIsRejected) {
  UpgradeSetup setup;
  auto first = setup.start();
  auto second = setup.start();
  first->log_until("a successor process has connected");
  auto conf = setup.conf;  // the address is in use, and no process passes its listening socket on
  EXPECT_EQ(ping(*first), "+PONG");
  const int port = first->port();
  conf["listen"] = "127.0.0.1:" + std::to_string(port);
  EXPECT_THROW(Program(conf, {"EDGE_LISTEN=127.0.0.1:" + std::to_string(port)}), PeerError);
  EXPECT_EQ(ping(*first), "+PONG");
}

TEST(HandoverCodec, IsRenumberedForTheReceiver) {
  const std::vector<std::string> classes{"a", "b"}, plans{"p", "q"};
  const std::vector<std::string> receiver_classes{"c", "b"}, receiver_plans{"q"};
  HandoverSnapshot state{1500, {}};
  state.customers.push_back({(1ULL << 33) - 1, 1, 2, 3.5, -4, 5, {6, 7}, 8, 9});
  state.customers.push_back({7, 0, 1, 1, 1, 1, {1, 1}, 1, 1});
  const std::vector<PlanSettings> settings(2);
  const auto text = ops::encode_handover(state, {classes, plans}, settings);
  EXPECT_EQ(text.find('\n'), std::string::npos);
  const auto decoded = ops::decode_handover(text, {receiver_classes, receiver_plans});
  EXPECT_EQ(decoded.age_ms, 1500);
  ASSERT_EQ(decoded.customers.size(), 1u);  // the plan of the other customer is unknown to the receiver
  EXPECT_EQ(decoded.customers[0].id, (1ULL << 33) - 1);
  EXPECT_EQ(decoded.customers[0].plan_index, 0u);
  EXPECT_EQ(decoded.customers[0].undivided_quota_level, -4);
  EXPECT_EQ(decoded.customers[0].class_levels, (std::vector<double>{3.5, 7}));
}

TEST(HandoverCodec, RejectsInvalidText) {
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

TEST(HandoverCodec, AboveTheLimitCustomersWithACeilingGoFirst) {
  const std::vector<std::string> names{"soft", "hard"}, classes{"a"};
  std::vector<PlanSettings> plans(2);
  plans[1].ceiling_rate = 1;
  HandoverSnapshot state;
  state.age_ms = 1e6;
  for (std::size_t i = 0; i < ops::kMaxHandoverCustomers + 10; ++i)
    state.customers.push_back({.id = i, .class_levels = {1}});
  state.customers.back().plan_index = 1;
  const auto decoded =
      ops::decode_handover(ops::encode_handover(state, {classes, names}, plans), {classes, names});
  EXPECT_EQ(decoded.customers.size(), ops::kMaxHandoverCustomers);
  EXPECT_EQ(decoded.customers.front().plan_index, 1u);
  EXPECT_EQ(decoded.age_ms, 0);  // so that omitted customers do not get a full ceiling
}

}  // namespace
}  // namespace cometfold::net::testing
