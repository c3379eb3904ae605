// Blocking clients and servers on loopback for tests. Every wait is for an event and throws after a timeout,
// so that a test fails instead of hanging.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cometfold::emulators {

constexpr int kWaitTimeoutMs = 30'000;  // timeout of each wait for a peer or a log

struct PeerError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }
  void reset() { *this = Fd(); }

 private:
  int fd_;
};

inline bool readable(int fd, int ms) {
  pollfd p{fd, POLLIN, 0};
  return ::poll(&p, 1, ms) > 0;
}

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}

// One blocking connection.
class Peer {
 public:
  explicit Peer(Fd fd) : fd_(std::move(fd)) {}
  static Peer connect(int port) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto at = loopback(port);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
      throw PeerError("connect to loopback failed");
    return Peer(std::move(fd));
  }

  void send(std::string_view text) {
    while (!text.empty()) {
      const auto n = ::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL);
      if (n <= 0) throw PeerError("send failed");
      text.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  // Waits for data and appends it to the buffer. False at the end of the connection.
  bool receive() {
    if (!readable(fd_.get(), kWaitTimeoutMs)) throw PeerError("no data received before the timeout");
    char part[65536];
    const auto n = ::recv(fd_.get(), part, sizeof part, 0);
    if (n <= 0) return false;
    buffer_.append(part, static_cast<std::size_t>(n));
    return true;
  }
  std::string exactly(std::size_t size) {
    while (buffer_.size() < size) {
      if (!receive()) throw PeerError("the connection was closed");
    }
    return take(size);
  }
  // The next line, without its CR LF.
  std::string line() {
    std::size_t end;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!receive()) throw PeerError("the connection was closed");
    }
    const auto text = take(end + 2);
    return text.substr(0, end);
  }
  // The next RESP reply: the value of a bulk string, the whole line of any other type.
  std::string reply() {
    const auto head = line();
    if (head.at(0) != '$') return head;
    const auto value = exactly(std::stoul(head.substr(1)) + 2);
    return value.substr(0, value.size() - 2);
  }
  std::vector<std::string> command() {
    std::vector<std::string> words(std::stoul(line().substr(1)));
    for (auto& w : words) w = reply();
    return words;
  }
  // Waits for the end of the connection and discards data before it; throws if it doesn't end.
  bool wait_for_close() {
    while (receive()) {
    }
    return true;
  }
  // The same; false if the connection was reset and not closed in order.
  bool closes_in_order() {
    char part[65536];
    for (;;) {
      if (!readable(fd_.get(), kWaitTimeoutMs))
        throw PeerError("the connection was not closed before the timeout");
      const auto n = ::recv(fd_.get(), part, sizeof part, 0);
      if (n <= 0) return n == 0;
    }
  }
  // Waits until the other side has reset the connection.
  bool is_reset() {
    pollfd p{fd_.get(), 0, 0};
    return ::poll(&p, 1, kWaitTimeoutMs) > 0 && (p.revents & POLLERR) != 0;
  }
  bool receives_nothing(int ms) { return buffer_.empty() && !readable(fd_.get(), ms); }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd_.reset();
  }
  void close() { fd_.reset(); }
  // Half-closes the connection; replies can still be received.
  void shutdown_send() { ::shutdown(fd_.get(), SHUT_WR); }

 private:
  std::string take(std::size_t size) {
    const auto text = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return text;
  }
  Fd fd_;
  std::string buffer_;
};

class Listener {
 public:
  explicit Listener(int backlog = 64) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto at = loopback(0);
    ::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
    ::listen(fd_.get(), backlog);
    socklen_t size = sizeof at;
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
  }
  int port() const { return port_; }
  int fd() const { return fd_.get(); }
  bool waiting(int ms) const { return readable(fd_.get(), ms); }
  Peer accept() {
    if (!waiting(kWaitTimeoutMs)) throw PeerError("no connection before the timeout");
    return Peer(Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  }
  void close() { fd_.reset(); }
  // Waits until one of the two has a pending connection; true if `a` has one.
  static bool first_of(const Listener& a, const Listener& b) {
    pollfd both[] = {{a.fd_.get(), POLLIN, 0}, {b.fd_.get(), POLLIN, 0}};
    if (::poll(both, 2, kWaitTimeoutMs) <= 0) throw PeerError("no connection before the timeout");
    return (both[0].revents & POLLIN) != 0;
  }

 private:
  Fd fd_;
  int port_ = 0;
};

}  // namespace cometfold::emulators
