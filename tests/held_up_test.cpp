// A gateway process that is held up: what its clients, hosts and the kernel did meanwhile is found all at
// once, in an order of the kernel's choice.
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

// The longest that the users' terms hold up a process for; a client that left at its beginning left more than
// 0.1 s ago.
constexpr auto kHeldUp = 150ms;

// Held up for just so long.
class HeldUp {
 public:
  explicit HeldUp(const Program& program) : stopped_(program) {}
  ~HeldUp() { std::this_thread::sleep_for(kHeldUp); }

 private:
  Stopped stopped_;
};

std::string known(const std::vector<std::string>& targets) { return list(7, true, targets); }

// Whether a command comes on this connection, or on a new one.
bool is_sent(Listener& host, Peer* connection) {
  if (connection && !connection->quiet(500)) return connection->more();
  if (!host.waiting(connection ? 0 : 500)) return false;
  Peer fresh = host.accept();
  return !fresh.quiet(500) && fresh.more();
}

TEST(HeldUp, ARequestWhoseClientHasLeftMeanwhileIsNotSent) {
  Listener host, discovery;
  Program program(config(known({target("s-1", host.port())}), discovery.port()));
  auto first = program.client();
  first.send(query(1));
  auto at = host.accept();
  at.command();
  at.send(served("v"));
  EXPECT_EQ(first.reply(), "v");
  let_rest();
  {
    const HeldUp held_up(program);
    first.send(query(2) + query(3));
    first.close();
  }
  EXPECT_FALSE(is_sent(host, &at)) << "an attempt began 0.15 s after its client left";
}

TEST(HeldUp, ARequestWhoseClientHasLeftMeanwhileIsNotSentAgain) {
  Listener one, two, discovery;
  Program program(config(known({target("s-1", one.port()), target("s-2", two.port())}), discovery.port()));
  auto client = program.client();
  client.send(query(1) + query(2));  // the second goes to the host that has less to do
  Peer at_one = one.accept(), at_two = two.accept();
  for (Peer* at : {&at_one, &at_two}) {
    at->command();
    at->send(served("v"));
  }
  client.reply();
  client.reply();
  let_rest();
  client.send(query(3));
  while (at_one.quiet(1) && at_two.quiet(1)) {
  }
  const bool to_one = !at_one.quiet(0);
  (to_one ? at_one : at_two).command();
  {
    const HeldUp held_up(program);
    (to_one ? at_one : at_two).reset();  // the gateway hears of this first
    std::this_thread::sleep_for(20ms);
    client.close();
  }
  EXPECT_FALSE(is_sent(to_one ? two : one, to_one ? &at_two : &at_one))
      << "a repeat began 0.15 s after its client left";
}

TEST(HeldUp, ARequestWhoseClientHasLeftMeanwhileIsNotSentOnAConnectionThatComesUp) {
  Listener host(0), discovery;
  std::vector<Fd> queue;  // a connect that finds the queue full is tried again by the system a second later
  for (int i = 0; i < 4; ++i) {
    queue.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const auto at = loopback(host.port());
    ::connect(queue.back().get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  Program program(config(known({target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  client.send(query(1));
  std::this_thread::sleep_for(200ms);
  queue.clear();
  while (host.waiting(50)) host.accept();
  std::unique_ptr<HeldUp> held_up;
  held_up = std::make_unique<HeldUp>(program);
  Peer at = host.accept();  // the connection is up, which the gateway hears first
  std::this_thread::sleep_for(20ms);
  client.close();
  held_up.reset();
  EXPECT_TRUE(at.quiet(500) || !at.more()) << "an attempt began 0.15 s after its client left";
}

// A client that has sent more than may be open at once, and has gone. Its end stands behind all that it sent:
// whoever does not read on is not told of it by the system either.
TEST(HeldBack, AClientThatLeavesBehindMuchThatIsUnreadIsNotServedOn) {
  constexpr unsigned kOpen = 64, kMore = 80;
  Listener host, discovery;
  Program program(config(known({target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  std::string text;
  for (unsigned n = 1; n <= kOpen + kMore; ++n) text += submit("hold", n, std::string(4000, 'x'));
  std::thread sender([&] { client.send(text); });
  std::vector<Peer> asked;
  while (host.waiting(500)) asked.push_back(host.accept());
  sender.join();
  client.shut_send();  // no reset, though refusals lie unread here
  std::this_thread::sleep_for(kHeldUp);
  for (auto& at : asked) {
    if (at.quiet(0)) continue;
    try {
      at.command();
      at.send(served("v"));
    } catch (const Hung&) {  // called off
    }
  }
  EXPECT_FALSE(host.waiting(500)) << "attempts go on for a client that has left";
}

}  // namespace
}  // namespace cometfold::net::testing
