#include "net/grpc_listener.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "net/log.h"
#include "net/tcp_stream.h"

namespace cometfold::net {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBufferBytes = std::size_t{32} * 1024;
constexpr int kBacklog = 1024;
constexpr auto kSweepInterval = std::chrono::milliseconds(250);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(5);
// Time for the client to close after the end of the output has reached its system.
constexpr Ms kLingerTimeoutMs = 500;

}  // namespace

class GrpcListener::Connection : public resp::StreamCallbacks, private http2::SessionEvents {
 public:
  Connection(GrpcListener& owner, std::uint64_t id, Ms now) : owner_(owner), id_(id), last_received_at_(now) {
    http2::SessionEvents& self = *this;
    calls_.emplace(owner.limits_.calls, owner.methods_, self, now);
  }

  void start(std::unique_ptr<resp::Stream> stream) {
    stream_ = std::move(stream);
    read();
    flush();
  }

  void on_connected(Ms, bool) override {}
  void on_read(Ms now, std::size_t bytes, bool closed_by_peer) override {
    reading_ = false;
    if (closed_) return;
    if (bytes > 0 && !lingering_since_) {
      last_received_at_ = now;
      ping_sent_ = false;
      in_session_ = true;
      const bool is_valid = calls_->session().feed(now, {buffer_.data(), bytes});
      session_failed_ = session_failed_ || !is_valid;
      in_session_ = false;
      flush();
    }
    if (closed_by_peer) close();
    read();
    owner_.on_activity_();
  }
  void on_writable(Ms, bool is_open) override {
    blocked_ = false;
    if (closed_) return;
    if (!is_open) return close();
    flush();
    owner_.on_activity_();
  }
  void on_posted(Ms) override {
    flush_posted_ = false;
    flush();
    owner_.on_activity_();
  }

  void sweep(Ms now) {
    if (lingering_since_) return close_if_lingered(now);
    calls_->sweep(now);
    const auto& limits = owner_.limits_;
    const Ms silence = now - last_received_at_;
    // The replies of a client that does not read would stay in memory.
    if (blocked_ && now - last_written_at_ > limits.response_timeout_ms) return close();
    if (!calls_->session().preface_received() && silence > limits.response_timeout_ms) return close();
    if (silence <= limits.silence_timeout_ms) return;
    if (!ping_sent_) {
      ping_sent_ = true;
      calls_->session().ping();
    } else if (silence > limits.silence_timeout_ms + limits.response_timeout_ms) {
      close();
    }
  }

  void announce_drain() {
    if (!lingering_since_) calls_->session().announce_drain();
  }
  void drain() {
    if (lingering_since_) return;
    calls_->session().drain();
    flush();
  }
  bool has_open_calls() { return calls_ && calls_->session().stream_count() > 0; }
  void close() {
    if (closed_) return;
    closed_ = true;
    stream_->close();  // not destroyed: its last callbacks may still be called
    // Not left to the destructor, which runs after those callbacks, when the services may be destroyed.
    calls_.reset();
    owner_.connections_.erase(id_);
  }

 private:
  void on_output() override {
    if (in_session_ || flush_posted_ || blocked_ || closed_ || lingering_since_) return;
    flush_posted_ = true;
    stream_->post();
  }
  std::unique_ptr<http2::StreamEvents> on_request(Ms, http2::Stream&, http2::HeaderBlock) override {
    return {};  // handled by http2::grpc::Connection
  }

  void read() {
    if (closed_ || reading_) return;
    if (!lingering_since_ && !calls_->session().wants_input()) return;
    reading_ = true;
    stream_->read(buffer_);
  }

  // Writing output may complete calls, which may produce more output.
  void flush() {
    if (closed_ || blocked_ || in_session_ || lingering_since_) return;
    in_session_ = true;
    auto& session = calls_->session();
    for (auto bytes = session.output(); !bytes.empty(); bytes = session.output()) {
      const auto written = stream_->write(bytes);
      if (written.disconnected) {
        in_session_ = false;
        return close();
      }
      session.consumed(written.bytes);
      if (written.bytes > 0 || !blocked_) last_written_at_ = owner_.clock_.now();
      if (written.blocked) {
        blocked_ = true;
        stream_->await_writable();
        break;
      }
    }
    in_session_ = false;
    if (!blocked_ && (session_failed_ || session.done())) linger();
    read();
  }

  // Closing a socket with unread bytes sends a reset, which may destroy the last responses on their way. So
  // the sending side is shut down, and further input is read and discarded until the client closes.
  void linger() {
    lingering_since_ = owner_.clock_.now();
    calls_.reset();
    stream_->shutdown_send();
  }
  void close_if_lingered(Ms now) {
    const Ms lingered_for = now - *lingering_since_;
    const bool is_delivered = stream_->unacknowledged_bytes() == 0;
    if (lingered_for > (is_delivered ? kLingerTimeoutMs : owner_.limits_.response_timeout_ms)) close();
  }

  GrpcListener& owner_;
  std::uint64_t id_;
  std::unique_ptr<resp::Stream> stream_;
  std::string buffer_ = std::string(kReadBufferBytes, '\0');
  Ms last_received_at_;
  Ms last_written_at_ = 0;
  bool reading_ = false;
  bool blocked_ = false;     // the socket accepts no more output now
  bool in_session_ = false;  // the session's output is flushed at the end of the call
  bool flush_posted_ = false;
  bool session_failed_ = false;
  bool ping_sent_ = false;
  bool closed_ = false;
  std::optional<Ms> lingering_since_;             // the output is written and the send side is shut down
  std::optional<http2::grpc::Connection> calls_;  // none after `linger` and `close`
};

GrpcListener::GrpcListener(asio::io_context& io, Clock& clock, http2::grpc::Methods& methods,
                           const GrpcLimits& limits, std::function<void()> on_activity)
    : io_(io),
      clock_(clock),
      methods_(methods),
      limits_(limits),
      on_activity_(std::move(on_activity)),
      acceptor_(io),
      accept_timer_(io),
      sweep_timer_(io) {}
GrpcListener::~GrpcListener() { close_all(); }

void GrpcListener::listen(const tcp::endpoint& address) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(kBacklog);
  acceptor_.non_blocking(true);
  acceptor_.set_option(
      asio::socket_base::enable_connection_aborted(true));  // see ClientServer::start_accepting
  accept();
  sweep();
}

void GrpcListener::accept() {
  if (draining_ || !acceptor_.is_open()) return;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted || draining_) return;
    if (error) {
      accept_later();
    } else {
      accept_one();
    }
  });
}

void GrpcListener::accept_one() {
  error_code error;
  tcp::socket socket(io_);
  if (connections_.size() < limits_.max_connections) {
    acceptor_.accept(socket, error);
    if (!error) {
      socket.non_blocking(true, error);
      socket.set_option(tcp::no_delay(true), error);
      const auto id = ++last_id_;
      const auto connection = std::make_shared<Connection>(*this, id, clock_.now());
      connections_.emplace(id, connection);
      connection->start(std::make_unique<TcpStream>(std::move(socket), clock_, *connection));
      if (drain_announced_) connection->announce_drain();
      return accept();
    }
    if (error == asio::error::would_block || error == asio::error::try_again ||
        error == asio::error::connection_aborted || error == asio::error::interrupted) {
      return accept();
    }
    log_line("accepting a gRPC connection failed, retrying", error.message());
  }
  accept_later();
}

void GrpcListener::accept_later() {
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) accept();
  });
}

void GrpcListener::sweep() {
  const auto connections = connections_;  // a copy, as a sweep may close some
  for (const auto& [id, connection] : connections) connection->sweep(clock_.now());
  on_activity_();
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](error_code error) {
    if (!error) sweep();
  });
}

void GrpcListener::announce_drain() {
  if (drain_announced_) return;
  drain_announced_ = true;
  for (const auto& [id, connection] : connections_) connection->announce_drain();
}

void GrpcListener::drain() {
  if (draining_) return;
  draining_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  const auto connections = connections_;  // a copy, as the calls may close some
  for (const auto& [id, connection] : connections) connection->drain();
}

bool GrpcListener::has_open_calls() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->has_open_calls(); });
}

void GrpcListener::close_all() {
  const auto connections = connections_;  // a copy, as the calls may close some
  for (const auto& [id, connection] : connections) connection->close();
}

}  // namespace cometfold::net
