// When a client's connection may be closed, and for what. The one place that says so: whoever closes one asks
// it, and `ClientLink::close` once more. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::resp {

// Why a client's connection is closed.
enum class CloseReason : std::uint8_t {
  kClient,       // its client has gone
  kWriteFailed,  // ... as a write showed
  kStalled,      // its client takes in nothing of its answers
  kSilent,       // no command came
  kHalfCommand,  // half of one came, and not the rest
  kIdle,         // nothing more came
  kDrain,        // unused while this gateway drains or stops
  kAfterLast,    // the last answer on it is out
  kNoRoom,       // it gave way to another
};
inline constexpr std::string_view kCloseReasonNames[] = {
    "client", "write_failed", "stalled", "silent", "half_command", "idle", "drain", "after_last", "no_room"};
inline constexpr std::size_t kCloseReasons = std::size(kCloseReasonNames);

inline constexpr Ms kStalledFor = 10'000;  // a client that takes in nothing of its answers for so long
// A client is owed a command, an error or a close within 3 s of its connecting, and half a command may be
// large and slow. What is idle may go after 2 s; clients that still come use their connections more often.
inline constexpr Ms kFirstCommandWithin = 2'300;
inline constexpr Ms kWholeCommandWithin = 2'500;
inline constexpr Ms kIdleFor = 2'300;
// Since it connected or had its last answer: its next request may be on its way.
inline constexpr Ms kJustCome = 100;

// A connection, as far as its end depends on it.
struct ConnectionState {
  bool owes = false;      // an answer, the rest of one, or one to a command that was read
  bool unread = false;    // bytes have come that nobody has read
  bool half = false;      // half a command is here
  bool answered = false;  // it has had an answer
  bool ending = false;    // the last answer is out, and this side has ended its sending
  Ms still_for = 0;       // milliseconds since its last progress
  Ms awaited_for = 0;     // ... since the next command is awaited or half here
};

// Danger: whatever is owed or unread would be lost with the connection. Only what its client does itself, or
// no longer does, is reason enough then.
inline bool may_close(CloseReason why, const ConnectionState& c) {
  const bool unused = !c.owes && !c.unread;
  switch (why) {
    case CloseReason::kClient:
    case CloseReason::kWriteFailed:
      return true;
    case CloseReason::kStalled:
      return c.still_for > kStalledFor;
    case CloseReason::kSilent:
      return unused && !c.answered && c.awaited_for > kFirstCommandWithin;
    case CloseReason::kHalfCommand:
      return unused && c.half && c.awaited_for > kWholeCommandWithin;
    case CloseReason::kIdle:
      return unused && !c.half && c.still_for > kIdleFor;
    case CloseReason::kDrain:
      return unused && !c.half && !c.ending && c.still_for >= kJustCome;
    case CloseReason::kAfterLast:
      return c.ending && !c.owes;
    case CloseReason::kNoRoom:
      return unused;
  }
  return false;
}

}  // namespace cometfold::resp
