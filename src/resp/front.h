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
#include "resp/client_link.h"
#include "resp/host_pool.h"

namespace cometfold::resp {

// How clients name things, and what they may ask.
struct Names {
  std::vector<std::string> classes, plans;
  std::vector<Repeat> repeats;  // of the classes
  double gateways = 1;
  double largest_units = 1;
  std::vector<RequestBounds> bounds = {};  // by class; none: no further bounds
};

// Where replies go: the table of client connections.
class Replies {
 public:
  virtual ~Replies() = default;
  // `reply` is one whole RESP value. Does nothing if the client is gone. Calls nobody back.
  virtual void answer(Ms now, Ticket ticket, std::string_view reply) = 0;
  virtual void reject(Ms now, Ticket ticket, std::string_view why) = 0;
  // A long value in the place of `answer`; `answer` before its end cuts it off. See engine::FrontEnd.
  virtual void begin_value(Ms now, Ticket ticket, std::size_t size) = 0;
  virtual bool add_to_value(Ms now, Ticket ticket, std::string_view bytes) = 0;
  virtual void end_value(Ms now, Ticket ticket) = 0;
  // Whether the client has ended its connection, told of or not.
  virtual bool client_left(Ticket) { return false; }
};

class Front : public engine::FrontEnd {
 public:
  Front(engine::Engine& engine, Replies& replies, Names names);

  // A command of a client; `Named::name` is what to name in `Engine::gone`.
  // `waited`: milliseconds of its client's time that are over already.
  Named on_command(Ms now, Ticket ticket, std::span<const Item> words, Ms waited = 0);
  // Between these an answered request's id stays taken: its answer is on its way to the client.
  void on_unsent(std::uint64_t identity) { unsent_.insert(identity); }
  void on_sent(std::uint64_t identity) { unsent_.erase(identity); }
  // PING is answered with PONG from here on.
  void set_ready() { ready_ = true; }
  bool ready() const { return ready_; }
  // While it is set, PING is answered with an error: no more clients are wanted.
  void set_draining(bool on) { draining_ = on; }
  // Of commands from now on.
  void set_names(Names names) { names_ = std::move(names); }

  void served(Ms now, Ticket ticket, std::string_view value) override;
  void refused(Ms now, Ticket ticket, Ms retry_after) override;
  void failed(Ms now, Ticket ticket, engine::Failure why) override;
  void value_begun(Ms now, Ticket ticket, std::size_t size) override {
    replies_.begin_value(now, ticket, size);
  }
  bool value_piece(Ms now, Ticket ticket, std::string_view bytes) override {
    return replies_.add_to_value(now, ticket, bytes);
  }
  void value_ended(Ms now, Ticket ticket) override { replies_.end_value(now, ticket); }
  bool client_left(Ticket ticket) override { return replies_.client_left(ticket); }

 private:
  struct Parsed;
  Named take(Ms now, Ticket ticket, std::span<const Item> words, Ms waited);
  const char* parse(std::span<const Item> words, Parsed& parsed) const;
  const char* field(std::string_view value, unsigned bit, Parsed& parsed) const;

  engine::Engine& engine_;
  Replies& replies_;
  Names names_;
  bool ready_ = false, draining_ = false;
  std::unordered_set<std::uint64_t> unsent_;  // bounded by the answers that clients have not read
};

// A host's load report as text, `name=number` with commas between; `field_of` tells what a name means. What
// can't be read or is out of range is left out.
LoadReport read_report(std::string_view text, LoadField (*field_of)(std::string_view));

}  // namespace cometfold::resp
