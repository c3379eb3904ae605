// The simulated connections of a world and their clients. Only for the files of World.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "explore/world.h"
#include "resp/resp_reader.h"
#include "resp/resp_writer.h"

namespace cometfold::explore {

// A connection of the gateway, as the simulated system sees it. Its peer is a simulated host or client.
struct World::Connection {
  enum State : std::uint8_t { kConnecting, kUp, kClosed };
  std::uint64_t id = 0;
  bool to_host = false;
  HostId host = 0;         // to_host: whose process it reaches
  std::size_t client = 0;  // else: index of its client
  State state = kConnecting;
  std::weak_ptr<resp::StreamCallbacks> callbacks;
  Ms connect_by = 0;
  std::span<char> read_buffer;
  bool reading = false;
  bool awaits_close = false;
  bool awaits_writable = false;
  bool blocked = false;  // nothing more can be written
  bool posted = false;   // the gateway asked to be called back
  std::string incoming;  // has arrived and is not read yet
  bool peer_closed = false;
  bool send_shutdown = false;      // the gateway sends no more: what arrives now crosses its close
  bool stalled = false;            // its peer is slow: time may pass before it does anything
  std::string sent;                // by the gateway, of the request that is being written
  std::uint64_t request = 0;       // whose bytes those are
  bool request_complete = false;   // the request is written completely and has no reply
  std::size_t attempt_number = 0;  // among the request's attempts that were written, from 1

  bool open() const { return state != kClosed; }
  bool has_attempt_in_flight() const { return to_host && open() && request_complete; }
  bool has_unread() const { return !incoming.empty() || peer_closed; }
  bool read_possible() const { return reading && has_unread(); }
  // A host's reply, or the end of a connect, is still to come.
  bool awaits_host() const { return to_host && (state == kConnecting || request_complete); }
  void digest(engine::Digest& into) const;
};

struct World::Client {
  struct ExpectedReply {
    std::uint64_t request = 0;  // 0: an invalid request, which must get an error
  };
  std::shared_ptr<Connection> connection;
  std::vector<std::size_t> requests;  // indices of those to send on this connection, in order
  std::size_t sent_count = 0;
  std::vector<ExpectedReply> expected_replies;  // in order
  resp::RespReader reader{resp::RespLimits{}, false};
  bool disconnected = false;
};

class World::SimulatedStream : public resp::Stream {
 public:
  SimulatedStream(World& world, std::shared_ptr<Connection> connection)
      : world_(world), connection_(std::move(connection)) {}

  WriteResult write(std::string_view bytes) override;
  void await_writable() override { connection_->awaits_writable = true; }
  void read(std::span<char> buffer) override {
    connection_->read_buffer = buffer;
    connection_->reading = true;
  }
  void await_peer_close() override {
    connection_->reading = false;
    connection_->awaits_close = true;
  }
  void post() override { connection_->posted = true; }
  std::size_t unread_bytes() override { return connection_->incoming.size(); }
  bool is_quiet() override { return !connection_->has_unread(); }
  bool peer_closed() override { return connection_->peer_closed; }
  void shutdown_send() override;
  void close() override;

 private:
  bool reply_expected() const { return !world_.clients_[connection_->client].expected_replies.empty(); }

  World& world_;
  std::shared_ptr<Connection> connection_;
};

}  // namespace cometfold::explore
