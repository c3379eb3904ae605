// Values above 64 KiB are streamed: forwarded in chunks as they arrive, at the speed of the slower side.
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net_support.h"
#include "resp/client_connection.h"
#include "resp/resp_reader.h"

namespace cometfold::net::testing {
namespace {

constexpr std::size_t kMebibyte = 1024 * 1024;

std::string random_bytes(std::size_t bytes, unsigned seed = 1) {
  std::string text(bytes, 0);
  for (auto& c : text) {
    seed = seed * 1664525 + 1013904223;
    c = static_cast<char>(seed >> 24);
  }
  return text;
}

// ---- the parser ----

TEST(StreamedValues, AreParsedHoweverTheBytesAreSplit) {
  const std::string value = random_bytes(70'000);
  const auto reply = served(value);
  for (const std::size_t step : {1u, 7u, 1000u, 65'536u, 200'000u}) {
    resp::RespReader reader({.max_elements = 3, .max_streamed_value_bytes = kMebibyte}, false);
    resp::Frame frame;
    std::string received;
    bool complete = false;
    std::size_t max_capacity = 0;
    for (std::size_t at = 0; at < reply.size();) {
      const auto space = reader.prepare();
      const auto bytes = std::min({step, space.size(), reply.size() - at});
      std::copy_n(reply.data() + at, bytes, space.data());
      reader.commit(bytes);
      at += bytes;
      for (auto result = reader.next(frame); result != resp::ReadResult::kNeedMore;
           result = reader.next(frame)) {
        ASSERT_NE(result, resp::ReadResult::kProtocolError) << resp::text_of(reader.error());
        if (result == resp::ReadResult::kFrame) {
          complete = true;
          break;
        }
        EXPECT_EQ(reader.streamed_value_size(), value.size());
        const auto chunk = reader.take_streamed_chunk();
        if (chunk.empty()) break;
        received += chunk;
      }
      max_capacity = std::max(max_capacity, reader.buffer_capacity());
    }
    EXPECT_TRUE(complete) << step;
    EXPECT_EQ(received, value) << step;
    EXPECT_LE(max_capacity, 128 * 1024u) << step;
    ASSERT_EQ(frame.items.size(), 3u);
    EXPECT_EQ(frame.items[2].text, "depth=0");
    EXPECT_TRUE(reader.empty());
  }
}

TEST(StreamedValues, AreAcceptedOnlyFirstInAnArrayAndUpToTheLimit) {
  for (const std::string bad :
       {"*1\r\n$1048577\r\n", "$70000\r\n", "*3\r\n$1\r\nv\r\n$70000\r\n", "*1\r\n$3000000000\r\n"}) {
    resp::RespReader reader({.max_elements = 3, .max_streamed_value_bytes = kMebibyte}, false);
    resp::Frame frame;
    const auto space = reader.prepare();
    std::copy(bad.begin(), bad.end(), space.data());
    reader.commit(bad.size());
    EXPECT_EQ(reader.next(frame), resp::ReadResult::kProtocolError) << bad;
  }
}

// ---- one client connection ----

// Accepts `capacity` bytes, then blocks.
class LimitedStream : public resp::Stream {
 public:
  WriteResult write(std::string_view bytes) override {
    const auto taken = std::min(bytes.size(), capacity);
    written.append(bytes.substr(0, taken));
    capacity -= taken;
    return {taken, taken < bytes.size() && taken == 0, false};
  }
  void await_writable() override { ++awaited; }
  void read(std::span<char>) override {}
  void post() override { ++posts; }
  std::size_t unread_bytes() override { return 0; }
  bool is_quiet() override { return true; }
  bool peer_closed() override { return false; }
  void await_peer_close() override {}
  void shutdown_send() override {}
  void close() override { closed = true; }
  std::string written;
  std::size_t capacity = 0;
  int awaited = 0, posts = 0;
  bool closed = false;
};

struct RecordingCallbacks : resp::ClientConnectionCallbacks {
  resp::CommandResult on_command(Ms, resp::ResponseHandle handle, std::span<const resp::Item>,
                                 const resp::CommandArrival&) override {
    return {handle.sequence + 1, handle.sequence + 1, true, deadline};
  }
  void on_reply_pending(std::uint64_t) override {}
  void on_reply_flushed(std::uint64_t) override {}
  void on_client_disconnected(Ms, std::uint64_t request_id) override { disconnected.push_back(request_id); }
  void on_closed(std::uint64_t) override {}
  void on_client_writable(Ms, std::uint64_t request_id) override { writable.push_back(request_id); }
  void on_value_too_late(Ms, std::uint64_t request_id) override { too_late.push_back(request_id); }
  std::vector<std::uint64_t> disconnected, writable, too_late;
  Ms deadline = 0;  // of each request
};

struct SingleClientFixture {
  RecordingCallbacks callbacks;
  resp::ClientTotals totals;
  std::shared_ptr<resp::ClientConnection> connection =
      std::make_shared<resp::ClientConnection>(callbacks, totals, 1, 0);
  LimitedStream* stream;
  std::size_t unsent_bytes() const { return totals.memory.used(resp::MemoryBudget::Use::kReplies); }
  explicit SingleClientFixture(int commands, Ms deadline = std::numeric_limits<Ms>::infinity()) {
    callbacks.deadline = deadline;
    class ReadableStream : public LimitedStream {
     public:
      void read(std::span<char> offered) override { space = offered; }
      std::span<char> space;
    };
    auto made = std::make_unique<ReadableStream>();
    auto* readable = made.get();
    stream = readable;
    connection->start(std::move(made));
    std::string text;
    for (int i = 0; i < commands; ++i) text += command({"X"});
    std::copy(text.begin(), text.end(), readable->space.data());
    connection->on_read(0, text.size(), false);
  }
};

TEST(StreamedValues, ASlowClientPausesTheValueAndLittleIsBuffered) {
  SingleClientFixture client(1);
  client.connection->start_value(1, 0, 4 * kMebibyte);
  const auto chunk = random_bytes(16 * 1024);
  int chunks = 0;
  while (client.connection->append_value(1, 0, chunk)) ASSERT_LT(++chunks, 100);
  EXPECT_LE(client.unsent_bytes(), 96 * 1024u);
  EXPECT_TRUE(client.callbacks.writable.empty());
  std::size_t sent = (chunks + 1) * chunk.size(), max_unsent = 0;
  while (sent < 4 * kMebibyte) {
    client.stream->capacity = 40 * 1024;
    client.connection->on_writable(2, true);
    ASSERT_FALSE(client.callbacks.writable.empty());  // now that the client has read
    client.callbacks.writable.clear();
    for (bool more = true; more && sent < 4 * kMebibyte; sent += chunk.size())
      more = client.connection->append_value(2, 0, chunk);
    max_unsent = std::max(max_unsent, client.unsent_bytes());
  }
  EXPECT_LE(max_unsent, 192 * 1024u);  // of 4 MiB
  client.stream->capacity = kMebibyte;
  client.connection->on_writable(3, true);
  client.connection->finish_value(3, 0);
  EXPECT_EQ(client.unsent_bytes(), 0u);
  EXPECT_EQ(client.stream->written.substr(0, 10), "$4194304\r\n");
  EXPECT_EQ(client.stream->written.size(), 10 + 4 * kMebibyte + 2);
}

TEST(StreamedValues, OneBehindAnotherReplyIsBufferedWithinLimitsAndResumesAfterIt) {
  SingleClientFixture client(2);
  client.stream->capacity = kMebibyte;
  client.connection->start_value(1, 1, 100'000);
  const auto chunk = random_bytes(16 * 1024);
  while (client.connection->append_value(1, 1, chunk)) {
  }
  EXPECT_TRUE(client.stream->written.empty());
  EXPECT_LE(client.unsent_bytes(), 80 * 1024u);
  client.connection->send_reply(2, 0, "+first\r\n");
  EXPECT_EQ(client.stream->written.substr(0, 17), "+first\r\n$100000\r\n");
  ASSERT_EQ(client.stream->posts, 1);
  client.connection->on_posted(2);
  EXPECT_EQ(client.callbacks.writable, std::vector<std::uint64_t>{2});
}

TEST(StreamedValues, AnAbortClosesTheConnectionOnceSomeIsWrittenAndElseIsAnError) {
  SingleClientFixture partly_written(1);
  partly_written.stream->capacity = kMebibyte;
  partly_written.connection->start_value(1, 0, 100'000);
  partly_written.connection->append_value(1, 0, "some");
  partly_written.connection->send_reply(2, 0, "-ERR failed\r\n");
  EXPECT_FALSE(partly_written.stream->closed);  // closed later, as the engine may make this call
  partly_written.connection->on_posted(2);
  EXPECT_TRUE(partly_written.stream->closed);
  EXPECT_EQ(partly_written.stream->written, "$100000\r\nsome");
  EXPECT_TRUE(partly_written.callbacks.disconnected.empty());  // the request has already been answered

  SingleClientFixture buffered(2);
  buffered.stream->capacity = kMebibyte;
  buffered.connection->start_value(1, 1, 100'000);
  buffered.connection->append_value(1, 1, "some");
  buffered.connection->send_reply(2, 1, "-ERR failed\r\n");
  buffered.connection->send_reply(2, 0, "+first\r\n");
  EXPECT_EQ(buffered.stream->written, "+first\r\n-ERR failed\r\n");
  EXPECT_EQ(buffered.unsent_bytes(), 0u);
}

// Guards against replies that are lost with the value before them: it is held while they wait, and an error
// takes its place if it can't be finished.
TEST(StreamedValues, OneWithRepliesBehindItIsReplacedByAnErrorIfItIsAborted) {
  SingleClientFixture client(2);
  client.stream->capacity = kMebibyte;
  client.connection->start_value(1, 0, 100'000);
  while (client.connection->append_value(1, 0, random_bytes(10'000)) && client.unsent_bytes() < 90'000) {
  }
  EXPECT_GE(client.unsent_bytes(), 90'000u);  // held as a whole, not paused
  client.connection->send_reply(2, 1, "+second\r\n");
  EXPECT_TRUE(client.stream->written.empty());
  client.connection->send_reply(3, 0, "-ERR failed\r\n");
  EXPECT_EQ(client.stream->written, "-ERR failed\r\n+second\r\n");
  EXPECT_EQ(client.unsent_bytes(), 0u);
  EXPECT_FALSE(client.stream->closed);
}

TEST(StreamedValues, OneWithRepliesBehindItIsWrittenOnceItIsComplete) {
  SingleClientFixture client(2);
  client.stream->capacity = kMebibyte;
  const auto value = random_bytes(70'000);
  client.connection->start_value(1, 0, value.size());
  client.connection->send_reply(1, 1, "+second\r\n");
  EXPECT_TRUE(client.connection->append_value(1, 0, value));
  EXPECT_TRUE(client.stream->written.empty());
  client.connection->finish_value(2, 0);
  EXPECT_EQ(client.stream->written, "$70000\r\n" + value + "\r\n+second\r\n");
}

// Guards against values that are lost by being held back: for 2 s although their hosts send them, for 0.5 s
// beyond the request's deadline, or beyond the memory for replies.
TEST(StreamedValues, AHeldOneIsBegunInTime) {
  SingleClientFixture slow(2);
  slow.stream->capacity = kMebibyte;
  slow.connection->start_value(1, 0, 100'000);
  slow.connection->append_value(700, 0, "so");
  slow.connection->close_if_timed_out(1'500);
  EXPECT_TRUE(slow.stream->written.empty());
  slow.connection->close_if_timed_out(1'600);
  EXPECT_EQ(slow.stream->written, "$100000\r\nso");

  SingleClientFixture urgent(2, 1'000);
  urgent.stream->capacity = kMebibyte;
  urgent.connection->start_value(1, 0, 100'000);
  urgent.connection->append_value(1'100, 0, "so");
  urgent.connection->close_if_timed_out(1'200);
  EXPECT_TRUE(urgent.stream->written.empty());
  urgent.connection->close_if_timed_out(1'300);
  EXPECT_EQ(urgent.stream->written, "$100000\r\nso");

  SingleClientFixture scarce(2);
  scarce.totals.memory.set_limit(200'000);
  scarce.stream->capacity = kMebibyte;
  scarce.connection->start_value(1, 0, 100'000);
  scarce.connection->append_value(1, 0, random_bytes(49'000));
  EXPECT_TRUE(scarce.stream->written.empty());
  scarce.connection->append_value(1, 0, random_bytes(1'000));
  EXPECT_EQ(scarce.stream->written.size(), 9 + 50'000u);
}

// Guards against replies that are lost behind a value whose host fails: with a short deadline it was hardly
// held.
TEST(StreamedValues, OneWithAShortDeadlineIsHeldForTheRepliesBehindIt) {
  SingleClientFixture client(2, 200);
  client.stream->capacity = kMebibyte;
  client.connection->start_value(1, 0, 100'000);
  client.connection->append_value(100, 0, "some");
  client.connection->send_reply(100, 1, "+second\r\n");
  client.connection->close_if_timed_out(400);
  client.connection->send_reply(400, 0, "-ERR failed\r\n");
  EXPECT_EQ(client.stream->written, "-ERR failed\r\n+second\r\n");
  EXPECT_FALSE(client.stream->closed);
}

// Guards against replies that are lost behind a value that was begun although its host had hung: it is begun
// with the next bytes, and can be withdrawn before.
TEST(StreamedValues, AHeldOneWhoseHostPausesIsBegunWithItsNextBytes) {
  SingleClientFixture goes_on(2);
  goes_on.stream->capacity = kMebibyte;
  goes_on.connection->start_value(1, 0, 100'000);
  goes_on.connection->append_value(100, 0, "so");
  goes_on.connection->close_if_timed_out(1'600);
  goes_on.connection->close_if_timed_out(9'000);
  EXPECT_TRUE(goes_on.stream->written.empty());
  goes_on.connection->append_value(9'100, 0, "me");
  EXPECT_EQ(goes_on.stream->written, "$100000\r\nsome");
  EXPECT_FALSE(goes_on.connection->withdraw_value(9'200, 0));

  SingleClientFixture hung(2);
  hung.stream->capacity = kMebibyte;
  hung.connection->start_value(1, 0, 100'000);
  hung.connection->append_value(100, 0, "some");
  hung.connection->send_reply(200, 1, "+second\r\n");
  EXPECT_TRUE(hung.connection->withdraw_value(9'000, 0));
  hung.connection->start_value(9'100, 0, 5);
  hung.connection->append_value(9'100, 0, "other");
  hung.connection->finish_value(9'100, 0);
  EXPECT_EQ(hung.stream->written, "$5\r\nother\r\n+second\r\n");
  EXPECT_EQ(hung.unsent_bytes(), 0u);
}

constexpr std::size_t kChunkBytes = 10'000;

// One chunk of a value that is started at 0 comes every 50 ms, up to the time `until`.
void append_chunks(SingleClientFixture& client, Ms from, Ms until) {
  for (Ms now = from; now <= until; now += 50) {
    client.connection->append_value(now, 0, random_bytes(kChunkBytes));
    client.connection->close_if_timed_out(now);
  }
}

// Guards against values that the end of the process cuts off, as they are begun too late in a shutdown: they
// are begun once they come fast enough to be whole before it.
TEST(StreamedValues, OneInAShutdownIsBegunOnceItsPaceSaysThatItComesWhole) {
  for (const bool is_cut_excused : {false, true}) {
    SingleClientFixture client(1);
    client.stream->capacity = kMebibyte;
    client.connection->start_value(0, 0, 10 * kChunkBytes, engine::CompletionBound{2'000, is_cut_excused});
    append_chunks(client, 50, 250);
    EXPECT_TRUE(client.stream->written.empty());
    append_chunks(client, 300, 300);
    EXPECT_EQ(client.stream->written.size(), 9 + 6 * kChunkBytes);
  }
}

TEST(StreamedValues, OneInAShutdownThatWouldBeCutMakesRoomForAnError) {
  for (const bool is_cut_excused : {false, true}) {
    SingleClientFixture client(1);
    client.stream->capacity = kMebibyte;
    client.connection->start_value(0, 0, 100 * kChunkBytes, engine::CompletionBound{2'000, is_cut_excused});
    append_chunks(client, 50, 1'450);
    EXPECT_TRUE(client.callbacks.too_late.empty());
    append_chunks(client, 1'500, 1'500);
    EXPECT_EQ(client.callbacks.too_late, std::vector<std::uint64_t>{1});
    EXPECT_TRUE(client.connection->withdraw_value(1'500, 0));
    client.connection->send_reply(1'500, 0, "-ERR stopping\r\n");
    EXPECT_EQ(client.stream->written, "-ERR stopping\r\n");
  }
}

// A request that came late tolerates that its host becomes slower; an earlier one is excused.
TEST(StreamedValues, OneOfALateRequestIsBegunOnlyWithTimeToSpare) {
  for (const bool is_cut_excused : {false, true}) {
    SingleClientFixture client(1);
    client.stream->capacity = kMebibyte;
    client.connection->start_value(0, 0, 10 * kChunkBytes, engine::CompletionBound{550, is_cut_excused});
    append_chunks(client, 50, 300);  // the rest takes 200 ms
    EXPECT_EQ(client.stream->written.empty(), !is_cut_excused);
  }
}

// Guards against a host that hangs and is taken for a fast one, as much of its value had waited in buffers.
TEST(StreamedValues, OneInAShutdownWhoseHostHangsIsNotBegun) {
  SingleClientFixture client(1);
  client.stream->capacity = kMebibyte;
  client.connection->start_value(0, 0, 10 * kChunkBytes, engine::CompletionBound{60'000, true});
  for (int i = 0; i < 9; ++i) client.connection->append_value(1, 0, random_bytes(kChunkBytes));
  client.connection->close_if_timed_out(1'500);
  EXPECT_TRUE(client.stream->written.empty());
  EXPECT_EQ(client.callbacks.too_late, std::vector<std::uint64_t>{1});
}

TEST(StreamedValues, OneInAShutdownThatIsWholeIsWrittenAtOnce) {
  SingleClientFixture client(1);
  client.stream->capacity = kMebibyte;
  client.connection->start_value(0, 0, kChunkBytes, engine::CompletionBound{1, false});
  client.connection->append_value(0, 0, random_bytes(kChunkBytes));
  client.connection->finish_value(0, 0);
  EXPECT_EQ(client.stream->written, "$10000\r\n" + random_bytes(kChunkBytes) + "\r\n");
}

// Guards against memory that values take which wait for their pace.
TEST(StreamedValues, OneOfALateRequestIsHeldWithinTheMemory) {
  SingleClientFixture client(1);
  client.totals.memory.set_limit(200'000);
  client.connection->start_value(0, 0, 100 * kChunkBytes, engine::CompletionBound{2'000, false});
  while (client.connection->append_value(0, 0, random_bytes(kChunkBytes))) {
    ASSERT_LT(client.unsent_bytes(), 200'000u);
  }
  EXPECT_TRUE(client.stream->written.empty());
}

// Guards against a value that stops as its host is never asked for more once it has been begun.
TEST(StreamedValues, OneThatWaitedForMemoryGoesOnOnceItIsBegun) {
  SingleClientFixture client(1);
  client.stream->capacity = kMebibyte;
  client.totals.memory.set_limit(200'000);
  client.connection->start_value(0, 0, 10 * kChunkBytes, engine::CompletionBound{60'000, false});
  client.connection->append_value(0, 0, random_bytes(4 * kChunkBytes));
  EXPECT_FALSE(client.connection->append_value(200, 0, random_bytes(kChunkBytes)));
  client.connection->close_if_timed_out(300);
  EXPECT_FALSE(client.stream->written.empty());
  client.connection->on_posted(300);
  EXPECT_EQ(client.callbacks.writable, std::vector<std::uint64_t>{1});
}

// Guards against replies that are cut because a later value breaks while their client reads them.
TEST(StreamedValues, RepliesBeforeAnAbortedOneAreDeliveredBeforeTheClose) {
  SingleClientFixture client(2);
  const std::string first = "+" + std::string(5'000, 'a') + "\r\n";
  client.stream->capacity = 1'000;
  client.connection->send_reply(1, 0, first);
  client.connection->start_value(1, 1, 100'000);
  client.connection->send_reply(2, 1, "-ERR failed\r\n");
  client.connection->on_posted(2);
  EXPECT_FALSE(client.stream->closed);
  client.stream->capacity = kMebibyte;
  client.connection->on_writable(3, true);
  client.connection->close_if_timed_out(100);
  EXPECT_EQ(client.stream->written, first + "$100000\r\n");
  EXPECT_TRUE(client.stream->closed);
  EXPECT_EQ(client.totals.closed_by_reason[static_cast<std::size_t>(resp::CloseReason::kValueAborted)], 1u);
}

// ---- the program ----

struct ProgramFixture {
  Listener host, discovery;
  Program program{config(list(7, true, {target("s-1", host.port())}), discovery.port())};
};

TEST(StreamedValues, ReachTheClientBeforeTheHostHasSentAll) {
  ProgramFixture fixture;
  auto client = fixture.program.client();
  client.send(query(1));
  auto upstream = fixture.host.accept();
  upstream.command();
  const auto value = random_bytes(3 * kMebibyte);
  const auto reply = served(value);
  upstream.send(reply.substr(0, 100'000));
  EXPECT_EQ(client.line(), "$" + std::to_string(value.size()));
  std::string received = client.exactly(90'000);
  upstream.send(reply.substr(100'000));
  received += client.exactly(value.size() - received.size() + 2);
  EXPECT_EQ(received, value + "\r\n");
  client.send(command({"PING"}));
  EXPECT_EQ(client.reply(), "+PONG");
  wait_for_connection_rest();
  client.send(query(2));  // the connection to the host is reused
  EXPECT_EQ(upstream.command().at(2), id(2));
  upstream.send(served("short"));
  EXPECT_EQ(client.reply(), "short");
}

// Guards against a value that is cut while its client reads it: the socket has taken all of it, the client
// has read nothing for longer than the idle timeout, and its next request makes a closed socket reset the
// connection.
TEST(StreamedValues, AClientThatReadsSlowlyGetsAllOfThemAndTheNextReply) {
  ProgramFixture fixture;
  auto client = fixture.program.client();
  client.send(query(1));
  auto upstream = fixture.host.accept();
  upstream.command();
  const auto value = random_bytes(kMebibyte);
  upstream.send(served(value));
  upstream.close();  // so that the next request gets another connection
  EXPECT_EQ(client.line(), "$" + std::to_string(value.size()));
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(resp::kIdleTimeoutMs + 500));
  client.send(query(2));
  EXPECT_EQ(client.exactly(value.size() + 2), value + "\r\n");
  auto next = fixture.host.accept();
  EXPECT_EQ(next.command().at(2), id(2));
  next.send(served("two"));
  EXPECT_EQ(client.reply(), "two");
}

TEST(StreamedValues, AreNotBoundByTheTimeoutOnceStarted) {
  ProgramFixture fixture;
  auto client = fixture.program.client();
  client.send(query(1, "400"));
  auto upstream = fixture.host.accept();
  upstream.command();
  const auto reply = served(random_bytes(100'000));
  upstream.send(reply.substr(0, 50'000));
  EXPECT_EQ(client.line(), "$100000");
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  upstream.send(reply.substr(50'000));
  EXPECT_EQ(client.exactly(100'002), random_bytes(100'000) + "\r\n");
}

TEST(StreamedValues, AHostThatResetsEndsOnlyItsOwnClient) {
  ProgramFixture fixture;
  auto client = fixture.program.client(), other = fixture.program.client();
  client.send(query(1));
  auto upstream = fixture.host.accept();
  upstream.command();
  upstream.send(served(random_bytes(200'000)).substr(0, 100'000));
  EXPECT_EQ(client.line(), "$200000");
  upstream.reset();
  EXPECT_TRUE(client.wait_for_close());
  EXPECT_FALSE(fixture.host.waiting(20));  // no retry, as part of the value is written
  other.send(command({"PING"}));
  EXPECT_EQ(other.reply(), "+PONG");
}

// Guards against requests that have run and are never answered, as a host crashes in the value before them.
TEST(StreamedValues, AHostThatResetsFailsNoRequestBehindItsValue) {
  ProgramFixture fixture;
  auto client = fixture.program.client();
  client.send(query(1) + query(2) + command({"PING"}));
  auto one = fixture.host.accept(), two = fixture.host.accept();
  if (one.command().at(2) != id(1)) std::swap(one, two);
  one.send(served(random_bytes(200'000)).substr(0, 100'000));
  two.send(served("two"));
  wait_for_connection_rest();
  one.reset();
  EXPECT_EQ(client.reply(), "-ERR failed");
  EXPECT_EQ(client.reply(), "two");
  EXPECT_EQ(client.reply(), "+PONG");
}

// Guards against requests that have run and are never answered, as a host hangs in the value before them.
TEST(StreamedValues, AHostThatHangsFailsNoRequestBehindItsValue) {
  ProgramFixture fixture;
  auto client = fixture.program.client();
  client.send(query(1) + query(2));
  auto one = fixture.host.accept(), two = fixture.host.accept();
  if (one.command().at(2) != id(1)) std::swap(one, two);
  one.send(served(random_bytes(200'000)).substr(0, 100'000));
  two.send(served("two"));
  EXPECT_EQ(client.reply(), "-ERR failed");
  EXPECT_EQ(client.reply(), "two");
}

// Guards against the same where the deadline is shorter than the time after which a silent host is given up.
TEST(StreamedValues, AHostThatHangsFailsNoRequestBehindItsValueWhereTheDeadlineIsShort) {
  ProgramFixture fixture;
  auto client = fixture.program.client();
  client.send(query(1, "300") + query(2, "300"));
  auto one = fixture.host.accept(), two = fixture.host.accept();
  if (one.command().at(2) != id(1)) std::swap(one, two);
  one.send(served(random_bytes(200'000)).substr(0, 100'000));
  two.send(served("two"));
  EXPECT_EQ(client.line().front(), '-');
  EXPECT_EQ(client.reply(), "two");
}

// Guards against replies that are lost with a value whose terminator is spoilt.
TEST(StreamedValues, OneWithoutItsTerminatorFailsNoRequestBehindIt) {
  ProgramFixture fixture;
  auto client = fixture.program.client();
  client.send(query(1) + query(2));
  auto one = fixture.host.accept(), two = fixture.host.accept();
  if (one.command().at(2) != id(1)) std::swap(one, two);
  one.send("*3\r\n$70000\r\n" + random_bytes(70'000) + "XX$-1\r\n$-1\r\n");
  two.send(served("two"));
  EXPECT_EQ(client.reply(), "-ERR failed");
  EXPECT_EQ(client.reply(), "two");
}

// Guards against requests that are read although their replies depend on a value that may break: they stay
// unread, and the reset tells their client so.
TEST(StreamedValues, CommandsBehindOneThatIsPassedOnStayUnreadUntilItsEnd) {
  ProgramFixture fixture;
  auto client = fixture.program.client(), unlucky = fixture.program.client();
  const auto value = random_bytes(200'000);
  client.send(query(1));
  auto upstream = fixture.host.accept();
  upstream.command();
  upstream.send(served(value).substr(0, 100'000));
  EXPECT_EQ(client.line(), "$200000");
  client.send(query(2));
  unlucky.send(query(3));
  auto other = fixture.host.accept();
  EXPECT_EQ(other.command().at(2), id(3));
  other.send(served(value).substr(0, 100'000));
  EXPECT_EQ(unlucky.line(), "$200000");
  unlucky.send(query(4));
  EXPECT_FALSE(fixture.host.waiting(50));
  upstream.send(served(value).substr(100'000));
  upstream.close();  // so that the next request gets another connection
  EXPECT_EQ(client.exactly(value.size() + 2), value + "\r\n");
  auto next = fixture.host.accept();
  EXPECT_EQ(next.command().at(2), id(2));
  next.send(served("two"));
  EXPECT_EQ(client.reply(), "two");
  other.reset();
  EXPECT_FALSE(unlucky.closes_in_order());
  EXPECT_FALSE(fixture.host.waiting(50));
}

TEST(StreamedValues, OneWithoutItsTerminatorClosesBothConnections) {
  ProgramFixture fixture;
  auto client = fixture.program.client();
  client.send(query(1));
  auto upstream = fixture.host.accept();
  upstream.command();
  upstream.send("*3\r\n$70000\r\n" + random_bytes(70'000) + "XX$-1\r\n$-1\r\n");
  EXPECT_EQ(client.line(), "$70000");
  EXPECT_TRUE(client.wait_for_close());
  EXPECT_TRUE(upstream.wait_for_close());
}

TEST(StreamedValues, AClientThatDisconnectsEndsItsAttempt) {
  ProgramFixture fixture;
  auto client = fixture.program.client();
  client.send(query(1));
  auto upstream = fixture.host.accept();
  upstream.command();
  upstream.send(served(random_bytes(200'000)).substr(0, 100'000));
  EXPECT_EQ(client.line(), "$200000");
  client.reset();
  EXPECT_TRUE(upstream.wait_for_close());
}

TEST(StreamedValues, AHostThatIsRemovedMeanwhileSendsTheRest) {
  ProgramFixture fixture;
  auto watch = fixture.discovery.accept();
  answer_watch_request(watch);
  auto client = fixture.program.client();
  client.send(query(1));
  auto upstream = fixture.host.accept();
  upstream.command();
  const auto reply = served(random_bytes(200'000));
  upstream.send(reply.substr(0, 100'000));
  EXPECT_EQ(client.line(), "$200000");
  chunk(watch, list(8, false, {target("s-1", fixture.host.port(), "left")}) + "\n");
  wait_for_connection_rest();
  upstream.send(reply.substr(100'000));
  EXPECT_EQ(client.exactly(200'002), random_bytes(200'000) + "\r\n");
}

// Two hosts, one of which has sent half of a value to a request and then pauses.
struct PausedValueFixture {
  Listener one, two, discovery;
  Program program;
  Peer client;
  std::string value = random_bytes(300'000);
  explicit PausedValueFixture(const std::string& commands, bool hedging = true)
      : program(configuration(hedging)), client(program.client()) {
    client.send(commands);
    const bool first_at_one = Listener::first_of(one, two);
    other_ = first_at_one ? &two : &one;
    host_.push_back((first_at_one ? one : two).accept());
    host_.back().command();
    host_.back().send(served(value).substr(0, kSentBytes));
  }
  Peer& host() { return host_.back(); }
  Listener& other_host() { return *other_; }
  // The other host, which has got the request too.
  Peer hedge() {
    Peer peer = other_host().accept();
    EXPECT_EQ(peer.command().at(2), id(1));
    return peer;
  }
  std::string header() const { return "$" + std::to_string(value.size()); }

 private:
  static constexpr std::size_t kSentBytes = 150'000;
  boost::json::object configuration(bool hedging) const {
    auto json =
        config(list(7, true, {target("s-1", one.port()), target("s-2", two.port())}), discovery.port());
    json["settings"].as_object()["ceilings"].as_object()["second_copies"] = hedging;
    return json;
  }
  Listener* other_ = nullptr;
  std::vector<Peer> host_;
};

// Guards against a request whose value never comes as its host hangs: the client gets another host's whole
// value, whether it has received some of the first one's or nothing, as replies wait behind it.
TEST(StreamedValues, AnotherHostGivesOneWhoseHostHangs) {
  for (const bool begun : {true, false}) {
    PausedValueFixture paused(begun ? query(1) : query(1) + command({"PING"}));
    if (begun) {
      EXPECT_EQ(paused.client.line(), paused.header());
    }
    auto other = paused.hedge();
    other.send(served(paused.value));
    if (!begun) {
      EXPECT_EQ(paused.client.line(), paused.header());
    }
    EXPECT_EQ(paused.client.exactly(paused.value.size() + 2), paused.value + "\r\n");
    if (!begun) {
      EXPECT_EQ(paused.client.reply(), "+PONG");
    }
    EXPECT_TRUE(paused.host().wait_for_close());
    paused.client.send(command({"PING"}));
    EXPECT_EQ(paused.client.reply(), "+PONG");
  }
}

// Guards against a request that is sent on after its final answer: once its client receives a value, that is
// the answer, even if its host pauses. What waits behind a value that is held may still be helped.
TEST(StreamedValues, OneThatItsClientReceivesIsNotAskedForElsewhere) {
  PausedValueFixture paused(query(1));
  EXPECT_EQ(paused.client.line(), paused.header());
  EXPECT_FALSE(paused.other_host().waiting(2'500));
  paused.host().send(served(paused.value).substr(150'000));
  EXPECT_EQ(paused.client.exactly(paused.value.size() + 2), paused.value + "\r\n");
}

// Guards against a value of two halves from hosts whose values differ, in bytes or in size: the first one
// goes on. A client that has received nothing gets the other one whole.
TEST(StreamedValues, TheRestOfAnotherValueIsNeverPassedOn) {
  for (const std::size_t size : {300'000u, 300'001u, 20u}) {
    const std::string other_value = random_bytes(size, 2);
    PausedValueFixture begun(query(1));
    EXPECT_EQ(begun.client.line(), begun.header());
    auto other = begun.hedge();
    other.send(served(other_value));
    wait_for_connection_rest();
    begun.host().send(served(begun.value).substr(150'000));
    EXPECT_EQ(begun.client.exactly(begun.value.size() + 2), begun.value + "\r\n");
    begun.client.send(command({"PING"}));
    EXPECT_EQ(begun.client.reply(), "+PONG");

    PausedValueFixture held(query(1) + command({"PING"}));
    held.hedge().send(served(other_value));
    EXPECT_EQ(held.client.reply(), other_value);
    EXPECT_EQ(held.client.reply(), "+PONG");
  }
}

// Guards against values that are cut as their hosts pause: where no other attempt is allowed they wait, and
// the replies behind them too. Nothing takes effect twice.
TEST(StreamedValues, OneThatCanNotBeHedgedWaitsForItsHost) {
  for (const bool unsafe : {true, false}) {
    PausedValueFixture paused((unsafe ? submit("pay", 1) : query(1)) + command({"PING"}), unsafe);
    EXPECT_TRUE(paused.client.receives_nothing(2'500));
    EXPECT_FALSE(paused.other_host().waiting(0));
    paused.host().send(served(paused.value).substr(150'000));
    EXPECT_EQ(paused.client.reply(), paused.value);
    EXPECT_EQ(paused.client.reply(), "+PONG");
  }
}

// Guards against a held value that outlasts its request's time by the timeout of a host that hangs.
TEST(StreamedValues, AHeldOneWhoseHostHangsFailsAtItsDeadline) {
  PausedValueFixture paused(query(1, "2500") + command({"PING"}), false);
  EXPECT_FALSE(paused.client.receives_nothing(4'500));
  EXPECT_EQ(paused.client.line().at(0), '-');
  EXPECT_EQ(paused.client.reply(), "+PONG");
}

TEST(StreamedValues, AHedgedRequestsValueIsNotMixedIn) {
  Listener one, two, discovery;
  auto conf = config(list(7, true, {target("s-1", one.port()), target("s-2", two.port())}), discovery.port());
  auto& settings = conf["settings"].as_object();
  settings["ceilings"].as_object()["second_copies"] = true;
  settings["ceilings"].as_object()["cancel"] = false;
  settings["lanes"].as_array()[0].as_object()["slo_ms"] = 200.0;
  Program program(conf);
  auto client = program.client();
  client.send(query(1));
  const bool first_at_one = Listener::first_of(one, two);
  auto first = (first_at_one ? one : two).accept();
  first.command();
  auto second = (first_at_one ? two : one).accept();
  second.command();
  const auto a = random_bytes(100'000, 1), b = random_bytes(100'000, 2);
  first.send(served(a).substr(0, 60'000));
  EXPECT_EQ(client.line(), "$100000");
  second.send(served(b));
  wait_for_connection_rest();
  first.send(served(a).substr(60'000));
  EXPECT_EQ(client.exactly(100'002), a + "\r\n");
  client.send(command({"PING"}));
  EXPECT_EQ(client.reply(), "+PONG");
}

}  // namespace
}  // namespace cometfold::net::testing
