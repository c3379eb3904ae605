// Races: a request, a reply, a close, a host list or a signal that arrives between two steps of the gateway.
// Each test forces one, with a peer that reacts to a single byte or with a stopped process whose timers are
// overdue. docs/design/0009-rare-moments.md lists them all.
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

std::string snapshot(const std::vector<std::string>& targets) { return list(7, true, targets); }

// Host lists are pushed: discovery is an agent on this machine.
boost::json::object config_with_local_agent(const std::string& list, const Listener& agent) {
  auto conf = config(list, agent.port());
  conf["settings"].as_object()["discovery"] = "automatic";
  return conf;
}

boost::json::object with_admin_port(boost::json::object conf) {
  conf["admin"] = "127.0.0.1:0";
  return conf;
}

// Returns the status line of a request to the admin port.
std::string admin_status_line(const Program& program, const std::string& call) {
  auto peer = Peer::connect(program.admin_port());
  peer.send(call + " HTTP/1.1\r\nHost: x\r\n\r\n");
  return peer.line();
}

// Returns once SIGTERM has been handled.
void begin_shutdown(Program& program) {
  program.terminate();
  while (admin_status_line(program, "GET /_ready").find("503") == std::string::npos) {
  }
}

// Fills the accept queue of a listener, so that further connections are not accepted while these exist.
std::vector<Fd> fill_accept_queue(const Listener& listener) {
  std::vector<Fd> all;
  for (int i = 0; i < 4; ++i) {
    all.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const auto at = loopback(listener.port());
    ::connect(all.back().get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  return all;
}

// Checks that the next request goes to this host, which shows that the other hosts' drain has been received.
void expect_served_by(Program& program, Listener& host, unsigned n) {
  auto client = program.client();
  client.send(query(n));
  auto upstream = host.accept();
  EXPECT_EQ(upstream.command().at(2), id(n));
  upstream.send(served("ok"));
  EXPECT_EQ(client.reply(), "ok");
}

// ---- watches ----

// Changes must be received within 6 s of the last line of a watch, even if the next call is not answered.
TEST(DiscoveryWatch, TwoSilentCallsLeaveTimeToReceiveADrain) {
  Listener host, next, agent;
  Program program(config_with_local_agent(snapshot({target("s-1", host.port())}), agent));
  auto watch = agent.accept();
  answer_watch_request(watch);
  chunk(watch, list(8, false, {target("s-2", next.port())}) + "\n");
  const auto last_line_at = Steady::now();
  auto unanswered = agent.accept();
  unanswered.line();
  auto again = agent.accept();
  EXPECT_NE(answer_watch_request(again).find("since=8 "), std::string::npos);
  chunk(again, list(9, false, {target("s-1", host.port(), "leaving")}) + "\n\n");
  EXPECT_LT(Steady::now() - last_line_at, 6s);
  chunk(again, "{\n\n");  // malformed: ends the watch once everything before it has been read
  program.log_until("malformed line");
  expect_served_by(program, next, 1);
}

// After SIGHUP, changes must be received within 4 s, even if the first call to the new address is not
// answered.
TEST(DiscoveryWatch, ASilentNewAddressIsCalledAgainInTime) {
  Listener host, old_agent, new_agent;
  const auto conf = config_with_local_agent(snapshot({target("s-1", host.port())}), old_agent);
  Program program(conf);
  auto before = old_agent.accept();
  answer_watch_request(before);
  auto moved = conf;
  moved["discovery"] = "127.0.0.1:" + std::to_string(new_agent.port());
  const auto reloaded_at = Steady::now();
  program.reload(boost::json::serialize(moved));
  auto unanswered = new_agent.accept();
  unanswered.line();
  auto fetch = new_agent.accept();
  EXPECT_LT(Steady::now() - reloaded_at, 4s);
  answer_list_request(fetch, snapshot({target("s-1", host.port())}));
  auto after = new_agent.accept();
  answer_watch_request(after);
}

// No other process calls an agent on this machine, so retries need no long backoff.
TEST(DiscoveryWatch, ALocalAgentThatResetsCallsIsCalledAgainAtOnce) {
  Listener host, agent;
  Program program(config_with_local_agent(snapshot({target("s-1", host.port())}), agent));
  const auto first = Steady::now();
  for (int i = 0; i < 6; ++i) {
    auto call = agent.accept();
    call.line();
    call.reset();
  }
  auto watch = agent.accept();
  answer_watch_request(watch);
  EXPECT_LT(Steady::now() - first, 6s);
  Backoff backoff = Backoff::for_local_agent();
  for (const auto result :
       {WatchResult::kFailed, WatchResult::kRejected, WatchResult::kRejected, WatchResult::kFailed}) {
    EXPECT_LE(backoff.next_delay(result), 100ms);
  }
}

// The address of discovery changes twice. The second server lags behind, so its snapshot is to be fetched
// again some time after the first change. That must not close its watch while the third server is still
// silent, as it is the only watch.
TEST(DiscoveryWatch, ARefetchDuringAnAddressChangeDoesNotCloseTheOnlyWatch) {
  Listener host, first, second, third;
  const auto conf = config_with_local_agent(snapshot({target("s-1", host.port()), target("s-2", 1)}), first);
  Program program(conf);
  auto one = first.accept();
  answer_watch_request(one);
  chunk(one, list(8, false, {target("s-2", 1, "leaving")}) + "\n");
  auto moved = conf;
  moved["discovery"] = "127.0.0.1:" + std::to_string(second.port());
  program.reload(boost::json::serialize(moved));
  auto fetch = second.accept();
  chunk(one, "\n");
  answer_list_request(fetch, list(3, true, {target("s-1", host.port()), target("s-2", 1)}));  // lags behind
  auto two = second.accept();
  answer_watch_request(two);
  const auto watch_started_at = Steady::now();
  moved["discovery"] = "127.0.0.1:" + std::to_string(third.port());
  program.reload(boost::json::serialize(moved));
  auto call = third.accept();
  std::vector<Peer> silent;
  while (Steady::now() - watch_started_at < 11s) {
    chunk(two, "\n");
    if (third.waiting(500)) silent.push_back(third.accept());
  }
  EXPECT_TRUE(two.receives_nothing(0));  // still open and still read
}

TEST(DiscoveryWatch, ListsMayBeSpreadOverSeveralLines) {
  Listener host, next, old_agent, new_agent;
  const auto conf = config_with_local_agent(snapshot({target("s-1", host.port())}), old_agent);
  Program program(conf);
  auto watch = old_agent.accept();
  answer_watch_request(watch);
  const auto break_lines = [](std::string text, const std::string& indent) {
    std::string out;
    for (const char c : text) {
      out += c;
      if (c == '{' || c == '[' || c == ',') out += "\n" + indent;
    }
    return out;
  };
  for (const std::string indent : {"  ", "\t", ""}) {  // the last one is no indentation
    const auto text = break_lines(
        list(8, false, {target("s-1", host.port(), "leaving"), target("s-2", next.port())}), indent);
    chunk(watch, text.substr(0, 40));
    chunk(watch, text.substr(40) + "\n");
    chunk(watch, "\n");
  }
  auto moved = conf;
  moved["discovery"] = "127.0.0.1:" + std::to_string(new_agent.port());
  program.reload(boost::json::serialize(moved));
  auto fetch = new_agent.accept();
  answer_list_request(
      fetch,
      break_lines(list(9, true, {target("s-1", host.port(), "leaving"), target("s-2", next.port())}), "  "));
  auto after = new_agent.accept();
  EXPECT_NE(answer_watch_request(after).find("since=9 "), std::string::npos);
  EXPECT_TRUE(watch.wait_for_close());
  expect_served_by(program, next, 1);
}

TEST(DiscoveryWatch, ATruncatedListDoesNotHideThoseAfterIt) {
  Listener host, agent;
  Program program(config_with_local_agent(snapshot({target("s-1", host.port())}), agent));
  for (const std::string behind : {"\n", "  \n", "{\"rev\":9,\"all\":false,\"targets\":[]}\n"}) {
    auto watch = agent.accept();
    EXPECT_NE(answer_watch_request(watch).find("since=7 "), std::string::npos);
    chunk(watch, "{\"rev\":8,\"all\":false,\"targets\":[\n");
    chunk(watch, behind);
    program.log_until("malformed line: a list is truncated");
  }
}

// ---- clients that have disconnected ----

// More commands than are read at once, so that the gateway pauses reads.
std::string more_commands_than_read_at_once(unsigned first) {
  std::string text = query(first, "59000");
  for (int i = 0; i < 100; ++i) text += command({"PING", std::to_string(i)});
  return text + query(first + 1) + query(first + 2);
}

TEST(DisconnectRaces, ADisconnectDuringAReadPauseCancelsTheAttempt) {
  Listener host, discovery;
  Program program(config(snapshot({target("s-1", host.port())}), discovery.port()));
  for (const bool by_reset : {false, true}) {
    auto client = program.client();
    client.send(more_commands_than_read_at_once(1));
    auto upstream = host.accept();
    EXPECT_EQ(upstream.command().at(2), id(1));
    by_reset ? client.reset() : client.close();
    EXPECT_TRUE(upstream.wait_for_close());
    expect_served_by(program, host, 5);  // and none of the later commands is forwarded
  }
}

TEST(DisconnectRaces, CommandsBehindAFullPipelineAreNotForwardedAfterADisconnect) {
  Listener host, discovery;
  auto conf = config(snapshot({target("s-1", host.port())}), discovery.port());
  conf["settings"].as_object()["ceilings"].as_object()["cancel"] = false;
  Program program(conf);
  auto client = program.client();
  client.send(more_commands_than_read_at_once(1));
  auto upstream = host.accept();
  EXPECT_EQ(upstream.command().at(2), id(1));
  auto other = program.client();
  other.send(query(9));
  auto ready = host.accept();  // an idle connection on which the later commands could be sent at once
  ready.command();
  ready.send(served("nine"));
  EXPECT_EQ(other.reply(), "nine");
  wait_for_connection_rest();
  client.close();
  upstream.send(served("one"));  // the later commands can be read now
  wait_for_connection_rest();
  other.send(query(5));
  EXPECT_EQ(upstream.command().at(2), id(5));
  upstream.send(served("five"));
  EXPECT_EQ(other.reply(), "five");
  EXPECT_TRUE(ready.receives_nothing(0));
  EXPECT_FALSE(host.waiting(0));
}

TEST(DisconnectRaces, AnAttemptThatWaitsForAConnectionIsNotWrittenAfterADisconnect) {
  Listener slow(0), discovery;
  auto filled = fill_accept_queue(slow);
  auto conf = config(snapshot({target("s-1", slow.port())}), discovery.port());
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
  for (;;) {  // the connections that filled the queue, then those established late
    auto upstream = slow.accept();
    std::vector<std::string> words;
    try {
      words = upstream.command();
    } catch (const PeerError&) {
      continue;
    }
    EXPECT_EQ(words.at(2), id(2));
    upstream.send(served("two"));
    break;
  }
  EXPECT_EQ(other.reply(), "two");
}

// ---- connections that close ----

// Bytes leave the socket only in the event that delivers them, so a connection that is reported as quiet
// holds none.
TEST(CloseRaces, ReceivedBytesAreCountedUntilTheyAreDelivered) {
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
  auto peer = Peer::connect(listener.port());
  boost::asio::ip::tcp::acceptor acceptor(io);
  boost::asio::ip::tcp::socket socket(io);
  acceptor.assign(boost::asio::ip::tcp::v4(), ::dup(listener.fd()));
  acceptor.accept(socket);
  socket.non_blocking(true);
  const auto events = std::make_shared<Events>();
  TcpStream stream(std::move(socket), clock, *events);
  peer.send("noise");
  while (stream.unread_bytes() < 5) {
  }
  std::array<char, 16> space{};
  stream.read(space);
  EXPECT_EQ(stream.unread_bytes(), 5u);
  EXPECT_FALSE(stream.is_quiet());
  EXPECT_FALSE(stream.peer_closed());
  peer.close();
  while (!stream.peer_closed()) {
  }
  EXPECT_EQ(stream.unread_bytes(), 5u);
  io.run_one();
  EXPECT_EQ(events->bytes, 5u);
  stream.close();
}

// A request that crosses the close after the last reply must not be read: the kernel answers it with a reset,
// so that the client can send it elsewhere.
TEST(CloseRaces, ARequestThatCrossesTheLastReplyIsNeverRead) {
  Listener host, discovery;
  Program program(with_admin_port(config(snapshot({target("s-1", host.port())}), discovery.port())));
  admin_status_line(program, "POST /_lameduck/on");
  auto client = program.client();
  client.send(query(1));
  auto upstream = host.accept();
  upstream.command();
  upstream.send(served("one"));
  EXPECT_EQ(client.reply(), "one");
  EXPECT_FALSE(client.receive());  // closed
  client.send(query(2));
  EXPECT_TRUE(client.is_reset());
  EXPECT_FALSE(host.waiting(0));
}

// ---- at the limit of descriptors ----

// A file with settings of the gateway, deleted with this object.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() / ("rare-" + std::to_string(::getpid()) + ".toml")) {
    std::ofstream(path_) << text;
  }
  ~SettingsFile() { std::filesystem::remove(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

boost::json::object with_few_descriptors(boost::json::object conf) {
  conf["limits"].as_object()["sockets"] = 56;  // four for clients
  return conf;
}

TEST(EvictionRaces, AConnectionWithARequestIsNotEvicted) {
  Listener host, discovery;
  const SettingsFile settings_file("[hosts]\ndescriptors_share = 0.5\n");
  Program program(with_few_descriptors(config(snapshot({target("s-1", host.port())}), discovery.port())),
                  {"--settings", settings_file.path()}, {});
  std::vector<Peer> clients;
  for (unsigned i = 0; i < 4; ++i) {
    clients.push_back(program.client());
    clients.back().send(command({"PING"}));
    EXPECT_EQ(clients.back().reply(), "+PONG");
    if (i > 0) clients.back().send("*1\r\n$4\r\n");  // an incomplete command: evicted after idle connections
  }
  {
    const Stopped stopped(program);
    clients.push_back(program.client());  // accepted first when the process resumes
    clients.back().send(command({"PING"}));
    clients[0].send(command({"PING", "first"}));  // the one with the highest priority for eviction
  }
  EXPECT_EQ(clients[0].reply(), "first");
  EXPECT_EQ(clients[4].reply(), "+PONG");
}

// ---- shutdown ----

TEST(ShutdownRaces, AConnectionMadeJustBeforeTheListenerClosesIsServed) {
  Listener host, discovery;
  Program program(with_admin_port(config(snapshot({target("s-1", host.port())}), discovery.port())));
  begin_shutdown(program);
  std::vector<Peer> clients;
  {
    const Stopped stopped(program);
    stopped.outlast(550ms);
    clients.push_back(program.client());
    clients.back().send(query(1));
  }
  auto upstream = host.accept();
  upstream.command();
  upstream.send(served("one"));
  EXPECT_EQ(clients[0].reply(), "one");
  EXPECT_TRUE(clients[0].wait_for_close());
  EXPECT_EQ(program.exit_code(), 0);
}

TEST(ShutdownRaces, ARequestUnderWayWhenTheListenerClosesIsServed) {
  Listener host, discovery;
  Program program(with_admin_port(config(snapshot({target("s-1", host.port())}), discovery.port())));
  auto kept = program.client();
  begin_shutdown(program);
  kept.send(command({"PING"}));
  EXPECT_EQ(kept.reply(), "+PONG");
  std::vector<Peer> clients;
  {
    const Stopped stopped(program);
    stopped.outlast(550ms);
    kept.send(query(1));  // unread when idle connections are closed
  }
  auto upstream = host.accept();
  upstream.command();
  upstream.send(served("one"));
  EXPECT_EQ(kept.reply(), "one");
  EXPECT_TRUE(kept.wait_for_close());
  EXPECT_EQ(program.exit_code(), 0);
}

TEST(ShutdownRaces, AConnectionQueuedAtTheLimitIsServedWhenAnotherCloses) {
  Listener host, discovery;
  const SettingsFile settings_file("[hosts]\ndescriptors_share = 0.5\n");
  Program program(
      with_admin_port(with_few_descriptors(config(snapshot({target("s-1", host.port())}), discovery.port()))),
      {"--settings", settings_file.path()}, {});
  std::vector<Peer> clients, attempts;
  for (unsigned n = 1; n <= 4; ++n) {
    clients.push_back(program.client());
    clients.back().send(query(n));
    attempts.push_back(host.accept());
    attempts.back().command();
  }
  begin_shutdown(program);
  {
    const Stopped stopped(program);
    stopped.outlast(550ms);
    clients.push_back(program.client());
    clients.back().send(command({"PING"}));
  }
  admin_status_line(program, "GET /_ready");  // answered in an event loop iteration after the overdue timer
  attempts[0].send(served("one"));
  EXPECT_EQ(clients[0].reply(), "one");
  EXPECT_TRUE(clients[0].wait_for_close());
  EXPECT_EQ(clients[4].reply(), "+PONG");
  for (unsigned n = 2; n <= 4; ++n) attempts[n - 1].send(served("more"));
  EXPECT_EQ(program.exit_code(), 0);
}

// SIGKILL follows after the longest deadline of the current classes, so withdrawn classes must not prolong
// the shutdown.
TEST(ShutdownRaces, AWithdrawnClassDoesNotProlongTheShutdown) {
  Listener host, discovery;
  const auto conf = config(snapshot({target("s-1", host.port())}), discovery.port());
  Program program(conf);
  auto changed = conf;
  auto& classes = changed["settings"].as_object()["lanes"].as_array();
  classes.resize(1);
  classes[0].as_object()["slo_ms"] = 500.0;
  classes[0].as_object()["deadline_ms"] = 1000.0;
  auto client = program.client();
  client.send(submit("pay", 1));
  auto upstream = host.accept();
  upstream.command();
  program.reload(boost::json::serialize(changed));
  program.log_until("configuration reloaded");
  const auto terminated_at = Steady::now();
  program.terminate();
  EXPECT_EQ(client.reply().substr(0, 4), "-ERR");
  EXPECT_TRUE(client.wait_for_close());
  EXPECT_EQ(program.exit_code(), 0);
  EXPECT_LT(Steady::now() - terminated_at, 3s);  // would be 3.45 s with the withdrawn class
}

TEST(ShutdownRaces, ASecondSignalAndAReloadChangeNothing) {
  Listener host, discovery;
  const auto conf = with_admin_port(config(snapshot({target("s-1", host.port())}), discovery.port()));
  Program program(conf);
  auto client = program.client();
  client.send(query(1));
  auto upstream = host.accept();
  upstream.command();
  begin_shutdown(program);
  auto changed = conf;
  changed["settings"].as_object()["lanes"].as_array().resize(1);
  program.reload(boost::json::serialize(changed));
  program.log_until("configuration reloaded");
  program.terminate();
  upstream.send(served("one"));
  EXPECT_EQ(client.reply(), "one");
  EXPECT_TRUE(client.wait_for_close());
  EXPECT_EQ(program.exit_code(), 0);
}

// ---- attempts ----

// A host restarts at the same address while a connection to it is being made. The attempt that waits for it
// was meant for the previous process, and the new one is not warmed up.
TEST(AttemptRaces, AnAttemptThatWaitsForARestartedHostIsRetriedElsewhere) {
  Listener slow(0), next, discovery;
  const auto filled = fill_accept_queue(slow);
  Program program(config(snapshot({target("s-1", slow.port())}), discovery.port()));
  auto agent = discovery.accept();
  answer_watch_request(agent);
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
  auto upstream = next.accept();
  EXPECT_EQ(upstream.command().at(2), id(1));
  upstream.send(served("paid"));
  EXPECT_EQ(client.reply(), "paid");
}

}  // namespace
}  // namespace cometfold::net::testing
