#include "net/tcp_stream.h"

#include <netinet/tcp.h>
#include <poll.h>

#include <chrono>
#include <utility>

namespace cometfold::net {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

bool blocked(const error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

// The kernel has no memory for it now. The connection is whole.
bool starved(const error_code& error) {
  return error == asio::error::no_buffer_space || error == asio::error::no_memory;
}

constexpr auto kWriteAgain = std::chrono::milliseconds(5);

// Danger: the library hands on the EINTR of its synchronous calls, and it would look like a broken
// connection.
template <class Call>
std::size_t uninterrupted(error_code& error, Call&& call) {
  std::size_t bytes = 0;
  do {
    error.clear();
    bytes = call();
  } while (error == asio::error::interrupted);
  return bytes;
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

resp::Stream::WriteResult TcpStream::write(std::string_view bytes) {
  error_code error;
  const auto n = uninterrupted(
      error, [&] { return socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error); });
  starved_ = starved(error);
  const bool later = starved_ || blocked(error);
  return {n, later, error && !later};
}

void TcpStream::await_writable() {
  if (starved_) return await_memory();
  socket_.async_wait(tcp::socket::wait_write, [this, keep = events_.shared_from_this()](error_code error) {
    events_.on_writable(clock_.now(), !error);
  });
}

// The socket says that it is writable, so a wait for that would spin.
void TcpStream::await_memory() {
  const auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), kWriteAgain);
  timer->async_wait([this, timer, keep = events_.shared_from_this()](error_code error) {
    events_.on_writable(clock_.now(), !error);
  });
}

// Danger: an asynchronous read takes bytes out of the socket some turns before it tells of them. A connection
// that is closed or used anew in between looks quiet and is not: a request taken in is lost, noise is taken
// for an answer. So the wait is asynchronous and the read is not.
void TcpStream::read(std::span<char> space) {
  space_ = space;
  await_readable();
}

void TcpStream::await_peer_close() {
  only_end_ = true;
  await_readable();
}

void TcpStream::await_readable() {
  if (std::exchange(awaiting_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [this, keep = events_.shared_from_this()](error_code error) {
    awaiting_ = false;
    readable(error);
  });
}

void TcpStream::readable(error_code error) {
  if (only_end_ && !error && !peer_closed()) return;  // what has come stays where it is
  std::size_t bytes = 0;
  if (!error && !only_end_) {
    bytes = uninterrupted(
        error, [&] { return socket_.read_some(asio::buffer(space_.data(), space_.size()), error); });
  }
  if (blocked(error)) return await_readable();  // nothing was there after all
  events_.on_read(clock_.now(), bytes, only_end_ || error);
}

void TcpStream::post() {
  asio::post(socket_.get_executor(),
             [this, keep = events_.shared_from_this()] { events_.on_posted(clock_.now()); });
}

std::size_t TcpStream::unread_bytes() {
  error_code ignored;
  return socket_.available(ignored);
}

bool TcpStream::is_quiet() {
  error_code error;
  peek(error);
  return blocked(error);
}

std::size_t TcpStream::peek(error_code& error) {
  char byte;
  return uninterrupted(
      error, [&] { return socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error); });
}

bool TcpStream::peer_closed() {
  pollfd look{socket_.native_handle(), POLLIN | POLLRDHUP, 0};
  const int found = ::poll(&look, 1, 0);
  if (found == 0) return false;
  if (found > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0) return true;
  error_code error;
  return peek(error) == 0 && !blocked(error);
}

// Linux sends what is due at once when the option is set. It does not last: the next write ends it.
void TcpStream::send_pending_ack() {
  const asio::detail::socket_option::boolean<IPPROTO_TCP, TCP_QUICKACK> at_once(true);
  error_code ignored;
  socket_.set_option(at_once, ignored);
}

void TcpStream::shutdown_send() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void TcpStream::close() {
  timer_.reset();
  error_code ignored;
  socket_.close(ignored);
}

std::unique_ptr<resp::Stream> TcpDialer::dial(const resp::Address& at, Ms timeout,
                                              resp::StreamCallbacks& events) {
  error_code error;
  const auto ip = asio::ip::make_address(at.ip, error);
  if (error) return nullptr;
  auto stream = std::make_unique<TcpStream>(tcp::socket(io_), clock_, events);
  if (!stream->connect({ip, at.port}, timeout)) return nullptr;
  return stream;
}

}  // namespace cometfold::net
