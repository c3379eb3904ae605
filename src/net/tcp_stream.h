// `resp::Stream` on a TCP socket in the event loop, and the dialer that opens such streams.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <span>

#include "net/clock.h"
#include "resp/stream.h"

namespace cometfold::net {

class TcpStream : public resp::Stream {
 public:
  // `callbacks` must be owned by a shared_ptr before the first call that starts an asynchronous operation;
  // each operation keeps it alive until it completes.
  TcpStream(boost::asio::ip::tcp::socket socket, Clock& clock, resp::StreamCallbacks& callbacks)
      : socket_(std::move(socket)), clock_(clock), callbacks_(callbacks) {}

  // False if no socket can be opened. Otherwise `on_connected` is called within `timeout` milliseconds.
  bool connect(const boost::asio::ip::tcp::endpoint& address, Ms timeout);

  WriteResult write(std::string_view bytes) override;
  void await_writable() override;
  void read(std::span<char> buffer) override;
  void await_peer_close() override;
  void post() override;
  std::size_t unread_bytes() override;
  std::size_t unacknowledged_bytes() override;
  bool is_quiet() override;
  bool peer_closed() override;
  void send_pending_ack() override;
  void shutdown_send() override;
  void close() override;
  void abort() override;

 private:
  bool is_broken();
  void on_connect_finished(bool connected);
  void await_kernel_memory();
  void await_readable();
  // Leaves the next byte unread; returns 1 if there is one.
  std::size_t peek(boost::system::error_code& error);
  void on_readable(boost::system::error_code error);

  boost::asio::ip::tcp::socket socket_;
  Clock& clock_;
  resp::StreamCallbacks& callbacks_;
  std::unique_ptr<boost::asio::steady_timer> connect_timer_;  // while connecting
  std::span<char> read_buffer_;
  bool awaiting_readable_ = false;
  bool awaiting_close_only_ = false;   // received bytes stay unread
  bool out_of_kernel_memory_ = false;  // at the last write
};

class TcpDialer : public resp::Dialer {
 public:
  TcpDialer(boost::asio::io_context& io, Clock& clock) : io_(io), clock_(clock) {}
  std::unique_ptr<resp::Stream> dial(const resp::Address& address, Ms timeout,
                                     resp::StreamCallbacks& callbacks) override;
  bool free_descriptor() override { return free_one_ && free_one_(); }
  // `free_one` frees a descriptor, and returns false if it can't.
  void set_descriptor_source(std::function<bool()> free_one) { free_one_ = std::move(free_one); }

 private:
  boost::asio::io_context& io_;
  Clock& clock_;
  std::function<bool()> free_one_;
};

}  // namespace cometfold::net
