// Hosts that answer twice: no answer may be taken for another request's.
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net_support.h"

namespace cometfold::net::testing {
namespace {

using namespace std::chrono_literals;

// A host on the system's usual settings: without TCP_NODELAY its system keeps a small write back until the
// one before it is acknowledged.
class Host {
 public:
  int port() const { return listener_.port(); }
  // The connection that the next command comes on.
  Peer& asked() {
    for (;;) {
      if (listener_.waiting(0)) connections_.push_back(std::make_unique<Peer>(listener_.accept()));
      std::erase_if(connections_, [](const auto& peer) { return !peer->quiet(0) && !peer->more(); });
      for (const auto& peer : connections_) {
        if (!peer->quiet(0)) return *peer;
      }
      std::this_thread::sleep_for(100us);
    }
  }

 private:
  Listener listener_;
  std::vector<std::unique_ptr<Peer>> connections_;
};

// More than a connection rests after an answer (25 ms), less than a system may wait with an acknowledgement
// (40 ms).
constexpr auto kBetweenRequests = 29ms;
// A system acknowledges at once on a new connection, and late on one that goes to and fro.
constexpr int kExchanges = 5, kConnections = 6;

TEST(SecondAnswers, OneThatTheHostsSystemHeldBackIsNotServed) {
  Host host;
  Listener discovery;
  Program program(config(list(7, true, {target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  unsigned n = 0;
  for (int connection = 0; connection < kConnections; ++connection) {
    for (int exchange = 0; exchange <= kExchanges; ++exchange) {
      const std::string value = "value " + std::to_string(++n);
      client.send(query(n));
      Peer& at = host.asked();
      at.command();
      at.send(served(value));
      if (exchange == kExchanges) at.send(served("the second answer to " + std::to_string(n)));
      ASSERT_EQ(client.reply(), value);
      std::this_thread::sleep_for(kBetweenRequests);
    }
  }
}

}  // namespace
}  // namespace cometfold::net::testing
