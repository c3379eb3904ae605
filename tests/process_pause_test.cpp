// A gateway process that is paused: it finds everything that its clients, hosts and the kernel did meanwhile
// at once, in an order of the kernel's choice.
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net_support.h"

namespace cometfold::net::testing {
namespace {

using namespace std::chrono_literals;

// The longest pause that the requirements allow for. A client that disconnected at its beginning did so more
// than 0.1 s ago, after which no attempt may start for it.
constexpr auto kPause = 150ms;

// Pauses the process for kPause.
class ProcessPause {
 public:
  explicit ProcessPause(const Program& program) : stopped_(program) {}
  ~ProcessPause() { std::this_thread::sleep_for(kPause); }

 private:
  Stopped stopped_;
};

std::string host_list(const std::vector<std::string>& targets) { return list(7, true, targets); }

// Whether a command arrives on this connection, or on a new one.
bool receives_command(Listener& host, Peer* connection) {
  if (connection && !connection->receives_nothing(500)) return connection->receive();
  if (!host.waiting(connection ? 0 : 500)) return false;
  Peer accepted = host.accept();
  return !accepted.receives_nothing(500) && accepted.receive();
}

TEST(ProcessPause, StartsNoAttemptForAClientThatDisconnectedMeanwhile) {
  Listener host;
  Listener discovery;
  Program program(config(host_list({target("s-1", host.port())}), discovery.port()));
  auto first = program.client();
  first.send(query(1));
  auto connection = host.accept();
  connection.command();
  connection.send(served("v"));
  EXPECT_EQ(first.reply(), "v");
  wait_for_connection_rest();
  {
    const ProcessPause pause(program);
    first.send(query(2) + query(3));
    first.close();
  }
  EXPECT_FALSE(receives_command(host, &connection))
      << "an attempt began 0.15 s after its client disconnected";
}

TEST(ProcessPause, StartsNoRetryForAClientThatDisconnectedMeanwhile) {
  Listener one;
  Listener two;
  Listener discovery;
  Program program(
      config(host_list({target("s-1", one.port()), target("s-2", two.port())}), discovery.port()));
  auto client = program.client();
  client.send(query(1) + query(2));  // the second goes to the host with fewer requests in flight
  Peer at_one = one.accept();
  Peer at_two = two.accept();
  for (Peer* connection : {&at_one, &at_two}) {
    connection->command();
    connection->send(served("v"));
  }
  client.reply();
  client.reply();
  wait_for_connection_rest();
  client.send(query(3));
  while (at_one.receives_nothing(1) && at_two.receives_nothing(1)) {
  }
  const bool to_one = !at_one.receives_nothing(0);
  (to_one ? at_one : at_two).command();
  {
    const ProcessPause pause(program);
    (to_one ? at_one : at_two).reset();  // the gateway sees this first
    std::this_thread::sleep_for(20ms);
    client.close();
  }
  EXPECT_FALSE(receives_command(to_one ? two : one, to_one ? &at_two : &at_one))
      << "a retry began 0.15 s after its client disconnected";
}

TEST(ProcessPause, WritesNothingToANewConnectionForAClientThatDisconnectedMeanwhile) {
  Listener host(0);
  Listener discovery;
  // The system retries a connect that finds the accept queue full a second later.
  std::vector<Fd> queue;
  for (int i = 0; i < 4; ++i) {
    queue.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const auto at = loopback(host.port());
    ::connect(queue.back().get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  Program program(config(host_list({target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  client.send(query(1));
  std::this_thread::sleep_for(200ms);
  queue.clear();
  while (host.waiting(50)) host.accept();
  auto pause = std::make_unique<ProcessPause>(program);
  Peer connection = host.accept();  // the connection is up, which the gateway sees first
  std::this_thread::sleep_for(20ms);
  client.close();
  pause.reset();
  EXPECT_TRUE(connection.receives_nothing(500) || !connection.receive())
      << "an attempt began 0.15 s after its client disconnected";
}

// A client has sent more than may be open at once, and has disconnected. Its end of stream lies behind all
// that it sent: a gateway that does not read on does not see it.
TEST(UnreadRequests, AreDroppedWhenTheClientDisconnectsBehindThem) {
  constexpr unsigned kMaxOpen = 64;
  constexpr unsigned kExcess = 80;
  Listener host;
  Listener discovery;
  Program program(config(host_list({target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  std::string commands;
  for (unsigned n = 1; n <= kMaxOpen + kExcess; ++n) commands += submit("hold", n, std::string(4000, 'x'));
  std::thread sender([&] { client.send(commands); });
  std::vector<Peer> connections;
  while (host.waiting(500)) connections.push_back(host.accept());
  sender.join();
  client.shutdown_send();  // no reset, though rejections lie unread here
  std::this_thread::sleep_for(kPause);
  for (auto& connection : connections) {
    if (connection.receives_nothing(0)) continue;
    try {
      connection.command();
      connection.send(served("v"));
    } catch (const PeerError&) {  // the attempt was cancelled
    }
  }
  EXPECT_FALSE(host.waiting(500)) << "attempts continue for a client that has disconnected";
}

}  // namespace
}  // namespace cometfold::net::testing
