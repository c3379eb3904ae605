// The RESP2 downstream handler: turns commands into requests for the engine, and the engine's results into
// replies. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "engine/engine.h"
#include "resp/client_connection.h"
#include "resp/load_report.h"
#include "resp/request_parser.h"

namespace cometfold::resp {

// Receives the replies; implemented by the table of client connections. The calls correspond to those of the
// same names in `ClientConnection`.
class ReplySink {
 public:
  virtual ~ReplySink() = default;
  // `reply` is one complete RESP value. Does nothing if the client has disconnected. Must not call back.
  virtual void send_reply(Ms now, ResponseHandle handle, std::string_view reply) = 0;
  virtual void send_error(Ms now, ResponseHandle handle, std::string_view message) = 0;
  virtual void start_value(Ms now, ResponseHandle handle, std::size_t size,
                           const std::optional<engine::CompletionBound>& bound) = 0;
  virtual bool append_value(Ms now, ResponseHandle handle, std::string_view bytes) = 0;
  virtual void finish_value(Ms now, ResponseHandle handle) = 0;
  virtual bool withdraw_value(Ms, ResponseHandle) { return false; }
  // Whether the client has closed its connection, even if that has not been reported yet.
  virtual bool client_disconnected(ResponseHandle) { return false; }
  // Whether there is memory for the reply.
  virtual bool has_reply_capacity(ResponseHandle) { return true; }
};

class RespHandler : public engine::DownstreamHandler {
 public:
  // `engine` and `replies` must outlive this object.
  RespHandler(engine::Engine& engine, ReplySink& replies, CommandNames names);

  // Handles a command of a client. `CommandResult::request_id` is for `Engine::on_client_disconnected`.
  CommandResult on_command(Ms now, ResponseHandle handle, std::span<const Item> words,
                           const CommandArrival& arrival);
  // Between these two calls the identity of an answered request stays in use, as its reply is not fully
  // written.
  void on_reply_pending(std::uint64_t identity) { unflushed_identities_.insert(identity); }
  void on_reply_flushed(std::uint64_t identity) { unflushed_identities_.erase(identity); }
  // From now on PING is answered with PONG.
  void set_ready() { ready_ = true; }
  bool ready() const { return ready_; }
  // While draining, PING is answered with an error, so that no new clients connect.
  void set_draining(bool draining) { draining_ = draining; }
  // Applies to commands that arrive from now on. Those that wait already keep the names from before:
  // `ClientConnection::on_names_replaced` must be called for each connection first, with `names`.
  void set_names(CommandNames names) { names_ = std::make_shared<const CommandNames>(std::move(names)); }
  const std::shared_ptr<const CommandNames>& names() const { return names_; }

  void on_served(Ms now, ResponseHandle handle, std::string_view value) override;
  void on_rejected(Ms now, ResponseHandle handle, Ms retry_after) override;
  void on_failed(Ms now, ResponseHandle handle, engine::FailureReason reason) override;
  void on_value_started(Ms now, ResponseHandle handle, std::size_t size,
                        const std::optional<engine::CompletionBound>& bound) override {
    replies_.start_value(now, handle, size, bound);
  }
  bool on_value_chunk(Ms now, ResponseHandle handle, std::string_view bytes) override {
    return replies_.append_value(now, handle, bytes);
  }
  void on_value_finished(Ms now, ResponseHandle handle) override { replies_.finish_value(now, handle); }
  bool on_value_withdrawn(Ms now, ResponseHandle handle) override {
    return replies_.withdraw_value(now, handle);
  }
  bool client_disconnected(ResponseHandle handle) override { return replies_.client_disconnected(handle); }
  bool has_reply_capacity(ResponseHandle handle) override { return replies_.has_reply_capacity(handle); }

 private:
  CommandResult on_request(Ms now, ResponseHandle handle, std::span<const Item> words,
                           const CommandArrival& arrival);
  void on_ping(Ms now, ResponseHandle handle, std::span<const Item> words);

  engine::Engine& engine_;
  ReplySink& replies_;
  std::shared_ptr<const CommandNames> names_;
  bool ready_ = false;
  bool draining_ = false;
  std::unordered_set<std::uint64_t>
      unflushed_identities_;  // bounded by the number of replies that clients have not read
};

}  // namespace cometfold::resp
