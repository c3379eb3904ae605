// Races: a request, a reply, a close, a list or a signal that arrives between two steps of the gateway. Each
// is forced, by a peer that reacts to a byte or by a stopped process whose timers are overdue. The list of
// all of them is in docs/design/0009-rare-moments.md.
#include <sys/ioctl.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "net/backoff.h"
#include "net/tcp_stream.h"
#include "net_support.h"

namespace cometfold::net::testing {
namespace {

using Steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

std::string known(const std::vector<std::string>& targets) { return list(7, true, targets); }

// Pushed lists: discovery is an agent on this machine.
boost::json::object pushed(const std::string& list, const Listener& agent) {
  auto conf = config(list, agent.port());
  conf["settings"].as_object()["discovery"] = "automatic";
  return conf;
}

boost::json::object operated(boost::json::object conf) {
  conf["admin"] = "127.0.0.1:0";
  return conf;
}

// The status line of an operator's call.
std::string ask(const Program& program, const std::string& call) {
  auto peer = Peer::connect(program.admin_port());
  peer.send(call + " HTTP/1.1\r\nHost: x\r\n\r\n");
  return peer.line();
}

// Returns once SIGTERM has been handled.
void stop_begins(Program& program) {
  program.terminate();
  while (ask(program, "GET /_ready").find("503") == std::string::npos) {
  }
}

// Connections that fill a listener's queue: further ones are not accepted.
std::vector<Fd> fill(const Listener& full) {
  std::vector<Fd> all;
  for (int i = 0; i < 4; ++i) {
    all.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const auto at = loopback(full.port());
    ::connect(all.back().get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  return all;
}

// The next request goes to this host, so the drain of the others has been received.
void expect_served_by(Program& program, Listener& host, unsigned n) {
  auto client = program.client();
  client.send(query(n));
  auto at = host.accept();
  EXPECT_EQ(at.command().at(2), id(n));
  at.send(served("ok"));
  EXPECT_EQ(client.reply(), "ok");
}

// ---- watches ----

// Changes must be received within 6 s of the watch's last line, even if the next call is not answered.
TEST(DiscoveryWatch, TwoSilentCallsLeaveTimeToReceiveADrain) {
  Listener host, next, agent;
  Program program(pushed(known({target("s-1", host.port())}), agent));
  auto watch = agent.accept();
  watch_head(watch);
  chunk(watch, list(8, false, {target("s-2", next.port())}) + "\n");
  const auto last_word = Steady::now();
  auto unanswered = agent.accept();
  unanswered.line();
  auto again = agent.accept();
  EXPECT_NE(watch_head(again).find("since=8 "), std::string::npos);
  chunk(again, list(9, false, {target("s-1", host.port(), "leaving")}) + "\n\n");
  EXPECT_LT(Steady::now() - last_word, 6s);
  chunk(again, "{\n\n");  // ends the watch, when all before it has been read
  program.log_until("malformed line");
  expect_served_by(program, next, 1);
}

// After SIGHUP changes must be received within 4 s, even if the first call of the new address is not
// answered.
TEST(DiscoveryWatch, ASilentNewAddressIsCalledAgainInTime) {
  Listener host, old_agent, new_agent;
  const auto conf = pushed(known({target("s-1", host.port())}), old_agent);
  Program program(conf);
  auto before = old_agent.accept();
  watch_head(before);
  auto moved = conf;
  moved["discovery"] = "127.0.0.1:" + std::to_string(new_agent.port());
  const auto told = Steady::now();
  program.reload(boost::json::serialize(moved));
  auto unanswered = new_agent.accept();
  unanswered.line();
  auto fetch = new_agent.accept();
  EXPECT_LT(Steady::now() - told, 4s);
  whole_list(fetch, known({target("s-1", host.port())}));
  auto after = new_agent.accept();
  watch_head(after);
}

// Nobody else calls an agent on this machine, so retries need no long backoff.
TEST(DiscoveryWatch, ALocalAgentThatResetsCallsIsCalledAgainAtOnce) {
  Listener host, agent;
  Program program(pushed(known({target("s-1", host.port())}), agent));
  const auto first = Steady::now();
  for (int i = 0; i < 6; ++i) {
    auto call = agent.accept();
    call.line();
    call.reset();
  }
  auto watch = agent.accept();
  watch_head(watch);
  EXPECT_LT(Steady::now() - first, 6s);
  Backoff backoff = Backoff::for_local_agent();
  for (const auto result :
       {WatchResult::kFailed, WatchResult::kRejected, WatchResult::kRejected, WatchResult::kFailed}) {
    EXPECT_LE(backoff.next_delay(result), 100ms);
  }
}

// The address changes twice. As the second one lags behind, its snapshot is to be fetched again some time
// after the first change: not while its watch is the only one and must not reconnect, as the third is still
// silent.
TEST(DiscoveryWatch, ARefetchDuringAnAddressChangeDoesNotCloseTheOnlyWatch) {
  Listener host, first, second, third;
  const auto conf = pushed(known({target("s-1", host.port()), target("s-2", 1)}), first);
  Program program(conf);
  auto one = first.accept();
  watch_head(one);
  chunk(one, list(8, false, {target("s-2", 1, "leaving")}) + "\n");
  auto moved = conf;
  moved["discovery"] = "127.0.0.1:" + std::to_string(second.port());
  program.reload(boost::json::serialize(moved));
  auto fetch = second.accept();
  chunk(one, "\n");
  whole_list(fetch, list(3, true, {target("s-1", host.port()), target("s-2", 1)}));  // lags behind
  auto two = second.accept();
  watch_head(two);
  const auto heard = Steady::now();
  moved["discovery"] = "127.0.0.1:" + std::to_string(third.port());
  program.reload(boost::json::serialize(moved));
  auto call = third.accept();
  std::vector<Peer> silent;
  while (Steady::now() - heard < 11s) {
    chunk(two, "\n");
    if (third.waiting(500)) silent.push_back(third.accept());
  }
  EXPECT_TRUE(two.quiet(0));  // not closed, and still read
}

TEST(DiscoveryWatch, ListsMayBeSpreadOverSeveralLines) {
  Listener host, next, old_agent, new_agent;
  const auto conf = pushed(known({target("s-1", host.port())}), old_agent);
  Program program(conf);
  auto watch = old_agent.accept();
  watch_head(watch);
  const auto spread = [](std::string text, const std::string& indent) {
    std::string out;
    for (const char c : text) {
      out += c;
      if (c == '{' || c == '[' || c == ',') out += "\n" + indent;
    }
    return out;
  };
  for (const std::string indent : {"  ", "\t", ""}) {  // the last is no indent at all
    const auto text =
        spread(list(8, false, {target("s-1", host.port(), "leaving"), target("s-2", next.port())}), indent);
    chunk(watch, text.substr(0, 40));
    chunk(watch, text.substr(40) + "\n");
    chunk(watch, "\n");
  }
  auto moved = conf;
  moved["discovery"] = "127.0.0.1:" + std::to_string(new_agent.port());
  program.reload(boost::json::serialize(moved));
  auto fetch = new_agent.accept();
  whole_list(fetch, spread(list(9, true, {target("s-1", host.port(), "leaving"), target("s-2", next.port())}),
                           "  "));
  auto after = new_agent.accept();
  EXPECT_NE(watch_head(after).find("since=9 "), std::string::npos);
  EXPECT_TRUE(watch.ends());
  expect_served_by(program, next, 1);
}

TEST(DiscoveryWatch, ATruncatedListDoesNotHideThoseAfterIt) {
  Listener host, agent;
  Program program(pushed(known({target("s-1", host.port())}), agent));
  for (const std::string behind : {"\n", "  \n", "{\"rev\":9,\"all\":false,\"targets\":[]}\n"}) {
    auto watch = agent.accept();
    EXPECT_NE(watch_head(watch).find("since=7 "), std::string::npos);
    chunk(watch, "{\"rev\":8,\"all\":false,\"targets\":[\n");
    chunk(watch, behind);
    program.log_until("malformed line: a list is truncated");
  }
}

// ---- clients that have disconnected ----

// More commands than are read at once, so that reads are paused.
std::string more_than_is_read_at_once(unsigned first) {
  std::string text = query(first, "59000");
  for (int i = 0; i < 100; ++i) text += command({"PING", std::to_string(i)});
  return text + query(first + 1) + query(first + 2);
}

TEST(RareClients, ADisconnectDuringAReadPauseCancelsTheAttempt) {
  Listener host, discovery;
  Program program(config(known({target("s-1", host.port())}), discovery.port()));
  for (const bool by_reset : {false, true}) {
    auto client = program.client();
    client.send(more_than_is_read_at_once(1));
    auto at = host.accept();
    EXPECT_EQ(at.command().at(2), id(1));
    by_reset ? client.reset() : client.close();
    EXPECT_TRUE(at.ends());
    expect_served_by(program, host, 5);  // and not the commands behind
  }
}

TEST(RareClients, CommandsBehindAFullPipelineAreNotForwardedAfterADisconnect) {
  Listener host, discovery;
  auto conf = config(known({target("s-1", host.port())}), discovery.port());
  conf["settings"].as_object()["ceilings"].as_object()["cancel"] = false;
  Program program(conf);
  auto client = program.client();
  client.send(more_than_is_read_at_once(1));
  auto at = host.accept();
  EXPECT_EQ(at.command().at(2), id(1));
  auto other = program.client();
  other.send(query(9));
  auto ready = host.accept();  // a connection on which the commands behind could be sent at once
  ready.command();
  ready.send(served("nine"));
  EXPECT_EQ(other.reply(), "nine");
  let_rest();
  client.close();
  at.send(served("one"));  // the commands behind can be read now
  let_rest();
  other.send(query(5));
  EXPECT_EQ(at.command().at(2), id(5));
  at.send(served("five"));
  EXPECT_EQ(other.reply(), "five");
  EXPECT_TRUE(ready.quiet(0));
  EXPECT_FALSE(host.waiting(0));
}

TEST(RareClients, AnAttemptThatWaitsForAConnectionIsNotWrittenAfterADisconnect) {
  Listener slow(0), discovery;
  auto filled = fill(slow);
  auto conf = config(known({target("s-1", slow.port())}), discovery.port());
  conf["settings"].as_object()["ceilings"].as_object()["cancel"] = false;
  Program program(conf);
  auto client = program.client();
  client.send(query(1) + command({"PING"}));
  auto other = program.client();
  other.send(command({"PING"}));
  EXPECT_EQ(other.reply(), "+PONG");  // the request has been accepted by now
  client.close();
  other.send(query(2));
  filled.clear();
  for (;;) {  // those that filled the queue, then the connections that come up late
    auto at = slow.accept();
    std::vector<std::string> words;
    try {
      words = at.command();
    } catch (const Hung&) {
      continue;
    }
    EXPECT_EQ(words.at(2), id(2));
    at.send(served("two"));
    break;
  }
  EXPECT_EQ(other.reply(), "two");
}

// ---- connections that close ----

// Bytes leave the socket in the turn that delivers them, so a quiet connection holds none.
TEST(RareClose, ReceivedBytesAreCountedUntilTheyAreDelivered) {
  struct Events : resp::StreamCallbacks {
    void on_connected(Ms, bool) override {}
    void on_read(Ms, std::size_t n, bool) override { bytes += n; }
    void on_writable(Ms, bool) override {}
    void on_posted(Ms) override {}
    std::size_t bytes = 0;
  };
  boost::asio::io_context io(1);
  Clock clock;
  Listener listener;
  auto far = Peer::connect(listener.port());
  boost::asio::ip::tcp::acceptor acceptor(io);
  boost::asio::ip::tcp::socket socket(io);
  acceptor.assign(boost::asio::ip::tcp::v4(), ::dup(listener.fd()));
  acceptor.accept(socket);
  socket.non_blocking(true);
  const auto events = std::make_shared<Events>();
  TcpStream stream(std::move(socket), clock, *events);
  far.send("noise");
  while (stream.unread_bytes() < 5) {
  }
  std::array<char, 16> space{};
  stream.read(space);
  EXPECT_EQ(stream.unread_bytes(), 5u);
  EXPECT_FALSE(stream.is_quiet());
  EXPECT_FALSE(stream.peer_closed());
  far.close();
  while (!stream.peer_closed()) {
  }
  EXPECT_EQ(stream.unread_bytes(), 5u);
  io.run_one();
  EXPECT_EQ(events->bytes, 5u);
  stream.close();
}

// A request that crosses the close after the last reply is never read: the kernel answers it with a reset, so
// that its client may send it elsewhere.
TEST(RareClose, ARequestThatCrossesTheLastReplyIsNeverRead) {
  Listener host, discovery;
  Program program(operated(config(known({target("s-1", host.port())}), discovery.port())));
  ask(program, "POST /_lameduck/on");
  auto client = program.client();
  client.send(query(1));
  auto at = host.accept();
  at.command();
  at.send(served("one"));
  EXPECT_EQ(client.reply(), "one");
  EXPECT_FALSE(client.more());  // its end
  client.send(query(2));
  EXPECT_TRUE(client.is_reset());
  EXPECT_FALSE(host.waiting(0));
}

// ---- at the limit of descriptors ----

// The gateway's own settings, in a file that goes with this.
class OwnFile {
 public:
  explicit OwnFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() / ("rare-" + std::to_string(::getpid()) + ".toml")) {
    std::ofstream(path_) << text;
  }
  ~OwnFile() { std::filesystem::remove(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

boost::json::object crowded(boost::json::object conf) {
  conf["limits"].as_object()["sockets"] = 56;  // four for clients
  return conf;
}

TEST(RareEviction, AConnectionWithARequestIsNotEvicted) {
  Listener host, discovery;
  const OwnFile own("[hosts]\ndescriptors_share = 0.5\n");
  Program program(crowded(config(known({target("s-1", host.port())}), discovery.port())),
                  {"--settings", own.path()}, {});
  std::vector<Peer> clients;
  for (unsigned i = 0; i < 4; ++i) {
    clients.push_back(program.client());
    clients.back().send(command({"PING"}));
    EXPECT_EQ(clients.back().reply(), "+PONG");
    if (i > 0)
      clients.back().send("*1\r\n$4\r\n");  // half a command: a lower priority for eviction than idle ones
  }
  {
    const Stopped stopped(program);
    clients.push_back(program.client());  // accepted first when the process continues
    clients.back().send(command({"PING"}));
    clients[0].send(command({"PING", "first"}));  // the one with the highest priority for eviction
  }
  EXPECT_EQ(clients[0].reply(), "first");
  EXPECT_EQ(clients[4].reply(), "+PONG");
}

// ---- shutdown ----

TEST(RareStop, AConnectionMadeJustBeforeTheListenerClosesIsServed) {
  Listener host, discovery;
  Program program(operated(config(known({target("s-1", host.port())}), discovery.port())));
  stop_begins(program);
  std::vector<Peer> clients;
  {
    const Stopped stopped(program);
    stopped.outlast(550ms);
    clients.push_back(program.client());
    clients.back().send(query(1));
  }
  auto at = host.accept();
  at.command();
  at.send(served("one"));
  EXPECT_EQ(clients[0].reply(), "one");
  EXPECT_TRUE(clients[0].ends());
  EXPECT_EQ(program.exit_code(), 0);
}

TEST(RareStop, ARequestUnderWayWhenTheListenerClosesIsServed) {
  Listener host, discovery;
  Program program(operated(config(known({target("s-1", host.port())}), discovery.port())));
  auto kept = program.client();
  stop_begins(program);
  kept.send(command({"PING"}));
  EXPECT_EQ(kept.reply(), "+PONG");
  std::vector<Peer> clients;
  {
    const Stopped stopped(program);
    stopped.outlast(550ms);
    kept.send(query(1));  // unread when idle connections are closed
  }
  auto at = host.accept();
  at.command();
  at.send(served("one"));
  EXPECT_EQ(kept.reply(), "one");
  EXPECT_TRUE(kept.ends());
  EXPECT_EQ(program.exit_code(), 0);
}

TEST(RareStop, AConnectionQueuedAtTheLimitIsServedWhenAnotherCloses) {
  Listener host, discovery;
  const OwnFile own("[hosts]\ndescriptors_share = 0.5\n");
  Program program(operated(crowded(config(known({target("s-1", host.port())}), discovery.port()))),
                  {"--settings", own.path()}, {});
  std::vector<Peer> clients, attempts;
  for (unsigned n = 1; n <= 4; ++n) {
    clients.push_back(program.client());
    clients.back().send(query(n));
    attempts.push_back(host.accept());
    attempts.back().command();
  }
  stop_begins(program);
  {
    const Stopped stopped(program);
    stopped.outlast(550ms);
    clients.push_back(program.client());
    clients.back().send(command({"PING"}));
  }
  ask(program, "GET /_ready");  // answered in a turn after that of the overdue timer
  attempts[0].send(served("one"));
  EXPECT_EQ(clients[0].reply(), "one");
  EXPECT_TRUE(clients[0].ends());
  EXPECT_EQ(clients[4].reply(), "+PONG");
  for (unsigned n = 2; n <= 4; ++n) attempts[n - 1].send(served("more"));
  EXPECT_EQ(program.exit_code(), 0);
}

// SIGKILL comes after the longest deadline of the current classes, not of withdrawn ones.
TEST(RareStop, AWithdrawnClassDoesNotProlongTheShutdown) {
  Listener host, discovery;
  const auto conf = config(known({target("s-1", host.port())}), discovery.port());
  Program program(conf);
  auto changed = conf;
  auto& classes = changed["settings"].as_object()["lanes"].as_array();
  classes.resize(1);
  classes[0].as_object()["slo_ms"] = 500.0;
  classes[0].as_object()["deadline_ms"] = 1000.0;
  auto client = program.client();
  client.send(submit("pay", 1));
  auto at = host.accept();
  at.command();
  program.reload(boost::json::serialize(changed));
  program.log_until("configuration reloaded");
  const auto told = Steady::now();
  program.terminate();
  EXPECT_EQ(client.reply().substr(0, 4), "-ERR");
  EXPECT_TRUE(client.ends());
  EXPECT_EQ(program.exit_code(), 0);
  EXPECT_LT(Steady::now() - told, 3s);  // it would be 3.45 s with the withdrawn class
}

TEST(RareStop, ASecondSignalAndAReloadChangeNothing) {
  Listener host, discovery;
  const auto conf = operated(config(known({target("s-1", host.port())}), discovery.port()));
  Program program(conf);
  auto client = program.client();
  client.send(query(1));
  auto at = host.accept();
  at.command();
  stop_begins(program);
  auto changed = conf;
  changed["settings"].as_object()["lanes"].as_array().resize(1);
  program.reload(boost::json::serialize(changed));
  program.log_until("configuration reloaded");
  program.terminate();
  at.send(served("one"));
  EXPECT_EQ(client.reply(), "one");
  EXPECT_TRUE(client.ends());
  EXPECT_EQ(program.exit_code(), 0);
}

// ---- attempts ----

// A host restarts at its address while a connection to it is being made: the attempt that waits for it was
// meant for the earlier process, and the new one is cold.
TEST(RareAttempts, AnAttemptThatWaitsForARestartedHostIsRetriedElsewhere) {
  Listener slow(0), next, discovery;
  const auto filled = fill(slow);
  Program program(config(known({target("s-1", slow.port())}), discovery.port()));
  auto agent = discovery.accept();
  watch_head(agent);
  auto client = program.client();
  client.send(submit("pay", 1));
  auto other = program.client();
  other.send(command({"PING"}));
  EXPECT_EQ(other.reply(), "+PONG");
  auto anew = target("s-1", slow.port());
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto boot = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  anew.replace(anew.find("\"boot_ms\":0"), 11, "\"boot_ms\":" + boot);
  chunk(agent, list(8, false, {anew, target("s-2", next.port())}) + "\n");
  auto at = next.accept();
  EXPECT_EQ(at.command().at(2), id(1));
  at.send(served("paid"));
  EXPECT_EQ(client.reply(), "paid");
}

}  // namespace
}  // namespace cometfold::net::testing
