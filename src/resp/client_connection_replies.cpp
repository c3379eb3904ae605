// Writing of replies to a client connection.
#include <string>
#include <utility>

#include "engine/faults.h"
#include "resp/client_connection.h"
#include "resp/resp_writer.h"

namespace cometfold::resp {
using engine::mutant;
using engine::Mutant;

namespace {

constexpr std::size_t kMaxConsecutiveErrors = 8;  // of one connection, before it is closed
constexpr std::string_view kNoMemoryReply = "-ERR no memory for the reply\r\n";

}  // namespace

ReplySlot* ClientConnection::find_incomplete(std::uint64_t sequence) {
  return closed_ || value_aborted_ ? nullptr : replies_.find_incomplete(sequence);
}

void ClientConnection::send_reply(Ms now, std::uint64_t sequence, std::string_view reply) {
  ReplySlot* slot = find_incomplete(sequence);
  if (!slot) return;
  if (slot->begun) return abort_value(*slot);
  replies_.clear_buffer(*slot);  // of a streamed value that the reply replaces
  const bool waits = !replies_.is_first(sequence);
  const std::string_view sent = reply_within_memory(reply, waits);
  replies_.complete(*slot);
  const CommandResult command = std::exchange(slot->command, CommandResult{});
  if (command.is_request) totals_.memory.record_reply(reply.size());
  if (waits && !mutant(Mutant::kRepliesOutOfOrder)) {
    replies_.buffer(*slot, sent);
    return hold_identity(command);
  }
  complete_first_reply(now, command, sent);
}

// The last resort if replies are larger than expected: the client gets an error instead, but it gets one.
std::string_view ClientConnection::reply_within_memory(std::string_view reply, bool waits) {
  if (totals_.memory.has_room_for_reply(reply.size(), waits)) return reply;
  ++totals_.dropped_replies;
  return kNoMemoryReply;
}

// `bytes`: the whole reply, or the last part of a streamed one.
void ClientConnection::complete_first_reply(Ms now, const CommandResult& command, std::string_view bytes) {
  append_output(now, bytes);
  flush_complete_replies(now);
  if (!dispatching_) write(now);
  if (!replies_.output_empty()) hold_identity(command);
  if (paused_ && !replies_.streams_value()) resume_later();
}

void ClientConnection::append_output(Ms now, std::string_view bytes) {
  if (replies_.output_empty()) touch(now);
  replies_.append_output(bytes);
}

void ClientConnection::flush_complete_replies(Ms now) {
  const bool output_was_empty = replies_.output_empty();
  replies_.flush_complete();
  if (output_was_empty && !replies_.output_empty()) touch(now);
  if (!replies_.streams_value()) return;
  start_first_value(now);
  if (replies_.first().awaits_capacity && !std::exchange(capacity_notice_posted_, true)) stream_->post();
}

// A client that sends only invalid commands would use CPU time that other clients need, so it is
// disconnected. What it has sent behind them and has been read is still answered.
void ClientConnection::send_error(Ms now, std::uint64_t sequence, std::string_view message) {
  std::string reply;
  append_error(reply, message);
  if (++consecutive_errors_ >= kMaxConsecutiveErrors) {
    input_ended_ = true;
    close_after_reply_ = true;
  }
  send_reply(now, sequence, reply);
}

// An identity stays in use until the reply is fully written. Otherwise another request with the same identity
// could be served meanwhile, and two clients could not distinguish their replies.
void ClientConnection::hold_identity(const CommandResult& command) {
  if (!command.is_request || closed_ || mutant(Mutant::kReleasesIdentityEarly)) return;
  replies_.hold_identity(command.identity);
  callbacks_.on_reply_pending(command.identity);
}

void ClientConnection::release_flushed_identities() {
  for (const auto identity : replies_.take_unflushed_identities()) callbacks_.on_reply_flushed(identity);
}

// The connection is closed in `on_posted`, because replies are often sent from inside the engine, which is
// not reentrant.
void ClientConnection::fail_write() {
  if (std::exchange(write_failed_, true)) return;
  stream_->post();
}

// Writes as much as the stream accepts; `on_writable` continues.
void ClientConnection::write(Ms now) {
  if (closed_ || write_blocked_ || write_failed_) return;
  if (!write_output(now)) return;
  replies_.clear_output();
  // Identities of replies that wait behind earlier ones are released together with those, as there are few.
  if (!replies_.has_complete_slot()) release_flushed_identities();
  linger_if_done(now);
}

// Returns true once the whole output is written.
bool ClientConnection::write_output(Ms now) {
  while (replies_.unwritten_size() > 0) {
    const auto result = stream_->write(replies_.unwritten());
    if (result.blocked) {
      write_blocked_ = true;
      stream_->await_writable();
      return false;
    }
    if (result.disconnected) {
      fail_write();
      return false;
    }
    replies_.mark_written(result.bytes);
    awaits_acknowledgement_ = true;
    touch(now);
  }
  return true;
}

void ClientConnection::on_writable(Ms now, bool ok) {
  write_blocked_ = false;
  if (closed_) return;
  if (!ok) return close(now, CloseReason::kWriteFailed);
  write(now);
  notify_capacity(now);
  if (!closed_ && paused_) process_input(now);
}

}  // namespace cometfold::resp
