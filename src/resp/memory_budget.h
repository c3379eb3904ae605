// One limit on the bytes that the connections of a gateway buffer: replies that are not written yet, commands
// that clients are sending, and replies that are being read from hosts. Does no I/O.
//
// Buffers are counted when they change. Replies are also counted ahead: each command that is under way
// reserves the size that a reply is expected to have, as its reply must be taken once its host sends it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cometfold::resp {

class MemoryBudget {
 public:
  enum class Use : std::uint8_t {
    kReplies,      // waiting behind earlier replies, held back, or not written
    kClientInput,  // commands, complete or not
    kHostInput,    // replies of hosts, complete or not
  };
  static constexpr std::size_t kUseCount = 3;
  static constexpr std::size_t kDefaultLimitBytes = std::size_t{96} * 1024 * 1024;

  void set_limit(std::size_t bytes) { limit_ = bytes; }
  std::size_t limit() const { return limit_; }

  void add(Use use, std::size_t bytes) { used_[static_cast<std::size_t>(use)] += bytes; }
  void remove(Use use, std::size_t bytes) { used_[static_cast<std::size_t>(use)] -= bytes; }
  std::size_t used(Use use) const { return used_[static_cast<std::size_t>(use)]; }
  std::size_t total() const { return used_[0] + used_[1] + used_[2]; }

  // A command is under way until its reply is complete or its connection is closed.
  void begin_command() { ++commands_; }
  void end_command() { --commands_; }
  // A reply of this size has come. Adjusts the size that later ones are expected to have.
  void record_reply(std::size_t bytes);
  // Bytes for the replies to the commands under way.
  std::size_t reserved() const { return commands_ * expected_reply_bytes_; }

  // Whether the last command that was begun may go on; otherwise it must be rejected.
  bool admits_command() const { return total() + reserved() <= limit_; }
  // Whether another command may be begun whose reply has to wait for earlier ones of its connection;
  // otherwise it must be left unread. Such replies get a part of the limit only, so that one client that
  // waits for an answer can't keep the others from theirs.
  bool admits_waiting_command() const {
    return total() + reserved() + expected_reply_bytes_ <= limit_ / kWaitingDivisor;
  }
  // Whether a reply of this size may be buffered. `waits`: behind earlier ones of its connection.
  bool has_room_for_reply(std::size_t bytes, bool waits) const;
  // Whether streamed values may be held back.
  bool may_hold_values() const { return used(Use::kReplies) < limit_ / kHeldDivisor && !is_scarce(); }
  // Clients may send large commands.
  bool admits_large_commands() const { return used(Use::kClientInput) <= max_client_input() && !is_full(); }
  // Commands may be read before they can be dispatched.
  bool may_read_ahead() const { return used(Use::kClientInput) < max_client_input() / 2 && !is_full(); }
  // Whether a buffer for a host's reply may grow by these bytes.
  bool has_room_for_host_input(std::size_t bytes) const { return total() + bytes <= limit_; }
  // More than half of the limit is used, so that buffers that can be small should be.
  bool is_scarce() const { return total() > limit_ / kWaitingDivisor; }

 private:
  static constexpr std::size_t kWaitingDivisor = 2;
  static constexpr std::size_t kHeldDivisor = 4;
  static constexpr std::size_t kFreeForFirstRepliesDivisor = 4;
  static constexpr std::size_t kClientInputDivisor = 4;

  bool is_full() const { return total() > limit_; }
  std::size_t max_client_input() const { return limit_ / kClientInputDivisor; }

  std::size_t limit_ = kDefaultLimitBytes;
  std::array<std::size_t, kUseCount> used_{};
  std::size_t commands_ = 0;  // under way
  std::size_t expected_reply_bytes_ = 0;
};

}  // namespace cometfold::resp
