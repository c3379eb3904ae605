// `resp::Stream` on a TCP socket in the event loop, and the dialler that makes them.
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
  // `events` must be owned by a shared_ptr by the time of the first call that waits for something.
  TcpStream(boost::asio::ip::tcp::socket socket, Clock& clock, resp::StreamCallbacks& events)
      : socket_(std::move(socket)), clock_(clock), events_(events) {}

  // False if there is no socket to be had. Else `on_connected` comes.
  bool connect(const boost::asio::ip::tcp::endpoint& at, Ms timeout);

  WriteResult write(std::string_view bytes) override;
  void await_writable() override;
  void read(std::span<char> space) override;
  void await_peer_close() override;
  void post() override;
  std::size_t unread_bytes() override;
  bool is_quiet() override;
  bool peer_closed() override;
  void send_pending_ack() override;
  void shutdown_send() override;
  void close() override;

 private:
  void connected(bool up);
  void await_memory();
  void await_readable();
  // Looks at the next byte and leaves it; how many there are, 0 or 1.
  std::size_t peek(boost::system::error_code& error);
  void readable(boost::system::error_code error);

  boost::asio::ip::tcp::socket socket_;
  Clock& clock_;
  resp::StreamCallbacks& events_;
  std::unique_ptr<boost::asio::steady_timer> timer_;  // while connecting
  std::span<char> space_;                             // to read into
  bool awaiting_ = false;                             // that something comes
  bool only_end_ = false;                             // and it stays unread
  bool starved_ = false;                              // the last write found no memory in the kernel
};

class TcpDialer : public resp::Dialer {
 public:
  TcpDialer(boost::asio::io_context& io, Clock& clock) : io_(io), clock_(clock) {}
  std::unique_ptr<resp::Stream> dial(const resp::Address& at, Ms timeout,
                                     resp::StreamCallbacks& events) override;
  bool free_descriptor() override { return make_room_ && make_room_(); }
  void set_make_room(std::function<bool()> make_room) { make_room_ = std::move(make_room); }

 private:
  boost::asio::io_context& io_;
  Clock& clock_;
  std::function<bool()> make_room_;
};

}  // namespace cometfold::net
