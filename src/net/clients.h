// The clients' side: the listener, connections, and answers in the order of the commands.
#pragma once

#include <boost/asio.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "clock.h"
#include "resp.h"

namespace thistlepond::net {

// Where an answer goes: a connection and the place of the command on it.
struct Ticket {
  std::uint64_t connection = 0;
  std::uint64_t place = 0;
};

class ClientEvents {
 public:
  virtual ~ClientEvents() = default;
  // A well-framed command. Returns what to name if the client goes away before the answer; 0 for nothing.
  virtual std::uint64_t on_command(Ticket ticket, std::span<const resp::Item> words) = 0;
  virtual void on_client_gone(std::uint64_t name) = 0;
};

struct ClientLimits {
  std::size_t connections = 512;
  std::size_t unsent = 24 * 1024 * 1024;    // bytes of answers not yet taken, over all connections
  std::size_t buffered = 24 * 1024 * 1024;  // bytes of buffers for commands, before large halves are refused
};

class Clients {
 public:
  Clients(boost::asio::io_context& io, Clock& clock, ClientEvents& events, const ClientLimits& limits);
  ~Clients();

  void listen(const boost::asio::ip::tcp::endpoint& at);
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // `reply` is one whole RESP value. Does nothing if the client is gone. Calls nobody back.
  void answer(Ticket ticket, std::string_view reply);
  // An error line for what is no proper request. A client that makes many such mistakes is closed.
  void reject(Ticket ticket, std::string_view why);

  // From here on nobody new; connections close as soon as nothing is owed on them.
  void wind_down();
  std::size_t connections() const { return connections_.size(); }
  void close_all();

  // Called when a descriptor is needed elsewhere: closes the client that is missed least, if any may go.
  bool make_room();

 private:
  class Connection;

  void accept();
  void accept_one();
  void accepted(boost::asio::ip::tcp::socket socket);
  void sweep();

  boost::asio::io_context& io_;
  Clock& clock_;
  ClientEvents& events_;
  std::size_t most_, most_unsent_, most_buffered_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_accept_;
  boost::asio::steady_timer sweep_timer_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> connections_;
  std::uint64_t last_id_ = 0;
  std::uint64_t uses_ = 0;
  std::size_t unsent_ = 0;    // bytes of answers that wait for slow readers, over all connections
  std::size_t buffered_ = 0;  // bytes of the readers' buffers
  bool winding_down_ = false;
};

}  // namespace thistlepond::net
