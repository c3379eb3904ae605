// When a client's connection may be closed, and for what. The one place that says so: whoever closes one asks
// it, and `ClientConnection::close` once more. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::resp {

// Why a client's connection is closed.
enum class CloseReason : std::uint8_t {
  kClientClosed,       // its client has gone
  kWriteFailed,        // ... as a write showed
  kStalled,            // its client takes in nothing of its answers
  kNoCommand,          // no command came
  kIncompleteCommand,  // half of one came, and not the rest
  kIdle,               // nothing more came
  kDrain,              // unused while this gateway drains or stops
  kAfterLastReply,     // the last answer on it is out
  kEvicted,            // it gave way to another
};
inline constexpr std::string_view kCloseReasonNames[] = {
    "client", "write_failed", "stalled", "silent", "half_command", "idle", "drain", "after_last", "no_room"};
inline constexpr std::size_t kCloseReasonCount = std::size(kCloseReasonNames);

inline constexpr Ms kStalledTimeoutMs = 10'000;  // a client that takes in nothing of its answers for so long
// A client is owed a command, an error or a close within 3 s of its connecting, and half a command may be
// large and slow. What is idle may go after 2 s; clients that still come use their connections more often.
inline constexpr Ms kFirstCommandTimeoutMs = 2'300;
inline constexpr Ms kIncompleteCommandTimeoutMs = 2'500;
inline constexpr Ms kIdleTimeoutMs = 2'300;
// Since it connected or had its last answer: its next request may be on its way.
inline constexpr Ms kRecentActivityMs = 100;

// A connection, as far as its end depends on it.
struct ConnectionState {
  bool reply_pending = false;       // an answer, the rest of one, or one to a command that was read
  bool has_unread_bytes = false;    // bytes have come that nobody has read
  bool command_incomplete = false;  // half a command is here
  bool has_replied = false;         // it has had an answer
  bool send_closed = false;         // the last answer is out, and this side has ended its sending
  Ms inactive_ms = 0;               // milliseconds since its last progress
  Ms command_awaited_ms = 0;        // ... since the next command is awaited or half here
};

// Danger: whatever is owed or unread would be lost with the connection. Only what its client does itself, or
// no longer does, is reason enough then.
inline bool may_close(CloseReason why, const ConnectionState& c) {
  const bool unused = !c.reply_pending && !c.has_unread_bytes;
  switch (why) {
    case CloseReason::kClientClosed:
    case CloseReason::kWriteFailed:
      return true;
    case CloseReason::kStalled:
      return c.inactive_ms > kStalledTimeoutMs;
    case CloseReason::kNoCommand:
      return unused && !c.has_replied && c.command_awaited_ms > kFirstCommandTimeoutMs;
    case CloseReason::kIncompleteCommand:
      return unused && c.command_incomplete && c.command_awaited_ms > kIncompleteCommandTimeoutMs;
    case CloseReason::kIdle:
      return unused && !c.command_incomplete && c.inactive_ms > kIdleTimeoutMs;
    case CloseReason::kDrain:
      return unused && !c.command_incomplete && !c.send_closed && c.inactive_ms >= kRecentActivityMs;
    case CloseReason::kAfterLastReply:
      return c.send_closed && !c.reply_pending;
    case CloseReason::kEvicted:
      return unused;
  }
  return false;
}

}  // namespace cometfold::resp
