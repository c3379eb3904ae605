// The simulated connections and clients. Private to the implementation of World.
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

// A connection of the gateway, as the simulated operating system sees it. Its peer is a simulated host or
// client.
struct World::Connection {
  enum State : std::uint8_t { kConnecting, kUp, kClosed };
  std::uint64_t id = 0;
  bool to_host = false;
  HostId host = 0;         // if to_host: the host at the other end
  std::size_t client = 0;  // otherwise: index of the client at the other end
  State state = kConnecting;
  std::weak_ptr<resp::StreamCallbacks> callbacks;
  Ms connect_by = 0;
  std::span<char> read_buffer;
  bool reading = false;
  bool awaits_close = false;
  bool awaits_writable = false;
  bool blocked = false;  // the send buffer is full
  bool posted = false;   // a call of on_posted is pending
  std::string incoming;  // received and not read yet
  bool peer_closed = false;
  bool send_shutdown = false;      // the gateway sends no more, the peer may still have bytes under way
  bool stalled = false;            // the peer is slow: time may pass before it acts
  std::string sent;                // bytes from the gateway; to a host: of the current request
  std::uint64_t request = 0;       // to a host: the request in `sent`, 0 if none
  bool request_complete = false;   // `request` is written completely and has no reply
  std::size_t attempt_number = 0;  // among the completely written attempts of `request`, from 1

  bool open() const { return state != kClosed; }
  bool has_attempt_in_flight() const { return to_host && open() && request_complete; }
  bool has_unread() const { return !incoming.empty() || peer_closed; }
  bool read_possible() const { return reading && has_unread(); }
  // The host has yet to reply or to complete the connect.
  bool awaits_host() const { return to_host && (state == kConnecting || request_complete); }
  void digest(engine::Digest& into) const;
};

struct World::Client {
  struct ExpectedReply {
    std::uint64_t request = 0;  // 0: an invalid request, which must get an error
  };
  std::shared_ptr<Connection> connection;
  std::vector<std::size_t> requests;  // indices of those that this client sends, in order
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
    connection_->awaits_close = false;
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
