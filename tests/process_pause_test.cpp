// A gateway process that is paused. When it continues, all events of its clients, its hosts and the kernel
// are pending at once, and the kernel chooses the order in which they are reported.
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

// The longest pause that the requirements allow for. A client that disconnects when the pause begins has been
// disconnected for more than 0.1 s when it ends, after which no attempt may start for that client.
constexpr auto kPause = 150ms;

// Pauses the process. The destructor waits for kPause before it continues the process.
class ProcessPause {
 public:
  explicit ProcessPause(const Program& program) : stopped_(program) {}
  ~ProcessPause() { std::this_thread::sleep_for(kPause); }

 private:
  Stopped stopped_;
};

std::string host_list(const std::vector<std::string>& targets) { return list(7, true, targets); }

// Whether a command arrives on `connection` (null: there is none yet) or on a new connection to `host`.
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
  Listener first_host;
  Listener second_host;
  Listener discovery;
  Program program(config(host_list({target("s-1", first_host.port()), target("s-2", second_host.port())}),
                         discovery.port()));
  auto client = program.client();
  client.send(query(1) + query(2));  // the second goes to the host with fewer requests in flight
  Peer first_connection = first_host.accept();
  Peer second_connection = second_host.accept();
  for (Peer* connection : {&first_connection, &second_connection}) {
    connection->command();
    connection->send(served("v"));
  }
  client.reply();
  client.reply();
  wait_for_connection_rest();
  client.send(query(3));
  while (first_connection.receives_nothing(1) && second_connection.receives_nothing(1)) {
  }
  const bool sent_to_first = !first_connection.receives_nothing(0);
  (sent_to_first ? first_connection : second_connection).command();
  {
    const ProcessPause pause(program);
    (sent_to_first ? first_connection : second_connection).reset();  // the gateway is notified of this first
    std::this_thread::sleep_for(20ms);
    client.close();
  }
  EXPECT_FALSE(receives_command(sent_to_first ? second_host : first_host,
                                sent_to_first ? &second_connection : &first_connection))
      << "a retry began 0.15 s after its client disconnected";
}

TEST(ProcessPause, WritesNothingToANewConnectionForAClientThatDisconnectedMeanwhile) {
  Listener host(0);
  Listener discovery;
  // Fills the accept queue. The kernel retries a connect that finds the queue full one second later.
  std::vector<Fd> queue_fillers;
  for (int i = 0; i < 4; ++i) {
    queue_fillers.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const auto address = loopback(host.port());
    ::connect(queue_fillers.back().get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }
  Program program(config(host_list({target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  client.send(query(1));
  std::this_thread::sleep_for(200ms);
  queue_fillers.clear();
  while (host.waiting(50)) host.accept();
  auto pause = std::make_unique<ProcessPause>(program);
  Peer connection = host.accept();  // established; the gateway is notified of this first
  std::this_thread::sleep_for(20ms);
  client.close();
  pause.reset();
  EXPECT_TRUE(connection.receives_nothing(500) || !connection.receive())
      << "an attempt began 0.15 s after its client disconnected";
}

// A client sends more requests than may be open on one connection, and disconnects. Its end of stream is
// queued behind the unread requests, so a gateway that has stopped reading does not notice it.
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
  client.shutdown_send();  // not close(), which would send a reset because replies are unread
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
