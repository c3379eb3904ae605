#include "emulators/discovery_emulator.h"

#include <chrono>

#include "emulators/words.h"

namespace cometfold::emulators {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto kHeartbeatInterval = std::chrono::seconds(2);
constexpr std::size_t kMaxHeadBytes = 16 * 1024;

std::string as_chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

class DiscoveryEmulator::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(DiscoveryEmulator& owner, tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), timer_(socket_.get_executor()) {}

  void start() {
    asio::async_read_until(socket_, asio::dynamic_buffer(head_, kMaxHeadBytes), "\r\n\r\n",
                           [self = shared_from_this()](error_code error, std::size_t n) {
                             if (error) return self->close();
                             const auto line = self->head_.substr(0, self->head_.find("\r\n"));
                             self->head_.erase(0, n);
                             self->handle_request(line);
                           });
  }

  void send_chunk(const std::string& text) {
    error_code error;
    asio::write(socket_, asio::buffer(as_chunk(text)), error);
    if (error) close();
  }

 private:
  void handle_request(const std::string& line) {
    if (owner_.silent_) return;
    if (line.starts_with("GET /api/targets?follow=1")) {
      error_code ignored;
      asio::write(socket_,
                  asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n")),
                  ignored);
      owner_.watches_.insert(shared_from_this());
      send_chunk(owner_.full_list() + "\n");
      return schedule_heartbeat();
    }
    const bool is_list = line.starts_with("GET /api/targets ");
    const std::string body = is_list ? owner_.full_list() : "no such call";
    error_code error;
    asio::write(
        socket_,
        asio::buffer((is_list ? "HTTP/1.1 200 OK" : "HTTP/1.1 404 Not Found") +
                     std::string("\r\nContent-Length: ") + std::to_string(body.size()) + "\r\n\r\n" + body),
        error);
    if (error) return close();
    start();
  }

  void schedule_heartbeat() {
    timer_.expires_after(kHeartbeatInterval);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (error || !self->socket_.is_open()) return;
      if (!self->owner_.silent_) self->send_chunk("\n");
      self->schedule_heartbeat();
    });
  }

  void close() {
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->owner_.watches_.erase(self); });
  }

  DiscoveryEmulator& owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string head_;
};

DiscoveryEmulator::DiscoveryEmulator(asio::io_context& io, std::uint16_t port)
    : io_(io), acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), port)) {
  accept();
}
DiscoveryEmulator::~DiscoveryEmulator() = default;

void DiscoveryEmulator::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) std::make_shared<Session>(*this, std::move(socket))->start();
    accept();
  });
}

void DiscoveryEmulator::set(const std::string& uid, int port, const std::string& state) {
  ++revision_;
  const auto entry = target(uid, port, state);
  if (state == "left") {
    targets_.erase(uid);
  } else {
    targets_[uid] = entry;
  }
  if (silent_) return;
  const auto all = watches_;  // a watch whose send fails is closed and removed
  for (const auto& watch : all) watch->send_chunk(list(revision_, false, {entry}) + "\n");
}

std::string DiscoveryEmulator::full_list() const {
  std::vector<std::string> all;
  for (const auto& [uid, entry] : targets_) all.push_back(entry);
  return list(revision_, true, all);
}

}  // namespace cometfold::emulators
