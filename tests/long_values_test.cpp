// Values above 64 KiB: passed on in pieces as they come, at the pace of whoever is slower.
#include <string>
#include <vector>

#include "net_support.h"
#include "resp/client_connection.h"
#include "resp/resp_reader.h"

namespace cometfold::net::testing {
namespace {

constexpr std::size_t kMega = 1024 * 1024;

std::string noise(std::size_t bytes, unsigned seed = 1) {
  std::string text(bytes, 0);
  for (auto& c : text) {
    seed = seed * 1664525 + 1013904223;
    c = static_cast<char>(seed >> 24);
  }
  return text;
}

// ---- the reader ----

TEST(LongValues, AreReadTheSameHoweverTheyAreCut) {
  const std::string value = noise(70'000);
  const auto reply = served(value);
  for (const std::size_t step : {1u, 7u, 1000u, 65'536u, 200'000u}) {
    resp::RespReader reader({.max_elements = 3, .max_streamed_value_bytes = kMega}, false);
    resp::Frame frame;
    std::string got;
    bool whole = false;
    std::size_t most = 0;
    for (std::size_t at = 0; at < reply.size();) {
      const auto space = reader.prepare();
      const auto n = std::min({step, space.size(), reply.size() - at});
      std::copy_n(reply.data() + at, n, space.data());
      reader.commit(n);
      at += n;
      for (auto p = reader.next(frame); p != resp::ReadResult::kNeedMore; p = reader.next(frame)) {
        ASSERT_NE(p, resp::ReadResult::kProtocolError) << resp::text_of(reader.error());
        if (p == resp::ReadResult::kFrame) {
          whole = true;
          break;
        }
        EXPECT_EQ(reader.streamed_value_size(), value.size());
        const auto piece = reader.take_streamed_chunk();
        if (piece.empty()) break;
        got += piece;
      }
      most = std::max(most, reader.buffer_capacity());
    }
    EXPECT_TRUE(whole) << step;
    EXPECT_EQ(got, value) << step;
    EXPECT_LE(most, 128 * 1024u) << step;
    ASSERT_EQ(frame.items.size(), 3u);
    EXPECT_EQ(frame.items[2].text, "depth=0");
    EXPECT_TRUE(reader.empty());
  }
}

TEST(LongValues, AreOnlyTakenFirstInAnArrayAndUpToTheBound) {
  for (const std::string bad :
       {"*1\r\n$1048577\r\n", "$70000\r\n", "*3\r\n$1\r\nv\r\n$70000\r\n", "*1\r\n$3000000000\r\n"}) {
    resp::RespReader reader({.max_elements = 3, .max_streamed_value_bytes = kMega}, false);
    resp::Frame frame;
    const auto space = reader.prepare();
    std::copy(bad.begin(), bad.end(), space.data());
    reader.commit(bad.size());
    EXPECT_EQ(reader.next(frame), resp::ReadResult::kProtocolError) << bad;
  }
}

// ---- one client connection ----

class Blocked : public resp::Stream {  // takes `room` bytes and then none
 public:
  WriteResult write(std::string_view bytes) override {
    const auto n = std::min(bytes.size(), room);
    out.append(bytes.substr(0, n));
    room -= n;
    return {n, n < bytes.size() && n == 0, false};
  }
  void await_writable() override { ++awaited; }
  void read(std::span<char>) override {}
  void post() override { ++laters; }
  std::size_t unread_bytes() override { return 0; }
  bool is_quiet() override { return true; }
  bool peer_closed() override { return false; }
  void await_peer_close() override {}
  void shutdown_send() override {}
  void close() override { closed = true; }
  std::string out;
  std::size_t room = 0;
  int awaited = 0, laters = 0;
  bool closed = false;
};

struct Owner : resp::ClientConnectionCallbacks {
  resp::CommandResult on_command(Ms, resp::ResponseHandle ticket, std::span<const resp::Item>, Ms) override {
    return {ticket.sequence + 1, ticket.sequence + 1, true};
  }
  void on_reply_pending(std::uint64_t) override {}
  void on_reply_flushed(std::uint64_t) override {}
  void on_client_disconnected(Ms, std::uint64_t name) override { gone.push_back(name); }
  void on_closed(std::uint64_t) override {}
  void on_client_writable(Ms, std::uint64_t name) override { rooms.push_back(name); }
  std::vector<std::uint64_t> gone, rooms;
};

struct OneClient {
  Owner owner;
  resp::ClientTotals totals;
  std::vector<char> taken = std::vector<char>(4096);
  std::shared_ptr<resp::ClientConnection> link =
      std::make_shared<resp::ClientConnection>(owner, totals, 1, 0);
  Blocked* stream;
  explicit OneClient(int commands) {
    class Feeding : public Blocked {
     public:
      void read(std::span<char> given) override { space = given; }
      std::span<char> space;
    };
    auto made = std::make_unique<Feeding>();
    auto* feeding = made.get();
    stream = feeding;
    link->start(std::move(made));
    std::string text;
    for (int i = 0; i < commands; ++i) text += command({"X"});
    std::copy(text.begin(), text.end(), feeding->space.data());
    link->on_read(0, text.size(), false);
  }
};

TEST(LongValues, AClientThatDoesNotReadHoldsTheValueBackAndLittleIsKept) {
  OneClient c(1);
  c.link->start_value(1, 0, 4 * kMega);
  const auto piece = noise(16 * 1024);
  int pieces = 0;
  while (c.link->append_value(1, 0, piece)) ASSERT_LT(++pieces, 100);
  EXPECT_LE(c.totals.unsent_bytes, 96 * 1024u);
  EXPECT_TRUE(c.owner.rooms.empty());
  std::size_t sent = (pieces + 1) * piece.size(), most = 0;
  while (sent < 4 * kMega) {
    c.stream->room = 40 * 1024;
    c.link->on_writable(2, true);
    ASSERT_FALSE(c.owner.rooms.empty());  // asked for more, once it has read
    c.owner.rooms.clear();
    for (bool more = true; more && sent < 4 * kMega; sent += piece.size())
      more = c.link->append_value(2, 0, piece);
    most = std::max(most, c.totals.unsent_bytes);
  }
  EXPECT_LE(most, 192 * 1024u);  // of 4 MiB
  c.stream->room = kMega;
  c.link->on_writable(3, true);
  c.link->finish_value(3, 0);
  EXPECT_EQ(c.totals.unsent_bytes, 0u);
  EXPECT_EQ(c.stream->out.substr(0, 10), "$4194304\r\n");
  EXPECT_EQ(c.stream->out.size(), 10 + 4 * kMega + 2);
}

TEST(LongValues, OneBehindAnotherAnswerWaitsInBoundsAndGoesOnAfterIt) {
  OneClient c(2);
  c.stream->room = kMega;
  c.link->start_value(1, 1, 100'000);
  const auto piece = noise(16 * 1024);
  while (c.link->append_value(1, 1, piece)) {
  }
  EXPECT_TRUE(c.stream->out.empty());
  EXPECT_LE(c.totals.unsent_bytes, 80 * 1024u);
  c.link->send_reply(2, 0, "+first\r\n");
  EXPECT_EQ(c.stream->out.substr(0, 17), "+first\r\n$100000\r\n");
  ASSERT_EQ(c.stream->laters, 1);
  c.link->on_posted(2);
  EXPECT_EQ(c.owner.rooms, std::vector<std::uint64_t>{2});
}

TEST(LongValues, OneCutOffEndsTheConnectionIfSomeOfItIsOutElseItIsAnError) {
  OneClient out(1);
  out.stream->room = kMega;
  out.link->start_value(1, 0, 100'000);
  out.link->append_value(1, 0, "some");
  out.link->send_reply(2, 0, "-ERR failed\r\n");
  EXPECT_FALSE(out.stream->closed);  // not from inside the engine's call
  out.link->on_posted(2);
  EXPECT_TRUE(out.stream->closed);
  EXPECT_EQ(out.stream->out, "$100000\r\nsome");
  EXPECT_TRUE(out.owner.gone.empty());  // it has had its answer

  OneClient held(2);
  held.stream->room = kMega;
  held.link->start_value(1, 1, 100'000);
  held.link->append_value(1, 1, "some");
  held.link->send_reply(2, 1, "-ERR failed\r\n");
  held.link->send_reply(2, 0, "+first\r\n");
  EXPECT_EQ(held.stream->out, "+first\r\n-ERR failed\r\n");
  EXPECT_EQ(held.totals.unsent_bytes, 0u);
}

// ---- the program ----

struct Serving {
  Listener host, discovery;
  Program program{config(list(7, true, {target("s-1", host.port())}), discovery.port())};
};

TEST(LongValues, BeginAtTheClientBeforeTheHostHasGivenAll) {
  Serving s;
  auto client = s.program.client();
  client.send(query(1));
  auto at = s.host.accept();
  at.command();
  const auto value = noise(3 * kMega);
  const auto reply = served(value);
  at.send(reply.substr(0, 100'000));
  EXPECT_EQ(client.line(), "$" + std::to_string(value.size()));
  std::string got = client.exactly(90'000);
  at.send(reply.substr(100'000));
  got += client.exactly(value.size() - got.size() + 2);
  EXPECT_EQ(got, value + "\r\n");
  client.send(command({"PING"}));
  EXPECT_EQ(client.reply(), "+PONG");
  let_rest();
  client.send(query(2));  // and the host's connection is used again
  EXPECT_EQ(at.command().at(2), id(2));
  at.send(served("short"));
  EXPECT_EQ(client.reply(), "short");
}

TEST(LongValues, TimeIsNoBoundOnceTheyHaveBegun) {
  Serving s;
  auto client = s.program.client();
  client.send(query(1, "400"));
  auto at = s.host.accept();
  at.command();
  const auto reply = served(noise(100'000));
  at.send(reply.substr(0, 50'000));
  EXPECT_EQ(client.line(), "$100000");
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  at.send(reply.substr(50'000));
  EXPECT_EQ(client.exactly(100'002), noise(100'000) + "\r\n");
}

TEST(LongValues, AHostThatBreaksOffCutsItsClientOffAndNobodyElse) {
  Serving s;
  auto client = s.program.client(), other = s.program.client();
  client.send(query(1));
  auto at = s.host.accept();
  at.command();
  at.send(served(noise(200'000)).substr(0, 100'000));
  EXPECT_EQ(client.line(), "$200000");
  at.reset();
  EXPECT_TRUE(client.ends());
  EXPECT_FALSE(s.host.waiting(20));  // never asked again: some of it is out
  other.send(command({"PING"}));
  EXPECT_EQ(other.reply(), "+PONG");
}

TEST(LongValues, OneWithoutItsEndIsSpoilt) {
  Serving s;
  auto client = s.program.client();
  client.send(query(1));
  auto at = s.host.accept();
  at.command();
  at.send("*3\r\n$70000\r\n" + noise(70'000) + "XX$-1\r\n$-1\r\n");
  EXPECT_EQ(client.line(), "$70000");
  EXPECT_TRUE(client.ends());
  EXPECT_TRUE(at.ends());
}

TEST(LongValues, AClientThatLeavesEndsItsAttempt) {
  Serving s;
  auto client = s.program.client();
  client.send(query(1));
  auto at = s.host.accept();
  at.command();
  at.send(served(noise(200'000)).substr(0, 100'000));
  EXPECT_EQ(client.line(), "$200000");
  client.reset();
  EXPECT_TRUE(at.ends());
}

TEST(LongValues, AHostThatLeavesMeanwhileIsHeardToTheEnd) {
  Serving s;
  auto watch = s.discovery.accept();
  watch_head(watch);
  auto client = s.program.client();
  client.send(query(1));
  auto at = s.host.accept();
  at.command();
  const auto reply = served(noise(200'000));
  at.send(reply.substr(0, 100'000));
  EXPECT_EQ(client.line(), "$200000");
  chunk(watch, list(8, false, {target("s-1", s.host.port(), "left")}) + "\n");
  let_rest();
  at.send(reply.substr(100'000));
  EXPECT_EQ(client.exactly(200'002), noise(200'000) + "\r\n");
}

TEST(LongValues, ASecondCopysValueIsNotMixedIn) {
  Listener one, two, discovery;
  auto conf = config(list(7, true, {target("s-1", one.port()), target("s-2", two.port())}), discovery.port());
  auto& settings = conf["settings"].as_object();
  settings["ceilings"].as_object()["second_copies"] = true;
  settings["ceilings"].as_object()["cancel"] = false;
  settings["lanes"].as_array()[0].as_object()["slo_ms"] = 200.0;
  Program program(conf);
  auto client = program.client();
  client.send(query(1));
  const bool straight = Listener::first_of(one, two);
  auto first = (straight ? one : two).accept();
  first.command();
  auto second = (straight ? two : one).accept();
  second.command();
  const auto a = noise(100'000, 1), b = noise(100'000, 2);
  first.send(served(a).substr(0, 60'000));
  EXPECT_EQ(client.line(), "$100000");
  second.send(served(b));
  let_rest();
  first.send(served(a).substr(60'000));
  EXPECT_EQ(client.exactly(100'002), a + "\r\n");
  client.send(command({"PING"}));
  EXPECT_EQ(client.reply(), "+PONG");
}

}  // namespace
}  // namespace cometfold::net::testing
