// One connection to a host. It carries one attempt at a time: abandoning an attempt means to close its
// connection, and a reply that waits behind another one would miss its latency objective.
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

// Connecting, then by turns in use and idle; closed for good.
class HostConnection : public StreamCallbacks {
 public:
  // `context` must outlive this object. `pool` is kept: an attempt may outlast its host's place in the list.
  HostConnection(HostPoolContext& context, std::shared_ptr<SingleHostPool> pool);

  // False if there is no socket to be had.
  bool connect(const Address& address);
  // Begins an attempt, once connected. `command` must stay valid until the attempt has ended.
  void start(Ms now, AttemptId attempt, const HostCommand& command, Ms remaining_ms);
  // Ends the connection and, if one is in flight, its attempt.
  void fail(Ms now, Outcome outcome);
  // Ends the connection without a report.
  void close();
  // There is capacity again for the streamed value.
  void resume();

  bool connected() const { return connected_; }
  // Its attempt waits for the connection.
  bool awaits_first_byte() const { return attempt_ != 0 && command_ != nullptr; }
  // The last byte of its attempt is written.
  bool fully_written() const { return !awaits_first_byte() && written_ == request_.size(); }
  // To be checked before a reuse, as what has arrived may not have been read yet.
  bool is_quiet();
  Ms idle_since() const { return idle_since_; }
  // Its host has stopped in the middle of a streamed value.
  bool stalled(Ms now) const;

  void on_connected(Ms now, bool up) override;
  void on_read(Ms now, std::size_t bytes, bool ended) override;
  void on_writable(Ms now, bool ok) override;
  void on_posted(Ms now) override;
  void digest(engine::Digest& into) const;

 private:
  std::shared_ptr<HostConnection> self() {
    return std::static_pointer_cast<HostConnection>(shared_from_this());
  }
  Outcome outcome_of_break() const;
  void begin_request(Ms remaining_ms);
  void write();
  void read();
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
  AttemptId write_failed_attempt_ = 0;    // to be ended in `on_posted`
  const HostCommand* command_ = nullptr;  // of an attempt that waits for the connection
  std::string request_;
  std::size_t written_ = 0;  // bytes of `request_`
  Ms idle_since_ = 0;
  Ms last_chunk_at_ = 0;  // of a streamed value
  bool connected_ = false;
  bool closed_ = false;
  bool write_blocked_ = false;  // `on_writable` is awaited
  bool value_started_ = false;  // a streamed value is being forwarded
  bool reads_paused_ = false;   // until the client has capacity for more of it
};

}  // namespace cometfold::resp
