#include "resp/client_connection.h"

#include <string>
#include <utility>

#include "resp/resp_writer.h"

namespace cometfold::resp {

namespace {

constexpr std::size_t kMaxPendingCommands = 64;  // per connection: commands without a complete reply
constexpr std::size_t kMaxUnwrittenBytes = std::size_t{256} * 1024;  // per connection: reply bytes

// Sets a flag for the lifetime of this object.
class ScopedFlag {
 public:
  explicit ScopedFlag(bool& flag) : flag_(flag) { flag_ = true; }
  ~ScopedFlag() { flag_ = false; }
  ScopedFlag(const ScopedFlag&) = delete;
  ScopedFlag& operator=(const ScopedFlag&) = delete;

 private:
  bool& flag_;
};

}  // namespace

ClientConnection::ClientConnection(ClientConnectionCallbacks& callbacks, ClientTotals& totals,
                                   std::uint64_t id, Ms now)
    : callbacks_(callbacks), totals_(totals), id_(id), input_(totals.memory, now), replies_(totals.memory) {
  touch(now);
}

void ClientConnection::start(std::unique_ptr<Stream> stream) {
  stream_ = std::move(stream);
  read();
}

// Many events share one reading of the clock, so connections can't be ordered by the time of their last
// progress. A counter orders them.
void ClientConnection::touch(Ms now) {
  last_progress_ = now;
  last_used_ = ++totals_.activity_counter;
}

// While a read is pending this only replaces its space, as parsing may have moved the buffer.
void ClientConnection::read() {
  if (closed_ || value_aborted_ || (lingering_ && !input_rejected_)) return;
  if (input_ended_ || replies_.streams_value()) {
    stream_->await_peer_close();
    return callbacks_.on_reads_paused();
  }
  read_pending_ = true;
  stream_->read(input_.prepare_read());
}

void ClientConnection::on_read(Ms now, std::size_t bytes, bool ended) {
  read_pending_ = false;
  if (closed_) return;
  if (ended) {
    close_if_allowed(now, {CloseReason::kAfterLastReply, CloseReason::kClientClosed});
    return;
  }
  // Incoming bytes do not count as progress of a client that does not read its replies.
  if (replies_.output_empty() && replies_.empty() && !lingering_) touch(now);
  if (input_rejected_) return read();  // discarded: closing with unread bytes would send a reset
  if (paused_) {
    input_.commit_ahead(bytes);
    if (input_.may_read_ahead()) read();
    return;
  }
  input_.commit(now, bytes, replies_.has_replied() || !replies_.empty());
  process_input(now);
  // A read may return less than has arrived: the rest of an incomplete command may be in the socket already.
  if (!closed_ && !input_.empty() && stream_->unread_bytes() > 0) input_.set_more_available();
}

// Bounds the memory for replies that wait for earlier ones, and for those that clients do not read. A command
// that waits for none is dispatched: if there is no memory for its reply, it is rejected at once.
bool ClientConnection::must_pause() const {
  const bool must_wait = !replies_.empty() || !replies_.output_empty();
  return replies_.streams_value() || replies_.size() >= kMaxPendingCommands ||
         replies_.unwritten_size() >= kMaxUnwrittenBytes ||
         (must_wait && !totals_.memory.admits_waiting_command());
}

// Posted, as a reply may be sent from inside the admission module, which is not reentrant.
void ClientConnection::resume_later() {
  if (resume_posted_ || must_pause()) return;
  resume_posted_ = true;
  stream_->post();
}

void ClientConnection::on_posted(Ms now) {
  if (write_failed_) return close(now, CloseReason::kWriteFailed);
  if (value_aborted_) return end_after_abort(now);
  if (std::exchange(capacity_notice_posted_, false)) notify_capacity(now);
  if (closed_) return;
  resume_posted_ = false;
  if (paused_) process_input(now);
}

// Commands that arrive from now on are read ahead or stay in the socket, while their timeouts already run.
void ClientConnection::pause_reads() {
  input_.set_more_available();
  callbacks_.on_reads_paused();
}

void ClientConnection::process_input(Ms now) {
  if (closed_ || lingering_ || value_aborted_) return;
  // The buffered commands of a disconnected client must not be forwarded.
  if (paused_ && stream_->peer_closed()) return close(now, CloseReason::kClientClosed);
  // If all replies are written at once there is capacity again, and no later event would resume the commands
  // that are left.
  bool more_buffered = true;
  while (more_buffered && !must_pause()) {
    paused_ = false;
    more_buffered = dispatch_commands(now);
    write(now);
    if (closed_) return;
  }
  paused_ = must_pause();
  if (paused_) pause_reads();
  if (!paused_ || read_pending_ || input_.may_read_ahead()) read();
}

// Returns true if it stopped at a limit, false if it ran out of commands or the connection accepts no more.
bool ClientConnection::dispatch_commands(Ms now) {
  const ScopedFlag dispatching(dispatching_);
  while (!closed_ && !input_rejected_ && !must_pause()) {
    const ReadResult result = input_.next(now);
    if (result == ReadResult::kNeedMore) return false;
    const ResponseHandle handle{id_, replies_.push()};
    if (result == ReadResult::kProtocolError) {
      reject_input(now, handle);
    } else {
      dispatch_command(now, handle);
    }
  }
  return !closed_ && !input_rejected_;
}

void ClientConnection::dispatch_command(Ms now, ResponseHandle handle) {
  const std::size_t errors_before = consecutive_errors_;
  const CommandResult result = callbacks_.on_command(now, handle, input_.frame().items, input_.arrival(now));
  if (closed_) return;
  if (consecutive_errors_ == errors_before) consecutive_errors_ = 0;
  if (ReplySlot* slot = find_incomplete(handle.sequence)) {
    slot->command = result;
  } else {
    hold_identity(result);  // already answered; the reply is written after this batch
  }
}

void ClientConnection::on_names_replaced(const std::shared_ptr<const CommandNames>& names) {
  if (!closed_ && !input_rejected_) input_.on_names_replaced(names, stream_->unread_bytes());
}

void ClientConnection::reject_input(Ms now, ResponseHandle handle) {
  input_rejected_ = true;
  close_after_reply_ = true;
  std::string reply;
  append_error(reply, "ERR Protocol error: " + std::string(text_of(input_.error())));
  input_.discard();  // at once: while it counts, others that are sending large commands are rejected too
  send_reply(now, handle.sequence, reply);
}

void ClientConnection::check_disconnected(Ms now) {
  if (closed_ || !reads_paused()) return;
  if (stream_->peer_closed()) {
    close(now, CloseReason::kClientClosed);
    return;
  }
  // Bytes that arrive while the socket is not read are not older than the last look at it.
  if (input_.empty() && stream_->unread_bytes() == 0) input_.set_arrival_bound(now);
  callbacks_.on_reads_paused();
}

void ClientConnection::digest(engine::Digest& into) const {
  into.add(id_);
  into.add(std::uint64_t{closed_} | std::uint64_t{read_pending_} << 1 | std::uint64_t{write_blocked_} << 2 |
           std::uint64_t{write_failed_} << 3 | std::uint64_t{paused_} << 4 |
           std::uint64_t{input_rejected_} << 5 | std::uint64_t{lingering_} << 6 |
           std::uint64_t{close_after_reply_} << 7 | std::uint64_t{resume_posted_} << 8 |
           std::uint64_t{input_ended_} << 9 | std::uint64_t{value_aborted_} << 10 |
           std::uint64_t{finishing_} << 11);
  replies_.digest(into);
}

}  // namespace cometfold::resp
