// A client connection on a simulated stream: pending replies, paused reads, and the rules for closing.
#include "resp/client_connection.h"

#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulators/words.h"

namespace cometfold::resp {
namespace {

// A stream that receives its input from the test.
class FakeStream : public Stream {
 public:
  explicit FakeStream(StreamCallbacks& callbacks) : callbacks_(callbacks) {}
  // Delivers bytes while reads are pending. Returns how many were accepted.
  std::size_t arrive(Ms now, std::string_view bytes) {
    std::size_t taken = 0;
    while (taken < bytes.size() && std::exchange(read_pending_, false)) {
      const auto chunk = std::min(bytes.size() - taken, space_.size());
      std::memcpy(space_.data(), bytes.data() + taken, chunk);
      taken += chunk;
      callbacks_.on_read(now, chunk, false);
    }
    return taken;
  }
  WriteResult write(std::string_view bytes) override { return {bytes.size(), false, false}; }
  void await_writable() override {}
  void read(std::span<char> space) override {
    space_ = space;
    read_pending_ = true;
  }
  void await_peer_close() override {}
  void post() override { ++posts; }
  std::size_t unread_bytes() override { return unread; }
  std::size_t unacknowledged_bytes() override { return unacknowledged; }
  bool is_quiet() override { return true; }
  bool peer_closed() override { return false; }
  void shutdown_send() override {}
  void close() override { closed = true; }
  int posts = 0;
  bool closed = false;
  std::size_t unread = 0;          // bytes that have arrived but have not been read
  std::size_t unacknowledged = 0;  // written bytes that have not reached the client's system

 private:
  StreamCallbacks& callbacks_;
  std::span<char> space_;
  bool read_pending_ = false;
};

// Records commands and does not answer them.
struct RecordingCallbacks : ClientConnectionCallbacks {
  CommandResult on_command(Ms, ResponseHandle handle, std::span<const Item>,
                           const CommandArrival& arrival) override {
    sequences.push_back(handle.sequence);
    elapsed.push_back(arrival.elapsed_ms);
    replaced_names.push_back(arrival.replaced_names);
    return {sequences.size(), sequences.size(), true};
  }
  void on_reply_pending(std::uint64_t) override {}
  void on_reply_flushed(std::uint64_t) override {}
  void on_client_disconnected(Ms, std::uint64_t) override {}
  void on_closed(std::uint64_t) override {}
  std::vector<std::uint64_t> sequences;
  std::vector<Ms> elapsed;
  std::vector<std::shared_ptr<const CommandNames>> replaced_names;
};

// A connection and its stream.
struct ConnectionFixture {
  RecordingCallbacks callbacks;
  ClientTotals totals;
  std::shared_ptr<ClientConnection> connection = std::make_shared<ClientConnection>(callbacks, totals, 1, 0);
  FakeStream* peer;
  ConnectionFixture() {
    auto stream = std::make_unique<FakeStream>(*connection);
    peer = stream.get();
    connection->start(std::move(stream));
  }
  std::uint64_t closed(CloseReason reason) const {
    return totals.closed_by_reason[static_cast<std::size_t>(reason)];
  }
};

// Guards against evicting a connection whose buffered commands are not dispatched yet: more commands arrive
// than may be pending, and all pending ones are answered in one event, so that no reply is pending until the
// next event.
TEST(ClientConnection, IsNotEvictedWhileBufferedCommandsWait) {
  ConnectionFixture client;
  std::string commands;
  for (int i = 0; i < 70; ++i) commands += emulators::command({"PING"});
  client.peer->arrive(1, commands);
  ASSERT_EQ(client.callbacks.sequences.size(), 64u);
  for (const auto sequence : std::vector(client.callbacks.sequences))
    client.connection->send_reply(2, sequence, "+PONG\r\n");
  ASSERT_EQ(client.callbacks.sequences.size(), 64u);  // the rest is dispatched in the next event
  EXPECT_EQ(client.connection->eviction_priority(), 0);
  client.connection->on_posted(2);
  EXPECT_EQ(client.callbacks.sequences.size(), 70u);
  EXPECT_EQ(client.totals.forbidden_closes, 0u);
  client.connection->close(3, CloseReason::kEvicted);
  EXPECT_EQ(client.totals.forbidden_closes, 1u);  // forbidden, and counted
  EXPECT_EQ(client.totals.closed_by_reason[static_cast<std::size_t>(CloseReason::kEvicted)], 0u);
}

// Commands of a paused client are read ahead, up to the limits per connection and over all connections.
TEST(ClientConnection, ReadsAheadOfAPausedClientWithinLimits) {
  constexpr std::size_t kMaxOfOne = 512 * 1024, kMaxOfAll = 200 * 1024;
  std::string commands;
  for (int i = 0; i < 64; ++i) commands += emulators::command({"PING"});
  const std::string more = commands + std::string(2 * kMaxOfOne, '*');
  for (const bool scarce : {false, true}) {
    RecordingCallbacks callbacks;
    ClientTotals totals;
    if (scarce) totals.memory.set_limit(4 * kMaxOfAll);
    const auto connection = std::make_shared<ClientConnection>(callbacks, totals, 1, 0);
    auto stream = std::make_unique<FakeStream>(*connection);
    FakeStream& peer = *stream;
    connection->start(std::move(stream));
    const std::size_t taken = peer.arrive(1, more);
    EXPECT_EQ(callbacks.sequences.size(), 64u);
    EXPECT_GE(taken, scarce ? kMaxOfAll / 4 : kMaxOfOne);
    EXPECT_LE(taken, commands.size() + (scarce ? kMaxOfAll : kMaxOfOne));
    EXPECT_LE(totals.memory.used(MemoryBudget::Use::kClientInput), scarce ? kMaxOfAll : kMaxOfOne);
  }
}

// Guards against commands that change their class with a reload while they wait: each keeps the names that
// were in force when its last byte arrived, over several reloads, and unread bytes have arrived too.
TEST(ClientConnection, WaitingCommandsKeepTheNamesOfTheirArrival) {
  ConnectionFixture client;
  const auto ping = emulators::command({"PING"});
  const auto first = std::make_shared<const CommandNames>(), second = std::make_shared<const CommandNames>(),
             third = std::make_shared<const CommandNames>();
  std::string commands;
  for (int i = 0; i < 66; ++i) commands += ping;
  client.peer->arrive(1, commands);  // two of them wait
  client.connection->on_names_replaced(first);
  client.connection->on_names_replaced(second);  // nothing has arrived in between
  client.peer->arrive(2, ping + ping.substr(0, 3));
  client.peer->unread = ping.size() - 3;
  client.connection->on_names_replaced(third);
  client.peer->unread = 0;
  client.peer->arrive(3, ping.substr(3) + ping);
  for (const auto sequence : std::vector(client.callbacks.sequences))
    client.connection->send_reply(4, sequence, "+PONG\r\n");
  client.connection->on_posted(4);
  ASSERT_EQ(client.callbacks.replaced_names.size(), 69u);
  const std::vector waiting(client.callbacks.replaced_names.begin() + 63,
                            client.callbacks.replaced_names.end());
  const std::vector<std::shared_ptr<const CommandNames>> expected{nullptr, first, first,
                                                                  third,   third, nullptr};
  EXPECT_EQ(waiting, expected);
}

// Answers commands of two words immediately with a large reply.
struct LargeReplyCallbacks : RecordingCallbacks {
  CommandResult on_command(Ms now, ResponseHandle handle, std::span<const Item> words,
                           const CommandArrival& arrival) override {
    const CommandResult result = RecordingCallbacks::on_command(now, handle, words, arrival);
    if (words.size() == 1) return result;
    connection->send_reply(now, handle.sequence, "+" + std::string(60'000, 'a') + "\r\n");
    return {};
  }
  std::shared_ptr<ClientConnection> connection;
};

// Guards against buffered commands that are never dispatched: dispatching stops at a limit, all replies are
// written at once, and no later event would resume it.
TEST(ClientConnection, ResumesBufferedCommandsWhenAllRepliesAreWrittenAtOnce) {
  LargeReplyCallbacks callbacks;
  ClientTotals totals;
  callbacks.connection = std::make_shared<ClientConnection>(callbacks, totals, 1, 0);
  auto stream = std::make_unique<FakeStream>(*callbacks.connection);
  FakeStream& peer = *stream;
  callbacks.connection->start(std::move(stream));
  std::string commands;
  for (int i = 0; i < 64; ++i) commands += emulators::command({"PING"});
  for (int i = 0; i < 20; ++i) commands += emulators::command({"PING", "large"});
  peer.arrive(1, commands);
  ASSERT_EQ(callbacks.sequences.size(), 64u);
  for (const auto sequence : std::vector(callbacks.sequences))
    callbacks.connection->send_reply(2, sequence, "+PONG\r\n");
  callbacks.connection->on_posted(2);
  EXPECT_EQ(callbacks.sequences.size(), 84u);
  callbacks.connection.reset();
}

// Guards against clients that are all rejected as one too many sends a large command: only as many as there
// is no memory for are, as each frees its own at once.
TEST(ClientConnection, AnIncompleteCommandThatIsRejectedFreesItsMemory) {
  constexpr std::size_t kClients = 10, kFitting = 6, kBufferBytes = 64 * 1024;
  ClientTotals totals;
  // A quarter is for commands; the half is for buffers that are small or about to be rejected.
  totals.memory.set_limit(4 * (kFitting * kBufferBytes + kBufferBytes / 2));
  std::vector<RecordingCallbacks> callbacks(kClients);
  std::vector<std::shared_ptr<ClientConnection>> connections;
  std::vector<FakeStream*> peers;
  const std::string half = "*2\r\n$1\r\na\r\n$60000\r\n" + std::string(40'000, 'b');
  for (RecordingCallbacks& client : callbacks) {
    connections.push_back(std::make_shared<ClientConnection>(client, totals, 1, 0));
    auto stream = std::make_unique<FakeStream>(*connections.back());
    peers.push_back(stream.get());
    connections.back()->start(std::move(stream));
    peers.back()->arrive(1, half);
  }
  const std::string rest = std::string(20'000, 'b') + "\r\n";
  for (FakeStream* peer : peers) peer->arrive(2, rest.substr(0, 10'000));
  for (FakeStream* peer : peers) peer->arrive(3, rest.substr(10'000));
  std::size_t complete = 0;
  for (const RecordingCallbacks& client : callbacks) complete += client.sequences.size();
  EXPECT_EQ(complete, kFitting);
}

// Guards against replies that fill the memory behind commands that get no answer: commands that would have to
// wait stay unread, and get their replies once the ones before them have theirs.
TEST(ClientConnection, RepliesBehindUnansweredCommandsStayWithinTheMemoryOfAll) {
  constexpr std::size_t kClients = 30, kLargeReplies = 63, kLimitBytes = std::size_t{96} << 20;
  std::string commands = emulators::command({"PING"});
  for (std::size_t i = 0; i < kLargeReplies; ++i) commands += emulators::command({"PING", "large"});
  ClientTotals totals;
  std::vector<LargeReplyCallbacks> callbacks(kClients);
  std::vector<FakeStream*> peers;
  std::size_t replies = 0;
  for (LargeReplyCallbacks& client : callbacks) {
    client.connection = std::make_shared<ClientConnection>(client, totals, 1, 0);
    auto stream = std::make_unique<FakeStream>(*client.connection);
    peers.push_back(stream.get());
    client.connection->start(std::move(stream));
    peers.back()->arrive(1, commands);
    ASSERT_GE(client.sequences.size(), 1u);
    replies += client.sequences.size() - 1;
  }
  EXPECT_LE(replies * 60'000, kLimitBytes);
  for (LargeReplyCallbacks& client : callbacks) {
    client.connection->send_reply(2, 0, "+PONG\r\n");
    client.connection->on_posted(2);
    EXPECT_EQ(client.sequences.size(), kLargeReplies + 1);
    EXPECT_TRUE(client.connection->is_idle());
    client.connection.reset();
  }
}

// Each reason for closing, and the states that forbid it.
TEST(CloseRules, ForbidClosingWithPendingRepliesOrUnreadBytes) {
  const ConnectionState inactive{.has_replied = true, .inactive_ms = 60'000, .command_awaited_ms = 60'000};
  const auto with = [&](auto change) {
    ConnectionState state = inactive;
    change(state);
    return state;
  };
  const std::initializer_list<CloseReason> gateway_reasons{
      CloseReason::kNoCommand, CloseReason::kIncompleteCommand, CloseReason::kIdle, CloseReason::kDrain,
      CloseReason::kEvicted};
  for (const CloseReason reason : gateway_reasons) {
    const auto satisfy = [&](ConnectionState& state) {
      state.has_replied = reason != CloseReason::kNoCommand;
      state.command_incomplete = reason == CloseReason::kIncompleteCommand;
    };
    EXPECT_TRUE(may_close(reason, with(satisfy))) << int(reason);
    EXPECT_FALSE(may_close(reason, with([&](auto& state) {
                             satisfy(state);
                             state.reply_pending = true;
                           })))
        << int(reason);
    EXPECT_FALSE(may_close(reason, with([&](auto& state) {
                             satisfy(state);
                             state.has_unread_bytes = true;
                           })))
        << int(reason);
    EXPECT_FALSE(may_close(reason, with([&](auto& state) {
                             satisfy(state);
                             state.has_unacknowledged_bytes = true;
                           })))
        << int(reason);
    if (reason == CloseReason::kEvicted) continue;
    EXPECT_FALSE(may_close(reason, with([&](auto& state) {
                             satisfy(state);
                             state.inactive_ms = 99;
                             state.command_awaited_ms = 99;
                           })))
        << int(reason);
  }
  for (const CloseReason reason : {CloseReason::kClientClosed, CloseReason::kWriteFailed}) {
    EXPECT_TRUE(may_close(reason, with([](auto& state) {
                            state.reply_pending = true;
                            state.has_unread_bytes = true;
                          })));
  }
  EXPECT_FALSE(may_close(CloseReason::kStalled, with([](auto& state) {
                           state.reply_pending = true;
                           state.inactive_ms = 9000;
                         })));
  EXPECT_FALSE(may_close(CloseReason::kAfterLastReply, inactive));
  EXPECT_FALSE(may_close(CloseReason::kAfterLastReply, with([](auto& state) {
                           state.send_closed = true;
                           state.reply_pending = true;
                         })));
  EXPECT_FALSE(may_close(CloseReason::kIdle, with([](auto& state) { state.command_incomplete = true; })));
  EXPECT_FALSE(may_close(CloseReason::kDrain, with([](auto& state) { state.command_incomplete = true; })));
}

// One command has been answered with a reply of 1,000 bytes at time 0.
struct AnsweredFixture : ConnectionFixture {
  AnsweredFixture() {
    peer->arrive(0, emulators::command({"PING"}));
    peer->unacknowledged = 1000;
    connection->send_reply(0, 0, "+" + std::string(997, 'a') + "\r\n");
  }
};

// Guards against an answer that is cut while its client reads it: the socket had taken all of it, and the
// idle timeout counted from then.
TEST(ClientConnection, IsNotIdleWhileItsReplyHasNotReachedTheClient) {
  AnsweredFixture client;
  for (Ms now = 100; now <= 9'000; now += 100) {
    client.peer->unacknowledged = static_cast<std::size_t>(1000 - now / 10);
    client.connection->close_if_timed_out(now);
    client.connection->start_draining(now);
    client.connection->close(now, CloseReason::kEvicted);
    ASSERT_FALSE(client.peer->closed) << now;
  }
  client.peer->unacknowledged = 0;
  client.connection->close_if_timed_out(9'100);
  EXPECT_FALSE(client.peer->closed);
  client.connection->close_if_timed_out(9'200);
  EXPECT_TRUE(client.peer->closed);
  EXPECT_EQ(client.closed(CloseReason::kDrain), 1u);
}

TEST(ClientConnection, IsClosedOnceItsClientHasReadNothingOfTheReplyForLong) {
  AnsweredFixture client;
  client.connection->close_if_timed_out(10'000);
  EXPECT_FALSE(client.peer->closed);
  client.connection->close_if_timed_out(10'100);
  EXPECT_EQ(client.closed(CloseReason::kStalled), 1u);
}

// Guards against a lingering close that resets the connection while the last reply is still on its way.
TEST(ClientConnection, LingersUntilTheLastReplyHasReachedTheClient) {
  AnsweredFixture client;
  client.connection->close_after_next_reply();
  client.peer->arrive(10, emulators::command({"PING"}));
  client.connection->send_reply(20, 1, "+PONG\r\n");
  for (Ms now = 100; now <= 4'000; now += 100) {
    client.peer->unacknowledged = now < 2'000 ? 1000 : 500;  // pauses for longer than the linger timeout
    client.connection->close_if_timed_out(now);
    ASSERT_FALSE(client.peer->closed) << now;
  }
  client.peer->unacknowledged = 0;
  client.connection->close_if_timed_out(4'100);
  client.connection->close_if_timed_out(4'600);
  EXPECT_FALSE(client.peer->closed);
  client.connection->close_if_timed_out(4'700);
  EXPECT_EQ(client.closed(CloseReason::kAfterLastReply), 1u);
  EXPECT_EQ(client.totals.forbidden_closes, 0u);
}

// Guards against a timeout that starts too late: a short read leaves the rest of a command in the socket,
// where it has been since that read.
TEST(ClientConnection, CountsElapsedTimeOfBytesLeftByAShortRead) {
  ConnectionFixture client;
  const auto ping = emulators::command({"PING"});
  client.peer->unread = ping.size() - 3;
  client.peer->arrive(100, ping.substr(0, 3));
  client.peer->unread = 0;
  client.peer->arrive(400, ping.substr(3));
  ASSERT_EQ(client.callbacks.elapsed.size(), 1u);
  EXPECT_EQ(client.callbacks.elapsed[0], 300);
  // A command whose rest was still in transit at that read arrives with this rest.
  client.peer->arrive(1000, ping.substr(0, 3));
  client.peer->arrive(1400, ping.substr(3));
  ASSERT_EQ(client.callbacks.elapsed.size(), 2u);
  EXPECT_EQ(client.callbacks.elapsed[1], 0);
}

}  // namespace
}  // namespace cometfold::resp
