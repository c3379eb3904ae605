// The clients' side on sockets: the listener and the table of connections.
#pragma once

#include <boost/asio.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

#include "net/clock.h"
#include "resp/client_connection.h"
#include "resp/resp_handler.h"

namespace cometfold::net {

using resp::ResponseHandle;

class ClientEvents {
 public:
  virtual ~ClientEvents() = default;
  // A well-framed command, which came up to `waited` milliseconds ago.
  virtual resp::CommandResult on_command(ResponseHandle ticket, std::span<const resp::Item> words,
                                         Ms waited) = 0;
  virtual void on_client_gone(std::uint64_t name) = 0;
  virtual void on_room(std::uint64_t name) = 0;
  // See resp::ClientOwner.
  virtual void on_unsent(std::uint64_t identity) = 0;
  virtual void on_sent(std::uint64_t identity) = 0;
};

struct ClientLimits {
  std::size_t connections = 512;
  std::size_t kept = 256;                   // of them, that may stay open unused after an answer
  std::size_t unsent = 24 * 1024 * 1024;    // bytes of answers not yet taken, over all connections
  std::size_t buffered = 24 * 1024 * 1024;  // bytes of buffers for commands, before large halves are refused
};

class Clients : public resp::ReplySink, public resp::ClientConnectionCallbacks {
 public:
  Clients(boost::asio::io_context& io, Clock& clock, ClientEvents& events, const ClientLimits& limits);
  ~Clients() override;

  void listen(const boost::asio::ip::tcp::endpoint& at);
  // The same with a socket that listens already; takes it. Nobody is accepted before `begin`.
  // Throws boost::system::system_error.
  void adopt(int listening);
  void begin();
  bool has_socket() const { return acceptor_.is_open(); }
  int listening_socket() { return acceptor_.native_handle(); }
  // Accepts nobody any more and leaves the queue to another process that has the same socket.
  void leave_queue();
  void set_limits(const ClientLimits& limits);
  const resp::ClientTotals& totals() const { return totals_; }
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  void send_reply(Ms now, ResponseHandle ticket, std::string_view reply) override;
  void send_error(Ms now, ResponseHandle ticket, std::string_view why) override;
  void start_value(Ms now, ResponseHandle ticket, std::size_t size) override;
  bool append_value(Ms now, ResponseHandle ticket, std::string_view bytes) override;
  void finish_value(Ms now, ResponseHandle ticket) override;
  bool client_disconnected(ResponseHandle ticket) override;

  // From here on nobody new; connections close as soon as nothing is owed on them.
  void wind_down();
  // Those that are open; while the queue of newcomers is not empty yet after `start_draining`, one more.
  std::size_t connections() const;

  // Drain on demand. While it is on, connections end after their next answer, new ones too.
  void set_draining(bool on);
  // Closes those on which nothing is owed; the others end with what is owed.
  void end_idle();

  // Called when a descriptor is needed elsewhere: closes the client that is missed least, if any may go.
  bool make_room();

 private:
  resp::CommandResult on_command(Ms now, ResponseHandle ticket, std::span<const resp::Item> words,
                                 Ms waited) override;
  void on_reply_pending(std::uint64_t identity) override { events_.on_unsent(identity); }
  void on_reply_flushed(std::uint64_t identity) override { events_.on_sent(identity); }
  void on_client_disconnected(Ms now, std::uint64_t name) override;
  void on_client_writable(Ms, std::uint64_t name) override { events_.on_room(name); }
  void on_closed(std::uint64_t id) override { connections_.erase(id); }
  void on_reads_paused() override;

  void accept();
  void accept_later();
  void accept_one();
  void accepted(boost::asio::ip::tcp::socket socket);
  void account_for_wait(boost::asio::ip::tcp::socket& socket, resp::ClientConnection& link);
  void empty_queue();
  void sweep();
  void trim();

  boost::asio::io_context& io_;
  Clock& clock_;
  ClientEvents& events_;
  std::size_t most_, kept_;
  resp::ClientTotals totals_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_accept_, leavers_timer_;
  boost::asio::steady_timer sweep_timer_;
  std::unordered_map<std::uint64_t, std::shared_ptr<resp::ClientConnection>> connections_;
  std::uint64_t last_id_ = 0;
  std::optional<Ms> late_since_;  // newcomers have waited since then at most; none: they were taken at once
  bool begun_ = false, winding_down_ = false, draining_ = false, looking_for_leavers_ = false;
};

}  // namespace cometfold::net
