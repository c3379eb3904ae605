#include "net/grpc_listener.h"

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

constexpr std::size_t kRead = 32 * 1024;
constexpr auto kSweep = std::chrono::milliseconds(250);
constexpr auto kAcceptAgain = std::chrono::milliseconds(5);

}  // namespace

class GrpcListener::Connection : public resp::StreamCallbacks, private http2::SessionEvents {
 public:
  Connection(GrpcListener& owner, std::uint64_t id, Ms now) : owner_(owner), id_(id), heard_at_(now) {
    http2::SessionEvents& self = *this;
    calls_.emplace(owner.limits_.calls, owner.methods_, self, now);
  }

  void start(std::unique_ptr<resp::Stream> stream) {
    stream_ = std::move(stream);
    read();
    flush();
  }

  void on_connected(Ms, bool) override {}
  void on_read(Ms now, std::size_t bytes, bool ended) override {
    reading_ = false;
    if (closed_) return;
    if (bytes > 0) {
      heard_at_ = now;
      pinged_ = false;
      in_feed_ = true;
      ending_ = !calls_->session().feed(now, {buffer_.data(), bytes}) || ending_;
      in_feed_ = false;
      flush();
    }
    if (ended) close();
    read();
    owner_.after_();
  }
  void on_writable(Ms, bool ok) override {
    blocked_ = false;
    if (closed_) return;
    if (!ok) return close();
    flush();
    owner_.after_();
  }
  void on_posted(Ms) override {
    flush_asked_ = false;
    flush();
    owner_.after_();
  }

  void sweep(Ms now) {
    calls_->sweep(now);
    const auto& limits = owner_.limits_;
    // Danger: a client that does not read would keep all that it has asked for here for ever.
    if (blocked_ && now - progress_at_ > limits.answer_ms) return close();
    if (!calls_->session().began() && now - heard_at_ > limits.answer_ms) return close();
    if (now - heard_at_ <= limits.silent_ms) return;
    if (!pinged_) {
      pinged_ = true;
      calls_->session().ping();
    } else if (now - heard_at_ > limits.silent_ms + limits.answer_ms) {
      close();
    }
  }

  void announce_drain() { calls_->session().announce_drain(); }
  void drain() {
    calls_->session().drain();
    flush();
  }
  void close() {
    if (closed_) return;
    closed_ = true;
    stream_->close();  // and kept: its last events may still come
    // Now, not when the stream's last event lets go of this: whoever serves the calls may be gone by then.
    calls_.reset();
    owner_.connections_.erase(id_);  // the stream's last event still holds this
  }

 private:
  void on_output() override {
    if (in_feed_ || flush_asked_ || blocked_ || closed_) return;
    flush_asked_ = true;
    stream_->post();
  }
  std::unique_ptr<http2::StreamEvents> on_request(Ms, http2::Stream&, http2::HeaderBlock) override {
    return {};  // the calls' own
  }

  void read() {
    if (closed_ || reading_ || !calls_->session().wants_input()) return;
    reading_ = true;
    stream_->read(buffer_);
  }

  // Danger: writing may end calls, and so lead to more to write.
  void flush() {
    if (closed_ || blocked_ || in_feed_) return;
    in_feed_ = true;
    auto& session = calls_->session();
    for (auto bytes = session.output(); !bytes.empty(); bytes = session.output()) {
      const auto written = stream_->write(bytes);
      if (written.disconnected) {
        in_feed_ = false;
        return close();
      }
      session.consumed(written.bytes);
      if (written.bytes > 0 || !blocked_) progress_at_ = owner_.clock_.now();
      if (written.blocked) {
        blocked_ = true;
        stream_->await_writable();
        break;
      }
    }
    in_feed_ = false;
    if (!blocked_ && (ending_ || session.done())) return close();
    read();
  }

  GrpcListener& owner_;
  std::uint64_t id_;
  std::unique_ptr<resp::Stream> stream_;
  std::string buffer_ = std::string(kRead, '\0');
  Ms heard_at_, progress_at_ = 0;
  bool reading_ = false, blocked_ = false, in_feed_ = false, flush_asked_ = false, ending_ = false;
  bool pinged_ = false, closed_ = false;
  std::optional<http2::grpc::Connection> calls_;  // until `close`
};

GrpcListener::GrpcListener(asio::io_context& io, Clock& clock, http2::grpc::Methods& methods,
                           const GrpcLimits& limits, std::function<void()> after)
    : io_(io),
      clock_(clock),
      methods_(methods),
      limits_(limits),
      after_(std::move(after)),
      acceptor_(io),
      retry_accept_(io),
      sweep_timer_(io) {}
GrpcListener::~GrpcListener() { close_all(); }

void GrpcListener::listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(1024);
  acceptor_.non_blocking(true);
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));  // see Clients::begin
  accept();
  sweep();
}

void GrpcListener::accept() {
  if (draining_ || !acceptor_.is_open()) return;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted || draining_) return;
    error ? accept_later() : accept_one();
  });
}

void GrpcListener::accept_one() {
  error_code error;
  tcp::socket socket(io_);
  if (connections_.size() < limits_.connections) {
    acceptor_.accept(socket, error);
    if (!error) {
      socket.non_blocking(true, error);
      socket.set_option(tcp::no_delay(true), error);
      const auto id = ++last_id_;
      const auto made = std::make_shared<Connection>(*this, id, clock_.now());
      connections_.emplace(id, made);
      made->start(std::make_unique<TcpStream>(std::move(socket), clock_, *made));
      if (announced_) made->announce_drain();
      return accept();
    }
    if (error == asio::error::would_block || error == asio::error::try_again ||
        error == asio::error::connection_aborted || error == asio::error::interrupted) {
      return accept();
    }
    log_line("accept failed", error.message());
  }
  accept_later();
}

void GrpcListener::accept_later() {
  retry_accept_.expires_after(kAcceptAgain);
  retry_accept_.async_wait([this](error_code stopped) {
    if (!stopped) accept();
  });
}

void GrpcListener::sweep() {
  const auto all = connections_;  // a sweep may close some
  for (const auto& [id, c] : all) c->sweep(clock_.now());
  after_();
  sweep_timer_.expires_after(kSweep);
  sweep_timer_.async_wait([this](error_code error) {
    if (!error) sweep();
  });
}

void GrpcListener::announce_drain() {
  if (announced_) return;
  announced_ = true;
  for (const auto& [id, c] : connections_) c->announce_drain();
}

void GrpcListener::drain() {
  if (draining_) return;
  draining_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  retry_accept_.cancel();
  const auto all = connections_;
  for (const auto& [id, c] : all) c->drain();
}

void GrpcListener::close_all() {
  const auto all = connections_;
  for (const auto& [id, c] : all) c->close();
}

}  // namespace cometfold::net
