// Streamed values of a client connection: when a value is begun, and what happens if it can't be finished.
// docs/design/0012-values-with-replies-behind.md gives the reasons.
#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "resp/client_connection.h"

namespace cometfold::resp {
namespace {

// Bytes of a streamed value that are accepted ahead of what the client reads; the second applies while memory
// is scarce.
constexpr std::size_t kMaxValueAheadBytes = std::size_t{48} * 1024;
constexpr std::size_t kMaxScarceValueAheadBytes = std::size_t{4} * 1024;
// A value is held for at most this time while replies wait behind it. Holding one back for 2 s would fail it.
constexpr Ms kMaxValueHoldMs = 1'500;
// A host that has sent nothing of a value for this long has paused; the second applies after the deadline.
constexpr Ms kHostPauseMs = 1'000;
constexpr Ms kLateHostPauseMs = 250;
// A reply that begins up to this long after its request's deadline is late, but not lost.
constexpr Ms kLateReplyMs = 500;
// A held value is begun this long before it would be lost, as the end of the hold is noticed in sweeps.
constexpr Ms kLateReplyMarginMs = 250;
// Hosts may become slower by this factor in the middle of a value that must come whole.
constexpr double kToleratedSlowdown = 1.5;

}  // namespace

void ClientConnection::start_value(Ms now, std::uint64_t sequence, std::size_t size,
                                   const std::optional<engine::CompletionBound>& bound) {
  ReplySlot* slot = find_incomplete(sequence);
  if (!slot) return;
  slot->streamed = true;
  slot->value_size = size;
  slot->completion_bound = bound;
  replies_.buffer(*slot, "$" + std::to_string(size) + "\r\n");
  if (replies_.is_first(sequence)) start_first_value(now);
}

// Further commands would be lost with the value if its host fails, so they are left unread until it is
// complete.
void ClientConnection::start_first_value(Ms now) {
  const bool commands_wait = (paused_ || dispatching_) && !input_.empty();
  const bool others_wait = replies_.size() > 1 || commands_wait;
  const ReplySlot& first = replies_.first();
  // The time for which a reply waits for those before it does not count.
  const Ms due = std::max(first.command.expires_at, now) + kLateReplyMs;
  value_arrived_at_ = now;
  value_pace_.start(now, first.value_size, first.bytes.size());
  value_given_up_at_ = std::min(now + kMaxValueHoldMs, due - kLateReplyMarginMs);
  value_held_until_ = others_wait ? value_given_up_at_ : now;
  paused_ = true;
  input_.set_more_available();
  read();
  begin_value_if_due(now);
}

// If the value breaks once it is begun, the replies behind it are lost with the connection. So a value whose
// host has paused is not begun before its next bytes come, however long it has been held.
bool ClientConnection::must_hold_value(Ms now) {
  const ReplySlot& first = replies_.first();
  if (first.completion_bound && must_await_completion(now, *first.completion_bound)) return true;
  if (!totals_.memory.may_hold_values()) return false;
  const bool is_late = now >= replies_.first().command.expires_at;
  const Ms pause = is_late ? kLateHostPauseMs : kHostPauseMs;
  return now < value_held_until_ || now - value_arrived_at_ >= pause;
}

void ClientConnection::begin_value_if_due(Ms now) {
  if (!replies_.streams_value() || replies_.first().begun || must_hold_value(now)) return;
  if (replies_.output_empty()) touch(now);
  replies_.begin_value();
  if (!dispatching_) write(now);
  if (replies_.first().awaits_capacity && !std::exchange(capacity_notice_posted_, true)) stream_->post();
}

// The end of the process cuts a value off that has been begun and whose rest does not come before it. Until
// then an error can take its place.
bool ClientConnection::must_await_completion(Ms now, const engine::CompletionBound& bound) const {
  if (bound.is_cut_excused) {
    return totals_.memory.may_hold_values() && !value_pace_.completes_by(now, bound.deadline, 1);
  }
  return !value_pace_.completes_by(now, bound.deadline, kToleratedSlowdown);
}

bool ClientConnection::is_value_too_late(Ms now) {
  if (!replies_.streams_value() || replies_.first().begun) return false;
  const auto& bound = replies_.first().completion_bound;
  return bound && now >= value_given_up_at_ && must_await_completion(now, *bound);
}

bool ClientConnection::append_value(Ms now, std::uint64_t sequence, std::string_view bytes) {
  ReplySlot* slot = find_incomplete(sequence);
  if (!slot || write_failed_) return true;
  if (slot->begun) {
    append_output(now, bytes);
    if (!dispatching_) write(now);
  } else {
    replies_.buffer(*slot, bytes);
    if (replies_.is_first(sequence)) {
      value_arrived_at_ = now;
      value_pace_.add(now, bytes.size());
      begin_value_if_due(now);
    }
  }
  slot->awaits_capacity = value_bytes_ahead(*slot, replies_.is_first(sequence)) >= max_value_bytes_ahead();
  return !slot->awaits_capacity;
}

std::size_t ClientConnection::max_value_bytes_ahead() const {
  return totals_.memory.is_scarce() ? kMaxScarceValueAheadBytes : kMaxValueAheadBytes;
}

// A held value is bounded by `must_hold_value` instead, as only its end lets it go on, unless it must not
// begin before it is sure to come whole.
std::size_t ClientConnection::value_bytes_ahead(const ReplySlot& slot, bool is_first) const {
  if (slot.begun) return replies_.unwritten_size();
  const bool is_bounded = !is_first || (slot.completion_bound && !totals_.memory.may_hold_values());
  return is_bounded ? slot.bytes.size() : 0;
}

void ClientConnection::finish_value(Ms now, std::uint64_t sequence) {
  ReplySlot* slot = find_incomplete(sequence);
  if (!slot || write_failed_) return;
  const CommandResult command = std::exchange(slot->command, CommandResult{});
  replies_.complete(*slot);
  slot->awaits_capacity = false;
  if (slot->begun) return complete_first_reply(now, command, "\r\n");
  replies_.buffer(*slot, "\r\n");
  if (!replies_.is_first(sequence)) return hold_identity(command);
  complete_first_reply(now, command, {});
}

bool ClientConnection::withdraw_value(Ms, std::uint64_t sequence) {
  ReplySlot* slot = find_incomplete(sequence);
  if (!slot || !slot->streamed || slot->begun) return false;
  replies_.clear_buffer(*slot);
  slot->streamed = false;
  slot->awaits_capacity = false;
  return true;
}

void ClientConnection::notify_capacity(Ms now) {
  if (closed_ || replies_.empty() || !replies_.first().awaits_capacity) return;
  if (replies_.first().begun && replies_.unwritten_size() >= max_value_bytes_ahead() / 2) return;
  replies_.first().awaits_capacity = false;
  callbacks_.on_client_writable(now, replies_.first().command.request_id);
}

// The rest happens in `on_posted`, as this may be called from inside the engine, which is not reentrant.
void ClientConnection::abort_value(ReplySlot& slot) {
  slot.command = {};
  value_aborted_ = true;
  stream_->post();
}

// What precedes the value is written out first: a close over unread bytes would reset the connection before
// the client has it.
void ClientConnection::end_after_abort(Ms now) {
  const auto self = shared_from_this();
  for (const ReplySlot& slot : replies_.take_slots()) {
    if (slot.command.request_id != 0) callbacks_.on_client_disconnected(now, slot.command.request_id);
  }
  write(now);
  if (!closed_) close_if_allowed(now, {CloseReason::kValueAborted});
}

}  // namespace cometfold::resp
