// Connections to hosts that are established late, because the listener's accept queue is full for a while. An
// attempt that was allowed when it was decided on may no longer be allowed by then.
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "net_support.h"

namespace cometfold::net::testing {
namespace {

using namespace std::chrono_literals;

std::string snapshot(const std::vector<std::string>& targets) { return list(7, true, targets); }

// A host whose accept queue is full until `open` is called. Connects made before succeed about a second
// later.
class DelayedHost {
 public:
  DelayedHost() : listener_(0) {
    for (int i = 0; i < 4; ++i) {
      queue_fillers_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      const auto at = loopback(listener_.port());
      ::connect(queue_fillers_.back().get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
    }
  }
  int port() const { return listener_.port(); }
  void open() {
    queue_fillers_.clear();
    while (listener_.waiting(50)) listener_.accept();  // the connections that filled the queue
  }
  // Accepts the gateway's connection within `ms`. Returns true if it carries data and is not just closed.
  bool receives_request(int ms) {
    if (!listener_.waiting(ms)) return false;
    connection_ = std::make_unique<Peer>(listener_.accept());
    return !connection_->receives_nothing(500) && connection_->receive();
  }
  Peer& connection() { return *connection_; }

 private:
  Listener listener_;
  std::vector<Fd> queue_fillers_;
  std::unique_ptr<Peer> connection_;
};

double timeout_of(const std::vector<std::string>& command) {
  const auto at = command.at(3).find("d=");
  return std::stod(command.at(3).substr(at + 2));
}

// The timeout sent to the host must be computed when the request is written, not when the attempt was decided
// on.
TEST(DelayedConnections, AHostGetsNoMoreTimeThanTheClientHasLeft) {
  DelayedHost host;
  Listener discovery;
  Program program(config(snapshot({target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  const auto began = std::chrono::steady_clock::now();
  client.send(query(1, "4000"));
  std::this_thread::sleep_for(300ms);
  host.open();
  ASSERT_TRUE(host.receives_request(5000));
  const double spent =
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
  ASSERT_GT(spent, 600);  // the connection was established late
  EXPECT_LE(timeout_of(host.connection().command()),
            4000 - spent + 500 + 150);  // `receives_request` waits up to 500 ms
}

// Guards against a duplicate effect: hosts remember an idempotency key for a limited time, and a retry may
// wait longer than that for its connection.
TEST(DelayedConnections, ARetryIsNotSentOnceItsIdempotencyKeyHasExpired) {
  Listener host, discovery;
  DelayedHost delayed;
  auto conf = config(snapshot({target("s-1", host.port())}), discovery.port());
  auto& keyed_class = conf["settings"].as_object()["lanes"].as_array().at(1).as_object();
  keyed_class["key_ttl_ms"] = 600.0;
  Program program(conf);
  auto watch = discovery.accept();
  answer_watch_request(watch);
  auto client = program.client();
  client.send(submit("hold", 1));
  auto upstream = host.accept();
  upstream.command();
  chunk(watch, list(8, false, {target("s-2", delayed.port()), target("s-1", host.port(), "leaving")}) + "\n");
  std::this_thread::sleep_for(100ms);
  // The request may have been executed. The retry goes to the other host, which is not connected yet.
  upstream.reset();
  std::this_thread::sleep_for(200ms);
  delayed.open();
  EXPECT_FALSE(delayed.receives_request(4000)) << "a retry was sent after the idempotency key expired";
  EXPECT_NE(client.reply(), "");
}

}  // namespace
}  // namespace cometfold::net::testing
