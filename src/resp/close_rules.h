// Rules for closing client connections: which reason is sufficient in which state. Callers check them before
// closing, and `ClientConnection::close` checks them again. Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::resp {

enum class CloseReason : std::uint8_t {
  kClientClosed,       // the client has closed the connection or disconnected
  kWriteFailed,        // a write failed, as the client has disconnected
  kStalled,            // the client does not read its replies
  kNoCommand,          // no first command arrived
  kIncompleteCommand,  // the rest of a command did not arrive
  kIdle,               // no further command arrived
  kDrain,              // not in use while this gateway drains or stops
  kAfterLastReply,     // the last reply on it is written
  kEvicted,            // closed to free capacity for another connection
  kValueAborted,       // a streamed value that was partly written can't be finished
};
// Exported as metric labels, in the order of `CloseReason`.
inline constexpr std::string_view kCloseReasonNames[] = {
    "client", "write_failed", "stalled",    "silent",  "half_command",
    "idle",   "drain",        "after_last", "no_room", "value_aborted"};
inline constexpr std::size_t kCloseReasonCount = std::size(kCloseReasonNames);

inline constexpr Ms kStalledTimeoutMs = 10'000;
// Within 3 s of connecting, a client must have completed a command or get an error or a close. An incomplete
// command may be large and slow, so it gets more of that time. Idle connections may be closed after 2 s.
inline constexpr Ms kFirstCommandTimeoutMs = 2'300;
inline constexpr Ms kIncompleteCommandTimeoutMs = 2'500;
inline constexpr Ms kIdleTimeoutMs = 2'300;
// After a connect or a reply the next request may be in transit.
inline constexpr Ms kRecentActivityMs = 100;

// The state of a connection that the rules depend on.
struct ConnectionState {
  bool reply_pending = false;             // a reply is not fully written, or a buffered command has none
  bool has_unread_bytes = false;          // bytes have arrived but have not been read
  bool has_unacknowledged_bytes = false;  // written bytes have not reached the client's system
  bool command_incomplete = false;        // only part of a command has arrived
  bool has_replied = false;               // at least one command has been answered
  bool send_closed = false;               // the last reply is written and the send side is shut down
  Ms inactive_ms = 0;                     // milliseconds since the last progress
  Ms command_awaited_ms = 0;              // milliseconds that the next command has been awaited or incomplete
};

// A pending reply, bytes that have not reached the client or unread bytes would be lost with the connection.
// In that state only the client's disconnect or its failure to read justifies closing. Unread bytes do not
// prevent it once the send side is shut down or a value is aborted, as they could not be answered.
inline bool may_close(CloseReason reason, const ConnectionState& state) {
  const bool reply_delivered = !state.reply_pending && !state.has_unacknowledged_bytes;
  const bool unused = reply_delivered && !state.has_unread_bytes;
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
      return state.send_closed && reply_delivered;
    case CloseReason::kEvicted:
      return unused;
    case CloseReason::kValueAborted:
      return reply_delivered;
  }
  return false;
}

}  // namespace cometfold::resp
