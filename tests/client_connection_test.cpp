// One client connection without sockets: what is owed on it, and what may be closed.
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

// A stream whose bytes the test hands in.
class HandStream : public Stream {
 public:
  explicit HandStream(StreamCallbacks& events) : events_(events) {}
  // For as long as it is read from; how many were taken.
  std::size_t arrive(Ms now, std::string_view bytes) {
    std::size_t taken = 0;
    while (taken < bytes.size() && std::exchange(read_, false)) {
      const auto n = std::min(bytes.size() - taken, space_.size());
      std::memcpy(space_.data(), bytes.data() + taken, n);
      taken += n;
      events_.on_read(now, n, false);
    }
    return taken;
  }
  WriteResult write(std::string_view bytes) override { return {bytes.size(), false, false}; }
  void await_writable() override {}
  void read(std::span<char> space) override {
    space_ = space;
    read_ = true;
  }
  void await_peer_close() override {}
  void post() override { ++asked_for_later; }
  std::size_t unread_bytes() override { return waiting; }
  bool is_quiet() override { return true; }
  bool peer_closed() override { return false; }
  void shutdown_send() override {}
  void close() override {}
  int asked_for_later = 0;
  std::size_t waiting = 0;  // bytes that have come and are not read

 private:
  StreamCallbacks& events_;
  std::span<char> space_;
  bool read_ = false;
};

// Answers nothing by itself.
struct Owner : ClientConnectionCallbacks {
  CommandResult on_command(Ms, ResponseHandle ticket, std::span<const Item>, Ms waits) override {
    places.push_back(ticket.sequence);
    waited.push_back(waits);
    return {places.size(), places.size(), true};
  }
  void on_reply_pending(std::uint64_t) override {}
  void on_reply_flushed(std::uint64_t) override {}
  void on_client_disconnected(Ms, std::uint64_t) override {}
  void on_closed(std::uint64_t) override {}
  std::vector<std::uint64_t> places;
  std::vector<Ms> waited;
};

// More commands came at once than may be open, and all that were open are answered in one turn. The rest has
// been read and is owed its answers, though none of it is open yet.
TEST(ClientLink, IsNotSpareWhileCommandsThatWereReadWaitForRoom) {
  Owner owner;
  ClientTotals totals;
  const auto link = std::make_shared<ClientConnection>(owner, totals, 1, 0);
  auto stream = std::make_unique<HandStream>(*link);
  HandStream& hand = *stream;
  link->start(std::move(stream));
  std::string all;
  for (int i = 0; i < 70; ++i) all += emulators::command({"PING"});
  hand.arrive(1, all);
  ASSERT_EQ(owner.places.size(), 64u);
  for (const auto place : std::vector(owner.places)) link->send_reply(2, place, "+PONG\r\n");
  ASSERT_EQ(owner.places.size(), 64u);  // the rest is read in the loop's next turn
  EXPECT_EQ(link->eviction_priority(), 0);
  link->on_posted(2);
  EXPECT_EQ(owner.places.size(), 70u);
  EXPECT_EQ(totals.forbidden_closes, 0u);
  link->close(3, CloseReason::kEvicted);
  EXPECT_EQ(totals.forbidden_closes, 1u);  // and whoever closes it is stopped, and told of
  EXPECT_EQ(totals.closed_by_reason[static_cast<std::size_t>(CloseReason::kEvicted)], 0u);
}

// Commands of a client that is held back are read ahead within the bounds of one connection and of all.
TEST(ClientLink, ReadsAheadOfAHeldBackClientWithinBounds) {
  constexpr std::size_t kOne = 512 * 1024, kAll = 200 * 1024;
  std::string commands;
  for (int i = 0; i < 64; ++i) commands += emulators::command({"PING"});
  const std::string more = commands + std::string(2 * kOne, '*');
  for (const bool scarce : {false, true}) {
    Owner owner;
    ClientTotals totals;
    if (scarce) totals.max_buffered_bytes = kAll;
    const auto link = std::make_shared<ClientConnection>(owner, totals, 1, 0);
    auto stream = std::make_unique<HandStream>(*link);
    HandStream& hand = *stream;
    link->start(std::move(stream));
    const std::size_t taken = hand.arrive(1, more);
    EXPECT_EQ(owner.places.size(), 64u);
    EXPECT_GE(taken, scarce ? kAll / 4 : kOne);
    EXPECT_LE(taken, commands.size() + (scarce ? kAll : kOne));
    EXPECT_LE(totals.buffered_bytes, scarce ? kAll : kOne);
  }
}

// Answers a command of one word with a large answer at once.
struct LargeAnswers : Owner {
  CommandResult on_command(Ms now, ResponseHandle ticket, std::span<const Item> words, Ms waits) override {
    const CommandResult named = Owner::on_command(now, ticket, words, waits);
    if (words.size() == 1) return named;
    link->send_reply(now, ticket.sequence, "+" + std::string(60'000, 'a') + "\r\n");
    return {};
  }
  std::shared_ptr<ClientConnection> link;
};

// More has been read than may be answered at once, and all answers are taken as soon as they are written:
// nothing else would go on with the rest.
TEST(ClientLink, GoesOnWithWhatHasBeenReadWhenItsAnswersAreTakenAtOnce) {
  LargeAnswers owner;
  ClientTotals totals;
  owner.link = std::make_shared<ClientConnection>(owner, totals, 1, 0);
  auto stream = std::make_unique<HandStream>(*owner.link);
  HandStream& hand = *stream;
  owner.link->start(std::move(stream));
  std::string all;
  for (int i = 0; i < 64; ++i) all += emulators::command({"PING"});
  for (int i = 0; i < 20; ++i) all += emulators::command({"PING", "large"});
  hand.arrive(1, all);
  ASSERT_EQ(owner.places.size(), 64u);
  for (const auto place : std::vector(owner.places)) owner.link->send_reply(2, place, "+PONG\r\n");
  owner.link->on_posted(2);
  EXPECT_EQ(owner.places.size(), 84u);
  owner.link.reset();
}

// Each reason, and what speaks against it.
TEST(CloseRules, NothingOwedOrUnreadIsClosedButByItsClient) {
  const ConnectionState old{.has_replied = true, .inactive_ms = 60'000, .command_awaited_ms = 60'000};
  const auto with = [&](auto change) {
    ConnectionState c = old;
    change(c);
    return c;
  };
  const std::initializer_list<CloseReason> ours{CloseReason::kNoCommand, CloseReason::kIncompleteCommand,
                                                CloseReason::kIdle, CloseReason::kDrain,
                                                CloseReason::kEvicted};
  for (const CloseReason why : ours) {
    const auto fits = [&](ConnectionState& c) {
      c.has_replied = why != CloseReason::kNoCommand;
      c.command_incomplete = why == CloseReason::kIncompleteCommand;
    };
    EXPECT_TRUE(may_close(why, with(fits))) << int(why);
    EXPECT_FALSE(may_close(why, with([&](auto& c) { fits(c), c.reply_pending = true; }))) << int(why);
    EXPECT_FALSE(may_close(why, with([&](auto& c) { fits(c), c.has_unread_bytes = true; }))) << int(why);
    if (why == CloseReason::kEvicted) continue;
    EXPECT_FALSE(may_close(why, with([&](auto& c) { fits(c), c.inactive_ms = c.command_awaited_ms = 99; })))
        << int(why);
  }
  for (const CloseReason why : {CloseReason::kClientClosed, CloseReason::kWriteFailed}) {
    EXPECT_TRUE(may_close(why, with([](auto& c) { c.reply_pending = c.has_unread_bytes = true; })));
  }
  EXPECT_FALSE(
      may_close(CloseReason::kStalled, with([](auto& c) { c.reply_pending = true, c.inactive_ms = 9000; })));
  EXPECT_FALSE(may_close(CloseReason::kAfterLastReply, old));
  EXPECT_FALSE(
      may_close(CloseReason::kAfterLastReply, with([](auto& c) { c.send_closed = c.reply_pending = true; })));
  EXPECT_FALSE(may_close(CloseReason::kIdle, with([](auto& c) { c.command_incomplete = true; })));
  EXPECT_FALSE(may_close(CloseReason::kDrain, with([](auto& c) { c.command_incomplete = true; })));
}

// A short read leaves the rest of a command in the socket, where it has been all the time.
TEST(ClientLink, CountsTheTimeOfWhatAShortReadLeft) {
  Owner owner;
  ClientTotals totals;
  const auto link = std::make_shared<ClientConnection>(owner, totals, 1, 0);
  auto stream = std::make_unique<HandStream>(*link);
  HandStream& hand = *stream;
  link->start(std::move(stream));
  const auto ping = emulators::command({"PING"});
  hand.waiting = ping.size() - 3;
  hand.arrive(100, ping.substr(0, 3));
  hand.waiting = 0;
  hand.arrive(400, ping.substr(3));
  ASSERT_EQ(owner.waited.size(), 1u);
  EXPECT_EQ(owner.waited[0], 300);
  // And one whose rest was still on its way has come when that has.
  hand.arrive(1000, ping.substr(0, 3));
  hand.arrive(1400, ping.substr(3));
  ASSERT_EQ(owner.waited.size(), 2u);
  EXPECT_EQ(owner.waited[1], 0);
}

}  // namespace
}  // namespace cometfold::resp
