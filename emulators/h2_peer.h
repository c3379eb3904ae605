// A non-blocking gRPC client connection, driven by its owner, who polls fd().
#pragma once

#include <netinet/tcp.h>

#include <string>
#include <string_view>

#include "emulators/peer.h"
#include "http2/grpc_client.h"

namespace cometfold::emulators {

class H2Peer : private http2::SessionEvents {
 public:
  explicit H2Peer(int port, const http2::SessionLimits& limits = lenient_limits())
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
        session_(http2::Role::kClient, limits, *this, 0) {
    const auto at = loopback(port);
    if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
      throw PeerError("connect to loopback failed");
    }
    const int one = 1;
    ::setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }

  // Limits without a bound on cheap frames, so that the client accepts any number from its server.
  static http2::SessionLimits lenient_limits() {
    http2::SessionLimits limits;
    limits.cheap_frames_per_second = limits.cheap_frame_burst = 1e9;
    return limits;
  }
  int fd() const { return fd_.get(); }
  http2::Session& session() { return session_; }
  bool open() const { return open_; }
  // Whether output is pending that the socket did not accept.
  bool blocked() const { return blocked_; }

  // Null if no stream can be opened.
  http2::grpc::ClientCall* call(std::string_view path, std::unique_ptr<http2::grpc::ClientCallEvents> events,
                                const http2::Headers& metadata = {}) {
    return http2::grpc::start_call(session_, "127.0.0.1", path, metadata, std::move(events));
  }

  // Writes pending output until the socket would block.
  void flush() {
    blocked_ = false;
    for (auto bytes = session_.output(); open_ && !bytes.empty(); bytes = session_.output()) {
      const auto n = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0) {
        blocked_ = errno == EAGAIN;
        open_ = blocked_;
        return;
      }
      session_.consumed(static_cast<std::size_t>(n));
    }
  }
  // Processes received data without blocking. False at the end of the connection.
  bool take() {
    char part[65536];
    const auto n = ::recv(fd_.get(), part, sizeof part, MSG_DONTWAIT);
    if (n < 0 && errno == EAGAIN) return true;
    if (n <= 0 || !session_.feed(0, {part, static_cast<std::size_t>(n)})) open_ = false;
    return open_;
  }
  // Flushes, waits for data, processes it and flushes again. Throws after a timeout.
  bool turn() {
    flush();
    if (!open_) return false;
    if (!readable(fd_.get(), kWaitTimeoutMs)) throw PeerError("no data received before the timeout");
    const bool more = take();
    flush();
    return more;
  }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd_.reset();
    open_ = false;
  }

 private:
  std::unique_ptr<http2::StreamEvents> on_request(Ms, http2::Stream&, http2::HeaderBlock) override {
    return {};
  }
  void on_output() override {}

  Fd fd_;
  bool open_ = true, blocked_ = false;
  http2::Session session_;
};

}  // namespace cometfold::emulators
