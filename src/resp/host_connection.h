// A connection to a host. It carries one attempt at a time: abandoning an attempt closes its connection, and
// a reply queued behind another one would miss its latency objective.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "engine/digest.h"
#include "resp/host_command.h"
#include "resp/host_pool_context.h"
#include "resp/host_reply.h"
#include "resp/resp_reader.h"
#include "resp/stream.h"

namespace cometfold::resp {

class SingleHostPool;

// Life cycle: connecting, then alternately in use and idle, finally closed. It is never reopened.
class HostConnection : public StreamCallbacks {
 public:
  // `context` must outlive this object. `pool` is kept alive, as an attempt may outlive its host's entry in
  // the host list.
  HostConnection(HostPoolContext& context, std::shared_ptr<SingleHostPool> pool);

  // Returns false if no socket is available.
  bool connect(const Address& address);
  // Starts an attempt, which is written once the connection is established. `command` must stay valid until
  // the attempt has ended.
  void start(Ms now, AttemptId attempt, const HostCommand& command, Ms remaining_ms);
  // Closes the connection and, if an attempt is in flight, ends it with `outcome`.
  void fail(Ms now, Outcome outcome);
  // Closes the connection without reporting the end of an attempt.
  void close();
  // Resumes reading, as there is capacity for a streamed value again, or may be memory.
  void resume(Ms now);
  // The rest of a reply is left unread, as there is no memory for a larger buffer.
  bool waits_for_memory() const { return reads_paused_ && !value_started_; }

  bool connected() const { return connected_; }
  // Its attempt waits for the connection to be established.
  bool awaits_first_byte() const { return attempt_ != 0 && command_ != nullptr; }
  // The last byte of its request is written.
  bool fully_written() const { return !awaits_first_byte() && written_ == request_.size(); }
  // Whether the connection is open and has no unread bytes. Must be checked before it is reused, as bytes
  // that have arrived may not have been read yet.
  bool is_quiet();
  Ms idle_since() const { return idle_since_; }
  // The host has stopped sending in the middle of a streamed value.
  bool stalled(Ms now) const;
  // Whether the owner is to be notified that the host pauses in the middle of a streamed value: once for each
  // `HostPoolLimits::pause_notice_ms` that the pause lasts, or more often if the attempt's timeout is short.
  bool take_pause_notice(Ms now);

  void on_connected(Ms now, bool up) override;
  void on_read(Ms now, std::size_t bytes, bool ended) override;
  void on_writable(Ms now, bool ok) override;
  void on_posted(Ms now) override;
  void digest(engine::Digest& into) const;

 private:
  std::shared_ptr<HostConnection> self() {
    return std::static_pointer_cast<HostConnection>(shared_from_this());
  }
  Outcome outcome_of_disconnect() const;
  void close_stream();
  void begin_request(Ms remaining_ms);
  void write();
  void read();
  bool may_grow_buffer() const;
  void count_buffer();
  void process_input(Ms now);
  void forward_chunk(Ms now);
  void fail_malformed(Ms now, std::string_view detail);
  void on_reply(Ms now);
  void become_idle(Ms now);

  HostPoolContext& context_;
  std::shared_ptr<SingleHostPool> pool_;
  std::unique_ptr<Stream> stream_;
  RespReader reader_;
  Frame frame_;
  AttemptId attempt_ = 0;                 // in flight; 0: none
  AttemptId write_failed_attempt_ = 0;    // `on_posted` ends it
  const HostCommand* command_ = nullptr;  // of an attempt that waits for the connection
  std::string request_;
  std::size_t written_ = 0;               // bytes of `request_` that are written
  std::size_t counted_buffer_bytes_ = 0;  // that the memory budget includes
  Ms idle_since_ = 0;
  Ms last_chunk_at_ = 0;  // time of the last chunk of a streamed value
  Ms pause_noticed_at_ = 0;
  Ms pause_notice_ms_ = 0;  // of the attempt in flight
  bool connected_ = false;
  bool closed_ = false;
  bool write_blocked_ = false;  // awaiting `on_writable`
  bool value_started_ = false;  // a streamed value is being forwarded
  bool reads_paused_ = false;   // until the client has capacity for more of it, or there is memory
};

}  // namespace cometfold::resp
