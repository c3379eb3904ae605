#include "tcp_stream.h"

#include <chrono>

namespace thistlepond::net {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

bool blocked(const error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

bool TcpStream::connect(const tcp::endpoint& at, Ms timeout) {
  error_code error;
  socket_.open(at.protocol(), error);
  if (error) return false;
  socket_.non_blocking(true, error);
  socket_.set_option(tcp::no_delay(true), error);
  timer_ = std::make_unique<asio::steady_timer>(socket_.get_executor());
  timer_->expires_after(std::chrono::microseconds(static_cast<std::int64_t>(timeout * 1000)));
  timer_->async_wait([this, keep = events_.shared_from_this()](error_code stopped) {
    if (!stopped && timer_) connected(false);
  });
  socket_.async_connect(at, [this, keep = events_.shared_from_this()](error_code failed) {
    if (timer_) connected(!failed);
  });
  return true;
}

void TcpStream::connected(bool up) {
  timer_.reset();
  events_.on_connected(clock_.now(), up);
}

resp::Stream::Written TcpStream::write(std::string_view bytes) {
  error_code error;
  const auto n = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
  return {n, blocked(error), error && !blocked(error)};
}

void TcpStream::await_writable() {
  socket_.async_wait(tcp::socket::wait_write, [this, keep = events_.shared_from_this()](error_code error) {
    events_.on_writable(clock_.now(), !error);
  });
}

void TcpStream::read(std::span<char> space) {
  socket_.async_read_some(asio::buffer(space.data(), space.size()),
                          [this, keep = events_.shared_from_this()](error_code error, std::size_t bytes) {
                            events_.on_read(clock_.now(), bytes, static_cast<bool>(error));
                          });
}

void TcpStream::later() {
  asio::post(socket_.get_executor(),
             [this, keep = events_.shared_from_this()] { events_.on_later(clock_.now()); });
}

std::size_t TcpStream::unread() {
  error_code ignored;
  return socket_.available(ignored);
}

bool TcpStream::quiet() {
  char byte;
  error_code error;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return blocked(error);
}

void TcpStream::shut_send() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void TcpStream::close() {
  timer_.reset();
  error_code ignored;
  socket_.close(ignored);
}

std::unique_ptr<resp::Stream> TcpDialer::dial(const resp::Address& at, Ms timeout,
                                              resp::StreamEvents& events) {
  error_code error;
  const auto ip = asio::ip::make_address(at.ip, error);
  if (error) return nullptr;
  auto stream = std::make_unique<TcpStream>(tcp::socket(io_), clock_, events);
  if (!stream->connect({ip, at.port}, timeout)) return nullptr;
  return stream;
}

}  // namespace thistlepond::net
