// When a client connection may be closed, and for which reason. Whoever closes one consults these rules, and
// `ClientConnection::close` does so once more. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::resp {

enum class CloseReason : std::uint8_t {
  kClientClosed,       // the client has ended it or has disconnected
  kWriteFailed,        // the client has disconnected, as a write showed
  kStalled,            // the client reads nothing of its replies
  kNoCommand,          // no command came
  kIncompleteCommand,  // the rest of a command did not come
  kIdle,               // no further command came
  kDrain,              // unused while this gateway drains or stops
  kAfterLastReply,     // the last reply on it is written
  kEvicted,            // closed to free capacity for another connection
};
// Exported as metric labels, in the order of `CloseReason`.
inline constexpr std::string_view kCloseReasonNames[] = {
    "client", "write_failed", "stalled", "silent", "half_command", "idle", "drain", "after_last", "no_room"};
inline constexpr std::size_t kCloseReasonCount = std::size(kCloseReasonNames);

inline constexpr Ms kStalledTimeoutMs = 10'000;
// Clients may expect a command, an error or a close within 3 s of connecting, and an incomplete command may
// be large and slow. Idle connections may go after 2 s.
inline constexpr Ms kFirstCommandTimeoutMs = 2'300;
inline constexpr Ms kIncompleteCommandTimeoutMs = 2'500;
inline constexpr Ms kIdleTimeoutMs = 2'300;
// After a connect or a reply: the next request may be on its way.
inline constexpr Ms kRecentActivityMs = 100;

// What the rules need to know of a connection.
struct ConnectionState {
  bool reply_pending = false;       // a reply, the rest of one, or one to a buffered command
  bool has_unread_bytes = false;    // bytes have arrived that are not read yet
  bool command_incomplete = false;  // the rest of a command is awaited
  bool has_replied = false;         // it has had a reply
  bool send_closed = false;         // the last reply is written, and sending is shut down
  Ms inactive_ms = 0;               // milliseconds since its last progress
  Ms command_awaited_ms = 0;        // milliseconds since the next command is awaited or incomplete
};

// A pending reply or unread bytes would be lost with the connection. Only what its client does, or fails to
// do, is reason enough then.
inline bool may_close(CloseReason reason, const ConnectionState& state) {
  const bool unused = !state.reply_pending && !state.has_unread_bytes;
  switch (reason) {
    case CloseReason::kClientClosed:
    case CloseReason::kWriteFailed:
      return true;
    case CloseReason::kStalled:
      return state.inactive_ms > kStalledTimeoutMs;
    case CloseReason::kNoCommand:
      return unused && !state.has_replied && state.command_awaited_ms > kFirstCommandTimeoutMs;
    case CloseReason::kIncompleteCommand:
      return unused && state.command_incomplete && state.command_awaited_ms > kIncompleteCommandTimeoutMs;
    case CloseReason::kIdle:
      return unused && !state.command_incomplete && state.inactive_ms > kIdleTimeoutMs;
    case CloseReason::kDrain:
      return unused && !state.command_incomplete && !state.send_closed &&
             state.inactive_ms >= kRecentActivityMs;
    case CloseReason::kAfterLastReply:
      return state.send_closed && !state.reply_pending;
    case CloseReason::kEvicted:
      return unused;
  }
  return false;
}

}  // namespace cometfold::resp
