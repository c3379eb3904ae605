// Connections to hosts that come up late, behind a listener whose queue is full for a while: what may have
// been sent when it was decided on may not be sent any more.
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "net_support.h"

namespace cometfold::net::testing {
namespace {

using namespace std::chrono_literals;

std::string known(const std::vector<std::string>& targets) { return list(7, true, targets); }

// A host that takes no connection until its queue is emptied; connects made before come up a second later.
class LateHost {
 public:
  LateHost() : listener_(0) {
    for (int i = 0; i < 4; ++i) {
      waiting_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      const auto at = loopback(listener_.port());
      ::connect(waiting_.back().get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
    }
  }
  int port() const { return listener_.port(); }
  void open() {
    waiting_.clear();
    while (listener_.waiting(50)) listener_.accept();  // those that filled the queue
  }
  // The gateway's connection, if it comes up and says something within `ms`.
  bool is_asked(int ms) {
    if (!listener_.waiting(ms)) return false;
    at_ = std::make_unique<Peer>(listener_.accept());
    return !at_->quiet(500) && at_->more();  // and not just its end
  }
  Peer& connection() { return *at_; }

 private:
  Listener listener_;
  std::vector<Fd> waiting_;
  std::unique_ptr<Peer> at_;
};

double told(const std::vector<std::string>& command) {
  const auto at = command.at(3).find("d=");
  return std::stod(command.at(3).substr(at + 2));
}

// The host is told what the client has left when the request goes out, not when it was decided on.
TEST(LateConnections, AHostIsToldNoMoreTimeThanTheClientHasLeft) {
  LateHost host;
  Listener discovery;
  Program program(config(known({target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  const auto began = std::chrono::steady_clock::now();
  client.send(query(1, "4000"));
  std::this_thread::sleep_for(300ms);
  host.open();
  ASSERT_TRUE(host.is_asked(5000));
  const double spent =
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
  ASSERT_GT(spent, 600);                                                   // it did come up late
  EXPECT_LE(told(host.connection().command()), 4000 - spent + 500 + 150);  // `is_asked` waits up to 500 ms
}

// A key is remembered for a time only. A repeat that waited longer for its connection would be a second
// effect.
TEST(LateConnections, ARepeatIsNotSentWhenItsKeyIsForgotten) {
  Listener host, discovery;
  LateHost late;
  auto conf = config(known({target("s-1", host.port())}), discovery.port());
  auto& hold = conf["settings"].as_object()["lanes"].as_array().at(1).as_object();
  hold["key_ttl_ms"] = 600.0;
  Program program(conf);
  auto watch = discovery.accept();
  watch_head(watch);
  auto client = program.client();
  client.send(submit("hold", 1));
  auto at = host.accept();
  at.command();
  chunk(watch, list(8, false, {target("s-2", late.port()), target("s-1", host.port(), "leaving")}) + "\n");
  std::this_thread::sleep_for(100ms);
  at.reset();  // it may have run; the repeat goes to the other host, whose connection is not up yet
  std::this_thread::sleep_for(200ms);
  late.open();
  EXPECT_FALSE(late.is_asked(4000)) << "a repeat began after the key's lifetime";
  EXPECT_NE(client.reply(), "");
}

}  // namespace
}  // namespace cometfold::net::testing
