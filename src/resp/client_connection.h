// A client connection that speaks RESP2: dispatches commands, writes their replies in order, and decides when
// it may be closed. Performs no I/O itself: the stream is injected, and each call passes the current time in
// milliseconds of one monotonic clock.
//
// `CommandInput` buffers incoming bytes and `ReplyQueue` outgoing ones. This class connects both to the
// stream and stops reading while the client does not read its replies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string_view>

#include "engine/engine.h"
#include "resp/client_totals.h"
#include "resp/close_rules.h"
#include "resp/command_input.h"
#include "resp/reply_queue.h"
#include "resp/stream.h"
#include "resp/value_pace.h"

namespace cometfold::resp {

using engine::ResponseHandle;

// Implemented by the owner of the client connections. Called from inside the connection's member functions.
class ClientConnectionCallbacks {
 public:
  virtual ~ClientConnectionCallbacks() = default;
  // Handles a well-formed command. `words` are valid until the call returns. The command may have waited
  // since its `arrival`: its timeout counts from then, and it keeps the names that it was written under.
  virtual CommandResult on_command(Ms now, ResponseHandle handle, std::span<const Item> words,
                                   const CommandArrival& arrival) = 0;
  // The reply to the request with this identity is complete but not fully written. `on_reply_flushed` follows
  // once it is written or the connection has closed.
  virtual void on_reply_pending(std::uint64_t identity) = 0;
  virtual void on_reply_flushed(std::uint64_t identity) = 0;
  // The client disconnected before the reply to this request was complete.
  virtual void on_client_disconnected(Ms now, std::uint64_t request_id) = 0;
  // More of the streamed value of this request may be appended.
  virtual void on_client_writable(Ms, std::uint64_t /*request_id*/) {}
  // The streamed value of this request has not been begun, and its rest would not come before the end of the
  // process. An error may still take its place.
  virtual void on_value_too_late(Ms, std::uint64_t /*request_id*/) {}
  virtual void on_closed(std::uint64_t connection_id) = 0;
  // Reads are paused, so a disconnect would go unnoticed: `ClientConnection::check_disconnected` must be
  // called within about 20 ms.
  virtual void on_reads_paused() {}
};

class ClientConnection : public StreamCallbacks {
 public:
  // `callbacks` and `totals` must outlive this object. `id` becomes part of each `ResponseHandle`.
  ClientConnection(ClientConnectionCallbacks& callbacks, ClientTotals& totals, std::uint64_t id, Ms now);

  // Starts reading. Must be called once, before any other member but `set_arrival_bound` and
  // `close_after_next_reply`.
  void start(std::unique_ptr<Stream> stream);
  // Bytes that can be read now may have arrived as early as `earliest`.
  void set_arrival_bound(Ms earliest) { input_.set_arrival_bound(earliest); }

  // `reply` is one complete RESP value. Does nothing if the command already has its complete reply. The only
  // callbacks to the owner from inside this call, and from those for streamed values, are `on_reply_pending`,
  // `on_reply_flushed` and `on_reads_paused`.
  void send_reply(Ms now, std::uint64_t sequence, std::string_view reply);
  // Streams a value of `size` bytes in chunks instead of `send_reply`. `append_value` returns false if the
  // bytes are accepted but no more are wanted until `ClientConnectionCallbacks::on_client_writable`.
  // A value that is the next reply is held back for a while if other replies wait behind it, and longer while
  // nothing of it comes.
  // `send_reply` before `finish_value` aborts the value: if part of it is in the output already, the
  // connection is closed once that is written, so that the client notices; replies behind it are lost.
  void start_value(Ms now, std::uint64_t sequence, std::size_t size,
                   const std::optional<engine::CompletionBound>& bound = {});
  bool append_value(Ms now, std::uint64_t sequence, std::string_view bytes);
  void finish_value(Ms now, std::uint64_t sequence);
  // Drops the value, if nothing of it is in the output, and returns whether that was so. Another value or a
  // reply must follow.
  bool withdraw_value(Ms now, std::uint64_t sequence);
  // Sends an error line for a command that is not a valid request. After too many of them in a row nothing
  // more is read, and the connection is closed once the commands that were read have their replies.
  void send_error(Ms now, std::uint64_t sequence, std::string_view message);

  // No reply is pending in this process, and no part of a command has arrived.
  bool is_idle() const {
    return replies_.empty() && replies_.output_empty() && input_.empty() && !lingering_;
  }
  // At least one command has been answered.
  bool has_replied() const { return replies_.has_replied(); }
  // The client has closed the connection, whether or not the owner has been notified.
  bool client_disconnected() const { return closed_ || stream_->peer_closed(); }
  // Bytes that have arrived but have not been read.
  std::size_t unread_bytes() const { return stream_->unread_bytes(); }
  // Part of a reply has been written or is about to be, and not all of it has reached the client's system.
  bool awaits_delivery() const;
  // No complete command has arrived yet.
  bool is_silent() const { return !replies_.has_replied() && replies_.empty() && !lingering_; }
  // Connections with larger values are closed first when a new connection needs capacity. 0: not closed, as a
  // reply is pending.
  int eviction_priority() const;
  // Input for `may_close`.
  ConnectionState state(Ms now) const;
  // Logical time of the last progress: larger is later.
  std::uint64_t last_used() const { return last_used_; }

  // `names` no longer apply to commands that arrive from now on.
  void on_names_replaced(const std::shared_ptr<const CommandNames>& names);
  // Closes after the next reply. An idle connection stays open, as a request may be in transit.
  void close_after_next_reply() { close_after_reply_ = true; }
  // Graceful shutdown: closes as soon as no reply is pending, even if the connection is idle.
  void start_draining(Ms now);
  // The end of a graceful shutdown: closes as soon as every command that has arrived whole is answered, even
  // in the middle of one that has not. May be called repeatedly.
  void finish(Ms now);
  // Closes the connection if it has timed out: no command, an incomplete command, no further command, or a
  // client that does not read its replies. Must be called a few times per second.
  void close_if_timed_out(Ms now);
  // A disconnect of the client would go unnoticed but for `check_disconnected`.
  bool reads_paused() const { return paused_ || input_ended_; }
  // Closes the connection if the client has disconnected while reads are paused.
  void check_disconnected(Ms now);
  // Does nothing if `may_close` forbids it, except to count that in `ClientTotals::forbidden_closes`.
  void close(Ms now, CloseReason reason);

  void on_connected(Ms, bool) override {}
  void on_read(Ms now, std::size_t bytes, bool ended) override;
  void on_writable(Ms now, bool ok) override;
  void on_posted(Ms now) override;
  void digest(engine::Digest& into) const;

 private:
  void touch(Ms now);

  // client_connection.cpp: reading and dispatching commands
  void read();
  void pause_reads();
  void process_input(Ms now);
  bool dispatch_commands(Ms now);
  void dispatch_command(Ms now, ResponseHandle handle);
  void reject_input(Ms now, ResponseHandle handle);
  bool must_pause() const;
  void resume_later();

  // client_connection_replies.cpp: writing replies
  ReplySlot* find_incomplete(std::uint64_t sequence);
  std::string_view reply_within_memory(std::string_view reply, bool waits);
  void append_output(Ms now, std::string_view bytes);
  void complete_first_reply(Ms now, const CommandResult& command, std::string_view bytes);
  void flush_complete_replies(Ms now);
  void hold_identity(const CommandResult& command);
  void release_flushed_identities();
  void fail_write();
  void write(Ms now);
  bool write_output(Ms now);

  // client_connection_values.cpp: streamed values
  void start_first_value(Ms now);
  bool must_hold_value(Ms now);
  bool must_await_completion(Ms now, const engine::CompletionBound& bound) const;
  bool is_value_too_late(Ms now);
  void begin_value_if_due(Ms now);
  std::size_t max_value_bytes_ahead() const;
  std::size_t value_bytes_ahead(const ReplySlot& slot, bool is_first) const;
  void notify_capacity(Ms now);
  void abort_value(ReplySlot& slot);
  void end_after_abort(Ms now);

  // client_connection_closing.cpp: timeouts and closing
  bool is_reply_pending() const;
  bool close_if_allowed(Ms now, std::initializer_list<CloseReason> reasons);
  void close_if_lingered(Ms now);
  void note_acknowledgements(Ms now);
  void linger_if_done(Ms now);
  void linger(Ms now);

  ClientConnectionCallbacks& callbacks_;
  ClientTotals& totals_;
  std::uint64_t id_;
  std::unique_ptr<Stream> stream_;
  CommandInput input_;
  ReplyQueue replies_;
  Ms last_progress_ = 0;
  std::uint64_t last_used_ = 0;
  Ms value_held_until_ = 0;               // if the first reply is a streamed value that is not begun
  Ms value_given_up_at_ = 0;              // if that value is then not expected to keep its completion bound
  Ms value_arrived_at_ = 0;               // the last bytes of that value
  ValuePace value_pace_;                  // of that value
  std::size_t consecutive_errors_ = 0;    // of commands that were not valid requests
  std::size_t unacknowledged_bytes_ = 0;  // when they were last looked at

  bool closed_ = false;
  bool read_pending_ = false;            // awaiting `on_read`
  bool write_blocked_ = false;           // awaiting `on_writable`
  bool write_failed_ = false;            // `on_posted` closes the connection
  bool value_aborted_ = false;           // closed once the output has reached the client's system
  bool awaits_acknowledgement_ = false;  // written bytes may not have reached the client's system
  bool dispatching_ = false;             // replies are written after the batch of commands
  bool paused_ = false;                  // no commands are dispatched until the client reads replies
  bool resume_posted_ = false;           // `on_posted` resumes the dispatch of commands
  bool capacity_notice_posted_ = false;  // `on_posted` calls `on_client_writable`
  bool input_rejected_ = false;          // incoming bytes are discarded
  bool input_ended_ = false;             // no more bytes are read, but the buffered commands are answered
  bool close_after_reply_ = false;       // close once no reply is pending
  bool draining_ = false;                // also close while idle
  bool finishing_ = false;               // also close while a command is incomplete
  bool lingering_ = false;               // the last reply is written and the send side is shut down
};

}  // namespace cometfold::resp
