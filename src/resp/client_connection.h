// One client connection on RESP2: takes commands, writes their replies in order, and decides when it may be
// closed. Does no I/O: its stream is given, and the time comes in with each call, in milliseconds of one
// monotonic clock.
//
// `CommandInput` holds what comes in, `ReplyQueue` what goes out; this class connects both with the stream
// and paces the reads by what the client takes.
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

namespace cometfold::resp {

using engine::ResponseHandle;

// The owner of client connections. Calls come from inside the connection's own.
class ClientConnectionCallbacks {
 public:
  virtual ~ClientConnectionCallbacks() = default;
  // A well-formed command; `words` are valid until the call returns. `elapsed_ms`: the most that may have
  // passed since it arrived, if it was not read at once. Its timeout counts from its arrival.
  virtual CommandResult on_command(Ms now, ResponseHandle handle, std::span<const Item> words,
                                   Ms elapsed_ms) = 0;
  // The reply to a request with this identity is given and not all written. `on_reply_flushed` follows once
  // it is written or can't be any more.
  virtual void on_reply_pending(std::uint64_t identity) = 0;
  virtual void on_reply_flushed(std::uint64_t identity) = 0;
  // The client has disconnected before the reply to this request.
  virtual void on_client_disconnected(Ms now, std::uint64_t request_id) = 0;
  // There is capacity again for the streamed value of this request.
  virtual void on_client_writable(Ms, std::uint64_t /*request_id*/) {}
  virtual void on_closed(std::uint64_t connection_id) = 0;
  // Nothing is read from a connection for now, so that its end is not seen:
  // `ClientConnection::check_disconnected` must be called within some 20 ms.
  virtual void on_reads_paused() {}
};

class ClientConnection : public StreamCallbacks {
 public:
  // `callbacks` and `totals` must outlive this object. `id` is part of each `ResponseHandle`.
  ClientConnection(ClientConnectionCallbacks& callbacks, ClientTotals& totals, std::uint64_t id, Ms now);

  // Begins to read. To be called once, before anything else but `set_arrival_bound` and
  // `close_after_next_reply`.
  void start(std::unique_ptr<Stream> stream);
  // What can be read now may have arrived as early as `earliest`.
  void set_arrival_bound(Ms earliest) { input_.set_arrival_bound(earliest); }

  // `reply` is one whole RESP value. Does nothing if this command has its complete reply. Makes no callback
  // to the owner but `on_reply_pending` and `on_reply_flushed`.
  void send_reply(Ms now, std::uint64_t sequence, std::string_view reply);
  // A value of `size` bytes in place of `send_reply`, in chunks. `append_value` returns false if the bytes
  // are taken and no more are wanted until `ClientConnectionCallbacks::on_client_writable`. `send_reply`
  // before `finish_value` aborts the value: if some of it is written, the connection is closed, so that the
  // client notices.
  void start_value(Ms now, std::uint64_t sequence, std::size_t size);
  bool append_value(Ms now, std::uint64_t sequence, std::string_view bytes);
  void finish_value(Ms now, std::uint64_t sequence);
  // An error line for a command that is no valid request. After too many of them the connection is closed.
  void send_error(Ms now, std::uint64_t sequence, std::string_view message);

  bool is_idle() const {
    return replies_.empty() && replies_.output_empty() && input_.empty() && !lingering_;
  }
  // It has had a reply.
  bool has_replied() const { return replies_.has_replied(); }
  // Its client has ended the connection, whether or not the owner has been notified.
  bool client_disconnected() const { return closed_ || stream_->peer_closed(); }
  // Bytes that have arrived and are not read yet.
  std::size_t unread_bytes() const { return stream_->unread_bytes(); }
  // No whole command has come yet.
  bool is_silent() const { return !replies_.has_replied() && replies_.empty() && !lingering_; }
  // Larger values are closed first where a new connection needs capacity. 0: never, as a reply is pending.
  int eviction_priority() const;
  // The input of `may_close`.
  ConnectionState state(Ms now) const;
  // A logical time: larger is later.
  std::uint64_t last_used() const { return last_used_; }

  // Closes after the next reply. An idle connection stays open, as a request may be on its way.
  void close_after_next_reply() { close_after_reply_ = true; }
  // Graceful shutdown: closes as soon as no reply is pending, an idle connection too.
  void start_draining(Ms now);
  // Closes what has timed out: no command, an incomplete command, no further command, or a client that reads
  // no replies. To be called a few times a second.
  void close_if_timed_out(Ms now);
  // Closes if the client has disconnected while nothing is read from it.
  void check_disconnected(Ms now);
  // Unless `may_close` forbids it: that is counted in `ClientTotals::forbidden_closes`.
  void close(Ms now, CloseReason reason);

  void on_connected(Ms, bool) override {}
  void on_read(Ms now, std::size_t bytes, bool ended) override;
  void on_writable(Ms now, bool ok) override;
  void on_posted(Ms now) override;
  void digest(engine::Digest& into) const;

 private:
  void touch(Ms now);

  // client_connection.cpp: commands in, and the pace of reads
  void read();
  void pause_reads();
  void process_input(Ms now);
  bool dispatch_commands(Ms now);
  void dispatch_command(Ms now, ResponseHandle handle);
  void reject_input(Ms now, ResponseHandle handle);
  bool must_pause() const;
  void resume_later();

  // client_connection_replies.cpp: replies and streamed values out
  ReplySlot* find_incomplete(std::uint64_t sequence);
  void append_output(Ms now, std::string_view bytes);
  void append_to_reply(Ms now, std::uint64_t sequence, ReplySlot& slot, std::string_view bytes);
  void complete_first_reply(Ms now, const CommandResult& command, std::string_view bytes);
  void flush_complete_replies(Ms now);
  void hold_identity(const CommandResult& command);
  void release_flushed_identities();
  void notify_capacity(Ms now);
  void fail_write();
  void write(Ms now);
  bool write_output(Ms now);

  // client_connection_closing.cpp: when and how it ends
  bool is_reply_pending() const;
  bool close_if_allowed(Ms now, std::initializer_list<CloseReason> reasons);
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
  std::size_t invalid_commands_ = 0;

  bool closed_ = false;
  bool read_pending_ = false;            // `on_read` is awaited
  bool write_blocked_ = false;           // `on_writable` is awaited
  bool write_failed_ = false;            // closed in `on_posted`
  bool dispatching_ = false;             // replies are written after the batch of commands
  bool paused_ = false;                  // no commands are dispatched until the client reads replies
  bool resume_posted_ = false;           // `on_posted` takes up commands again
  bool capacity_notice_posted_ = false;  // `on_posted` calls `on_client_writable`
  bool input_rejected_ = false;          // what comes in is dropped
  bool close_after_reply_ = false;       // ends once no reply is pending
  bool draining_ = false;                // and is closed when idle
  bool lingering_ = false;               // the last reply is written and sending is shut down
};

}  // namespace cometfold::resp
