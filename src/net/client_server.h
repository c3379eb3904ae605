// The listener for clients and the table of their connections.
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

class ClientServerCallbacks {
 public:
  virtual ~ClientServerCallbacks() = default;
  virtual resp::CommandResult on_command(ResponseHandle handle, std::span<const resp::Item> words,
                                         const resp::CommandArrival& arrival) = 0;
  virtual void on_client_disconnected(std::uint64_t request_id) = 0;
  virtual void on_client_writable(std::uint64_t request_id) = 0;
  virtual void on_value_too_late(std::uint64_t request_id) = 0;
  // See resp::ClientConnectionCallbacks.
  virtual void on_reply_pending(std::uint64_t identity) = 0;
  virtual void on_reply_flushed(std::uint64_t identity) = 0;
};

struct ClientLimits {
  std::size_t max_connections = 512;
  std::size_t max_unused_connections = 256;  // idle after at least one reply
  // Of all buffers together, those of connections to hosts included.
  std::size_t max_buffer_bytes = resp::MemoryBudget::kDefaultLimitBytes;
};

class ClientServer : public resp::ReplySink, public resp::ClientConnectionCallbacks {
 public:
  ClientServer(boost::asio::io_context& io, Clock& clock, ClientServerCallbacks& callbacks,
               const ClientLimits& limits);
  ~ClientServer() override;

  // Both throw boost::system::system_error.
  void listen(const boost::asio::ip::tcp::endpoint& address);
  // Takes ownership of a socket that is already listening. Accepts no connection before `start_accepting`.
  void adopt(int listening_socket);
  void start_accepting();
  bool has_listener() const { return acceptor_.is_open(); }
  int listening_socket() { return acceptor_.native_handle(); }
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // Stops accepting and leaves the accept queue to another process that has the same socket.
  void release_listener();
  void set_limits(const ClientLimits& limits);
  const resp::ClientTotals& totals() const { return totals_; }
  // For buffers of other connections that count against the same limit.
  resp::MemoryBudget& memory() { return totals_.memory; }

  void send_reply(Ms now, ResponseHandle handle, std::string_view reply) override;
  void send_error(Ms now, ResponseHandle handle, std::string_view reason) override;
  void start_value(Ms now, ResponseHandle handle, std::size_t size,
                   const std::optional<engine::CompletionBound>& bound) override;
  bool append_value(Ms now, ResponseHandle handle, std::string_view bytes) override;
  void finish_value(Ms now, ResponseHandle handle) override;
  bool withdraw_value(Ms now, ResponseHandle handle) override;
  bool client_disconnected(ResponseHandle handle) override;
  bool has_reply_capacity(ResponseHandle) override { return totals_.memory.admits_command(); }

  // See resp::ClientConnection.
  void on_names_replaced(const std::shared_ptr<const resp::CommandNames>& names);

  // Stops accepting, except for connections that are already in the accept queue; connections close once all
  // their requests are answered.
  void shut_down();
  // Open connections, plus one while `shut_down` has not emptied the accept queue yet.
  std::size_t connection_count() const;

  // While draining, connections close after their next reply, new ones too.
  void set_draining(bool on);
  // Closes connections without an unanswered request; the others close after their replies. With a `fraction`
  // below 1 only for that part of them; a call with a larger one includes the part of the call before.
  void close_idle(double fraction = 1);
  // Closes connections once every command that has arrived whole on them is answered.
  void finish();
  // Whether a reply has begun on some connection but has not reached its client's system whole.
  bool awaits_delivery() const;

  // Frees a descriptor by closing the least valuable connection. False if none may be closed.
  bool evict_one();

 private:
  using ConnectionPtr = std::shared_ptr<resp::ClientConnection>;

  resp::CommandResult on_command(Ms now, ResponseHandle handle, std::span<const resp::Item> words,
                                 const resp::CommandArrival& arrival) override;
  void on_reply_pending(std::uint64_t identity) override { callbacks_.on_reply_pending(identity); }
  void on_reply_flushed(std::uint64_t identity) override { callbacks_.on_reply_flushed(identity); }
  void on_client_disconnected(Ms now, std::uint64_t request_id) override;
  void on_client_writable(Ms, std::uint64_t request_id) override {
    callbacks_.on_client_writable(request_id);
  }
  void on_value_too_late(Ms, std::uint64_t request_id) override { callbacks_.on_value_too_late(request_id); }
  void on_closed(std::uint64_t id) override { connections_.erase(id); }
  void on_reads_paused() override;

  resp::ClientConnection* find(ResponseHandle handle);
  bool has_space();
  void accept();
  void accept_later();
  void accept_one();
  void on_accepted(boost::asio::ip::tcp::socket socket);
  void account_for_wait(boost::asio::ip::tcp::socket& socket, resp::ClientConnection& connection);
  void accept_queue();
  void sweep();
  void evict_excess_unused();
  bool may_evict(const resp::ClientConnection& connection);

  boost::asio::io_context& io_;
  Clock& clock_;
  ClientServerCallbacks& callbacks_;
  std::size_t max_connections_;
  std::size_t max_unused_connections_;
  resp::ClientTotals totals_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer disconnect_check_timer_;
  boost::asio::steady_timer sweep_timer_;
  std::unordered_map<std::uint64_t, ConnectionPtr> connections_;
  std::uint64_t last_id_ = 0;
  // Since when new connections may have waited in the accept queue; none: they are accepted at once.
  std::optional<Ms> queue_delayed_since_;
  bool has_started_ = false;
  bool is_shut_down_ = false;
  bool draining_ = false;
  bool disconnect_check_scheduled_ = false;
};

}  // namespace cometfold::net
