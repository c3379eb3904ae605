#include "net/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <chrono>
#include <utility>

namespace cometfold::net {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

bool would_block(const error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

// The kernel is out of memory for the bytes; the connection is not affected.
bool is_out_of_kernel_memory(const error_code& error) {
  return error == asio::error::no_buffer_space || error == asio::error::no_memory;
}

constexpr auto kWriteRetryDelay = std::chrono::milliseconds(5);

// Boost.Asio returns EINTR from its synchronous calls; it does not mean that the connection has failed.
template <class Call>
std::size_t retry_interrupted(error_code& error, Call&& call) {
  std::size_t bytes = 0;
  do {
    error.clear();
    bytes = call();
  } while (error == asio::error::interrupted);
  return bytes;
}

}  // namespace

bool TcpStream::connect(const tcp::endpoint& address, Ms timeout) {
  error_code error;
  socket_.open(address.protocol(), error);
  if (error) return false;
  socket_.non_blocking(true, error);
  socket_.set_option(tcp::no_delay(true), error);
  connect_timer_ = std::make_unique<asio::steady_timer>(socket_.get_executor());
  connect_timer_->expires_after(std::chrono::microseconds(static_cast<std::int64_t>(timeout * 1000)));
  connect_timer_->async_wait([this, keep = callbacks_.shared_from_this()](error_code cancelled) {
    if (!cancelled && connect_timer_) on_connect_finished(false);
  });
  socket_.async_connect(address, [this, keep = callbacks_.shared_from_this()](error_code failed) {
    if (connect_timer_) on_connect_finished(!failed);
  });
  return true;
}

void TcpStream::on_connect_finished(bool connected) {
  connect_timer_.reset();
  callbacks_.on_connected(clock_.now(), connected);
}

resp::Stream::WriteResult TcpStream::write(std::string_view bytes) {
  error_code error;
  const auto written = retry_interrupted(
      error, [&] { return socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error); });
  out_of_kernel_memory_ = is_out_of_kernel_memory(error);
  const bool blocked = out_of_kernel_memory_ || would_block(error);
  return {written, blocked, error && !blocked};
}

void TcpStream::await_writable() {
  if (out_of_kernel_memory_) return await_kernel_memory();
  socket_.async_wait(tcp::socket::wait_write, [this, keep = callbacks_.shared_from_this()](error_code error) {
    callbacks_.on_writable(clock_.now(), !error);
  });
}

// The socket polls as writable meanwhile, so waiting for writability would be a busy loop.
void TcpStream::await_kernel_memory() {
  const auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), kWriteRetryDelay);
  timer->async_wait([this, timer, keep = callbacks_.shared_from_this()](error_code error) {
    callbacks_.on_writable(clock_.now(), !error);
  });
}

// The wait is asynchronous and the read is not: an asynchronous read would take bytes out of the socket some
// iterations of the event loop before its handler runs, and a connection that is closed or reused in between
// would lose them.
void TcpStream::read(std::span<char> buffer) {
  read_buffer_ = buffer;
  awaiting_close_only_ = false;
  await_readable();
}

void TcpStream::await_peer_close() {
  awaiting_close_only_ = true;
  await_readable();
}

void TcpStream::await_readable() {
  if (std::exchange(awaiting_readable_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [this, keep = callbacks_.shared_from_this()](error_code error) {
    awaiting_readable_ = false;
    on_readable(error);
  });
}

void TcpStream::on_readable(error_code error) {
  if (awaiting_close_only_ && !error && !peer_closed()) return;
  std::size_t bytes = 0;
  if (!error && !awaiting_close_only_) {
    bytes = retry_interrupted(error, [&] {
      return socket_.read_some(asio::buffer(read_buffer_.data(), read_buffer_.size()), error);
    });
  }
  if (would_block(error)) return await_readable();  // a spurious wake-up
  callbacks_.on_read(clock_.now(), bytes, awaiting_close_only_ || error);
}

void TcpStream::post() {
  asio::post(socket_.get_executor(),
             [this, keep = callbacks_.shared_from_this()] { callbacks_.on_posted(clock_.now()); });
}

std::size_t TcpStream::unread_bytes() {
  error_code ignored;
  return socket_.available(ignored);
}

// After a reset the kernel still counts what it will never send.
bool TcpStream::is_broken() {
  tcp_info info{};
  socklen_t size = sizeof info;
  const int result = ::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return result != 0 || info.tcpi_state == TCP_CLOSE;
}

std::size_t TcpStream::unacknowledged_bytes() {
  int bytes = 0;
  if (::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes <= 0) return 0;
  return is_broken() ? 0 : static_cast<std::size_t>(bytes);
}

bool TcpStream::is_quiet() {
  error_code error;
  peek(error);
  return would_block(error);
}

std::size_t TcpStream::peek(error_code& error) {
  char byte;
  return retry_interrupted(
      error, [&] { return socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error); });
}

bool TcpStream::peer_closed() {
  pollfd request{socket_.native_handle(), POLLIN | POLLRDHUP, 0};
  const int ready = ::poll(&request, 1, 0);
  if (ready == 0) return false;
  if (ready > 0 && (request.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0) return true;
  error_code error;
  return peek(error) == 0 && !would_block(error);
}

// Linux sends a delayed acknowledgement when TCP_QUICKACK is set, and clears the option with the next write.
void TcpStream::send_pending_ack() {
  const asio::detail::socket_option::boolean<IPPROTO_TCP, TCP_QUICKACK> quick_ack(true);
  error_code ignored;
  socket_.set_option(quick_ack, ignored);
}

void TcpStream::shutdown_send() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void TcpStream::close() {
  connect_timer_.reset();
  error_code ignored;
  socket_.close(ignored);
}

// With a linger time of 0 the system drops its send buffer and resets the connection.
void TcpStream::abort() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

std::unique_ptr<resp::Stream> TcpDialer::dial(const resp::Address& address, Ms timeout,
                                              resp::StreamCallbacks& callbacks) {
  error_code error;
  const auto ip = asio::ip::make_address(address.ip, error);
  if (error) return nullptr;
  auto stream = std::make_unique<TcpStream>(tcp::socket(io_), clock_, callbacks);
  if (!stream->connect({ip, address.port}, timeout)) return nullptr;
  return stream;
}

}  // namespace cometfold::net
