// Timeouts and closing of a client connection, by the rules of `may_close`.
#include "resp/client_connection.h"

namespace cometfold::resp {
namespace {

// Time for the client to close after the last reply has reached its system.
constexpr Ms kLingerTimeoutMs = 500;

}  // namespace

// Buffered commands of a paused connection must be answered, although they have no slot yet.
int ClientConnection::eviction_priority() const {
  if (!replies_.empty() || paused_) return 0;
  if (lingering_) return 3;
  if (is_silent()) return 1;
  if (is_idle()) return 2;
  return replies_.output_empty() ? 1 : 0;
}

ConnectionState ClientConnection::state(Ms now) const {
  return {.reply_pending = is_reply_pending(),
          .has_unread_bytes = stream_->unread_bytes() > 0,
          .has_unacknowledged_bytes = awaits_acknowledgement_ && stream_->unacknowledged_bytes() > 0,
          .command_incomplete = !input_.empty(),
          .has_replied = replies_.has_replied(),
          .send_closed = lingering_,
          .inactive_ms = now - last_progress_,
          .command_awaited_ms = input_.command_awaited_for(now)};
}

bool ClientConnection::awaits_delivery() const {
  const bool value_begun = replies_.streams_value() && replies_.first().begun;
  return value_begun || !replies_.output_empty() ||
         (awaits_acknowledgement_ && stream_->unacknowledged_bytes() > 0);
}

bool ClientConnection::is_reply_pending() const {
  const bool commands_wait = paused_ && !value_aborted_ && !input_.empty();
  return !replies_.empty() || !replies_.output_empty() || commands_wait;
}

// Closes the connection for the first of these reasons that the rules allow. Returns whether it was closed.
bool ClientConnection::close_if_allowed(Ms now, std::initializer_list<CloseReason> reasons) {
  const ConnectionState current = state(now);
  for (const CloseReason reason : reasons) {
    if (!may_close(reason, current)) continue;
    close(now, reason);
    return true;
  }
  return false;
}

// A new connection may have its first request in transit, and one with unread bytes has already received it.
// Both are served first.
void ClientConnection::start_draining(Ms now) {
  close_after_reply_ = true;
  draining_ = true;
  close_if_allowed(now, {CloseReason::kDrain});
}

void ClientConnection::finish(Ms now) {
  finishing_ = true;
  close_after_reply_ = true;
  if (!closed_ && !value_aborted_ && replies_.output_empty()) linger_if_done(now);
}

// Without these timeouts idle and silent clients would occupy the connection table forever.
void ClientConnection::close_if_timed_out(Ms now) {
  if (closed_) return;
  if (paused_ && stream_->peer_closed()) return close(now, CloseReason::kClientClosed);
  note_acknowledgements(now);
  if (lingering_) return close_if_lingered(now);
  if (value_aborted_) {
    close_if_allowed(now, {CloseReason::kValueAborted, CloseReason::kStalled});
    return;
  }
  begin_value_if_due(now);
  if (is_value_too_late(now)) callbacks_.on_value_too_late(now, replies_.first().command.request_id);
  const bool client_must_read = !replies_.output_empty() || (awaits_acknowledgement_ && replies_.empty());
  if (client_must_read && close_if_allowed(now, {CloseReason::kStalled})) return;
  if (!is_reply_pending()) {
    if (close_if_allowed(now, {CloseReason::kNoCommand, CloseReason::kIncompleteCommand, CloseReason::kIdle}))
      return;
    if (draining_) close_if_allowed(now, {CloseReason::kDrain});
  }
  if (!closed_ && paused_) process_input(now);
}

void ClientConnection::close_if_lingered(Ms now) {
  if (now - last_progress_ <= kLingerTimeoutMs) return;
  close_if_allowed(now, {CloseReason::kAfterLastReply, CloseReason::kStalled});
}

// A socket takes far more bytes than a client has read. Until they have all reached the client's system, each
// part that does is progress.
void ClientConnection::note_acknowledgements(Ms now) {
  if (!awaits_acknowledgement_) return;
  const std::size_t bytes = stream_->unacknowledged_bytes();
  if (bytes < unacknowledged_bytes_) touch(now);
  unacknowledged_bytes_ = bytes;
  awaits_acknowledgement_ = bytes > 0;
}

void ClientConnection::close(Ms now, CloseReason reason) {
  if (closed_) return;
  if (!may_close(reason, state(now))) {
    ++totals_.forbidden_closes;
    return;
  }
  closed_ = true;
  ++totals_.closed_by_reason[static_cast<std::size_t>(reason)];
  stream_->close();
  input_.release_accounting();
  replies_.release_accounting();
  const auto self = shared_from_this();  // the owner releases it in `on_closed`
  callbacks_.on_closed(id_);
  for (const ReplySlot& slot : replies_.take_slots()) {
    if (slot.command.request_id != 0) callbacks_.on_client_disconnected(now, slot.command.request_id);
  }
  release_flushed_identities();
}

void ClientConnection::linger_if_done(Ms now) {
  // Commands in the buffer of a paused connection or in the socket have already arrived: closing now would
  // leave them without a reply.
  if (!close_after_reply_ || !replies_.empty() || dispatching_ || paused_) return;
  // The rest of an incomplete command may be in transit.
  const bool is_complete = input_.empty() || finishing_;
  const bool takes_no_more = input_rejected_ || input_ended_;
  if (takes_no_more || (stream_->unread_bytes() == 0 && is_complete)) linger(now);
}

// Lingering close: closing a socket with unread bytes sends a reset, which may destroy the last reply in
// transit. After a protocol error, further bytes are read and discarded. Otherwise a request that crosses the
// close, or that stands behind too many errors, stays unread, as its reply could no longer be sent; the
// client may send it elsewhere.
void ClientConnection::linger(Ms now) {
  if (lingering_) return;
  lingering_ = true;
  last_progress_ = now;
  awaits_acknowledgement_ = true;  // of the end of the stream
  stream_->shutdown_send();
  if (input_rejected_) {
    read();
  } else {
    stream_->await_peer_close();
  }
}

}  // namespace cometfold::resp
