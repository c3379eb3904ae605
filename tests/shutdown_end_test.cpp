// The last moments of a process that has been told to end: what arrives then is answered, or left unread
// behind the end of its connection.
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "net_support.h"

namespace cometfold::net::testing {
namespace {

using namespace std::chrono_literals;

constexpr double kLongestDeadlineMs = 200;
constexpr auto kProcessEnd = 800ms;      // after SIGTERM, with that deadline
constexpr auto kLateInShutdown = 100ms;  // after the listener's end, for requests that SIGKILL must not cut
constexpr std::size_t kHalfBytes = 40;   // of a command
constexpr unsigned kCrowd = 200;         // more than the events that are taken from the system at once

boost::json::object short_deadlines(const Listener& host, const Listener& discovery) {
  auto conf = config(list(7, true, {target("s-1", host.port())}), discovery.port());
  conf["limits"].as_object()["sockets"] = 1024;
  conf["admin"] = "127.0.0.1:0";
  for (auto& settings : conf["settings"].as_object()["lanes"].as_array()) {
    settings.as_object()["slo_ms"] = kLongestDeadlineMs / 2;
    settings.as_object()["deadline_ms"] = kLongestDeadlineMs;
  }
  return conf;
}

std::string readiness(const Program& program) {
  auto peer = Peer::connect(program.admin_port());
  peer.send("GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n");
  return peer.line();
}

// Guards against a command whose rest arrives as the process ends: it would be neither answered nor sent
// again.
TEST(ShutdownEnd, AnIncompleteCommandsConnectionEndsBeforeTheProcess) {
  Listener host, discovery;
  Program program(short_deadlines(host, discovery));
  auto client = program.client();
  client.send(query(1).substr(0, kHalfBytes));
  program.terminate();
  EXPECT_TRUE(client.closes_in_order());
  EXPECT_NE(readiness(program).find("503"), std::string::npos);  // it still runs
  client.close();
  EXPECT_EQ(program.exit_code(), 0);
}

// Guards against commands that arrived while the process was held up over its end, and were never read.
TEST(ShutdownEnd, CommandsOfACrowdThatArriveDuringAHoldUpAreAnswered) {
  Listener host, discovery;
  Program program(short_deadlines(host, discovery));
  std::vector<Peer> clients;
  for (unsigned n = 1; n <= kCrowd; ++n) {
    clients.push_back(program.client());
    clients.back().send(query(n).substr(0, kHalfBytes));
  }
  EXPECT_NE(readiness(program).find("200"), std::string::npos);  // the halves have been read
  program.terminate();
  program.log_until("shutdown begins");
  {
    const Stopped stopped(program);
    stopped.outlast(kProcessEnd);
    for (unsigned n = 1; n <= kCrowd; ++n) clients[n - 1].send(query(n).substr(kHalfBytes));
  }
  unsigned lost = 0;
  for (auto& client : clients) {
    try {
      client.line();
    } catch (const PeerError&) {
      ++lost;
    }
  }
  EXPECT_EQ(lost, 0u) << "of " << kCrowd;
  clients.clear();
  EXPECT_EQ(program.exit_code(), 0);
}

// Guards against requests that SIGKILL finds unanswered, as a reload close to SIGTERM shortens the longest
// deadline from which its time counts, and is read after it.
TEST(ShutdownEnd, AReloadThatShortensTheLongestDeadlineBringsTheEndForward) {
  Listener host, discovery;
  auto conf = short_deadlines(host, discovery);
  const auto shortened = conf;
  for (auto& settings : conf["settings"].as_object()["lanes"].as_array()) {
    settings.as_object()["deadline_ms"] = 60'000.0;
  }
  Program program(conf);
  auto client = program.client();
  client.send(query(1));
  auto upstream = host.accept();
  upstream.command();
  const auto terminated_at = std::chrono::steady_clock::now();
  program.terminate();
  program.log_until("shutdown begins");
  program.reload(boost::json::serialize(shortened));
  EXPECT_EQ(client.reply().substr(0, 4), "-ERR");
  EXPECT_LT(std::chrono::steady_clock::now() - terminated_at, 3s);  // 3.45 s with the earlier deadline
  client.close();
  EXPECT_EQ(program.exit_code(), 0);
}

// Guards against a value that the process itself cuts off at its deadline, while its host goes on giving it.
TEST(ShutdownEnd, AValueThatIsPassedOnIsNotCutAtTheDeadline) {
  Listener host, discovery;
  Program program(short_deadlines(host, discovery));
  auto client = program.client();
  client.send(query(1));
  auto upstream = host.accept();
  upstream.command();
  const std::string value(200'000, 'v');
  const auto reply = served(value);
  upstream.send(reply.substr(0, 100'000));
  EXPECT_EQ(client.line(), "$200000");
  program.terminate();
  program.log_until("the shutdown's deadline has passed: 0 requests fail, 1 values are passed on");
  upstream.send(reply.substr(100'000));
  EXPECT_EQ(client.exactly(value.size() + 2), value + "\r\n");
  EXPECT_TRUE(client.closes_in_order());
  client.close();
  EXPECT_EQ(program.exit_code(), 0);
}

// Guards against a reply that the end of the process cuts off, as its client reads it slowly.
TEST(ShutdownEnd, AReplyThatIsReadSlowlyIsNotCutAtTheDeadline) {
  Listener host, discovery;
  Program program(short_deadlines(host, discovery));
  auto client = program.client();
  client.send(query(1));
  auto upstream = host.accept();
  upstream.command();
  const std::string value(std::size_t{4} << 20, 'v');
  const std::jthread sender([&] {
    try {
      upstream.send(served(value));
    } catch (const PeerError&) {
      // the client's side of the test fails
    }
  });
  EXPECT_EQ(client.line(), "$" + std::to_string(value.size()));
  program.terminate();
  program.log_until("the shutdown's deadline has passed");
  std::this_thread::sleep_for(kProcessEnd);
  EXPECT_EQ(client.exactly(value.size() + 2), value + "\r\n");
  EXPECT_TRUE(client.closes_in_order());
  client.close();
  EXPECT_EQ(program.exit_code(), 0);
}

// Guards against a long value that the end of the process cuts off, as its request came late in the shutdown
// on a connection that was still in use: it gets an error instead, and a value that comes in time is served.
TEST(ShutdownEnd, ALateRequestGetsItsValueWholeOrAnError) {
  for (const bool is_fast : {true, false}) {
    Listener host, discovery;
    Program program(config(list(7, true, {target("s-1", host.port())}), discovery.port()));
    auto client = program.client();
    client.send(query(1));
    auto first = host.accept();
    first.command();
    program.terminate();
    program.log_until("the listener for clients is closed");
    std::this_thread::sleep_for(kLateInShutdown);
    client.send(query(2));
    auto second = host.accept();
    second.command();
    const std::string value(400'000, 'v');
    const auto reply = served(value);
    second.send(reply.substr(0, 100'000));
    first.send(served("one"));
    EXPECT_EQ(client.reply(), "one");
    if (is_fast) second.send(reply.substr(100'000));
    const auto received = client.reply();
    if (is_fast) {
      EXPECT_EQ(received, value);
    } else {
      EXPECT_EQ(received.substr(0, 4), "-ERR");
    }
    EXPECT_TRUE(client.closes_in_order());
    client.close();
    EXPECT_EQ(program.exit_code(), 0);
  }
}

// Guards against a process that waits for a value whose client has gone, or whose host has hung, for ever.
TEST(ShutdownEnd, AValueWhoseHostBreaksEndsWithTheProcess) {
  Listener host, discovery;
  Program program(short_deadlines(host, discovery));
  auto client = program.client();
  client.send(query(1));
  auto upstream = host.accept();
  upstream.command();
  upstream.send(served(std::string(200'000, 'v')).substr(0, 100'000));
  EXPECT_EQ(client.line(), "$200000");
  program.terminate();
  program.log_until("the shutdown's deadline has passed");
  upstream.reset();
  EXPECT_TRUE(client.wait_for_close());
  EXPECT_EQ(program.exit_code(), 0);
}

}  // namespace
}  // namespace cometfold::net::testing
