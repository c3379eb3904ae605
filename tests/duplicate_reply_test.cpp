// Hosts that send a second reply to a request: it must not be taken for the reply to another request.
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net_support.h"

namespace cometfold::net::testing {
namespace {

using namespace std::chrono_literals;

// A host without TCP_NODELAY, as by default: the kernel delays a small write until the previous one is
// acknowledged.
class Host {
 public:
  int port() const { return listener_.port(); }
  // Waits for the next command and returns its connection.
  Peer& wait_for_command() {
    for (;;) {
      if (listener_.waiting(0)) connections_.push_back(std::make_unique<Peer>(listener_.accept()));
      std::erase_if(connections_,
                    [](const auto& peer) { return !peer->receives_nothing(0) && !peer->receive(); });
      for (const auto& peer : connections_) {
        if (!peer->receives_nothing(0)) return *peer;
      }
      std::this_thread::sleep_for(100us);
    }
  }

 private:
  Listener listener_;
  std::vector<std::unique_ptr<Peer>> connections_;
};

// Longer than the delay before a connection is reused (25 ms), shorter than that of an acknowledgement (up to
// 40 ms).
constexpr auto kBetweenRequests = 29ms;
// The kernel acknowledges immediately on new connections and delays acknowledgements after several exchanges.
constexpr int kExchanges = 5;
constexpr int kConnections = 6;

TEST(DuplicateReply, IsNotServedIfDelayedByTheHostsSystem) {
  Host host;
  Listener discovery;
  Program program(config(list(7, true, {target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  unsigned request = 0;
  for (int connection = 0; connection < kConnections; ++connection) {
    for (int exchange = 0; exchange <= kExchanges; ++exchange) {
      const std::string value = "value " + std::to_string(++request);
      client.send(query(request));
      Peer& at_host = host.wait_for_command();
      at_host.command();
      at_host.send(served(value));
      if (exchange == kExchanges) at_host.send(served("the second answer to " + std::to_string(request)));
      ASSERT_EQ(client.reply(), value);
      std::this_thread::sleep_for(kBetweenRequests);
    }
  }
}

}  // namespace
}  // namespace cometfold::net::testing
