// The front end that speaks RESP2: commands to requests for the engine, its answers to replies. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "engine/engine.h"
#include "resp/client_connection.h"
#include "resp/host_pool.h"

namespace cometfold::resp {

// How clients name things, and what they may ask.
struct CommandNames {
  std::vector<std::string> classes, plans;
  std::vector<Idempotency> idempotency;  // of the classes
  double gateway_count = 1;
  double max_request_units = 1;
  std::vector<RequestBounds> bounds = {};  // by class; none: no further bounds
};

// Where replies go: the table of client connections.
class ReplySink {
 public:
  virtual ~ReplySink() = default;
  // `reply` is one whole RESP value. Does nothing if the client is gone. Calls nobody back.
  virtual void send_reply(Ms now, ResponseHandle ticket, std::string_view reply) = 0;
  virtual void send_error(Ms now, ResponseHandle ticket, std::string_view why) = 0;
  // A long value in the place of `send_reply`; `send_reply` before its end cuts it off. See engine::FrontEnd.
  virtual void start_value(Ms now, ResponseHandle ticket, std::size_t size) = 0;
  virtual bool append_value(Ms now, ResponseHandle ticket, std::string_view bytes) = 0;
  virtual void finish_value(Ms now, ResponseHandle ticket) = 0;
  // Whether the client has ended its connection, told of or not.
  virtual bool client_disconnected(ResponseHandle) { return false; }
};

class RespHandler : public engine::DownstreamHandler {
 public:
  RespHandler(engine::Engine& engine, ReplySink& replies, CommandNames names);

  // A command of a client; `CommandResult::request_id` is what to name in `Engine::on_client_disconnected`.
  // `waited`: milliseconds of its client's time that are over already.
  CommandResult on_command(Ms now, ResponseHandle ticket, std::span<const Item> words, Ms waited = 0);
  // Between these an answered request's id stays taken: its answer is on its way to the client.
  void on_reply_pending(std::uint64_t identity) { unsent_.insert(identity); }
  void on_reply_flushed(std::uint64_t identity) { unsent_.erase(identity); }
  // PING is answered with PONG from here on.
  void set_ready() { ready_ = true; }
  bool ready() const { return ready_; }
  // While it is set, PING is answered with an error: no more clients are wanted.
  void set_draining(bool on) { draining_ = on; }
  // Of commands from now on.
  void set_names(CommandNames names) { names_ = std::move(names); }

  void on_served(Ms now, ResponseHandle ticket, std::string_view value) override;
  void on_rejected(Ms now, ResponseHandle ticket, Ms retry_after) override;
  void on_failed(Ms now, ResponseHandle ticket, engine::FailureReason why) override;
  void on_value_started(Ms now, ResponseHandle ticket, std::size_t size) override {
    replies_.start_value(now, ticket, size);
  }
  bool on_value_chunk(Ms now, ResponseHandle ticket, std::string_view bytes) override {
    return replies_.append_value(now, ticket, bytes);
  }
  void on_value_finished(Ms now, ResponseHandle ticket) override { replies_.finish_value(now, ticket); }
  bool client_disconnected(ResponseHandle ticket) override { return replies_.client_disconnected(ticket); }

 private:
  struct Parsed;
  CommandResult take(Ms now, ResponseHandle ticket, std::span<const Item> words, Ms waited);
  const char* parse(std::span<const Item> words, Parsed& parsed) const;
  const char* field(std::string_view value, unsigned bit, Parsed& parsed) const;

  engine::Engine& engine_;
  ReplySink& replies_;
  CommandNames names_;
  bool ready_ = false, draining_ = false;
  std::unordered_set<std::uint64_t> unsent_;  // bounded by the answers that clients have not read
};

// A host's load report as text, `name=number` with commas between; `field_of` tells what a name means. What
// can't be read or is out of range is left out.
LoadReport parse_load_report(std::string_view text, LoadField (*field_of)(std::string_view));

}  // namespace cometfold::resp
