// HTTP/1.1 host emulator with random faults. It reports each request's events for rule checkers.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace cometfold::emulators {

// Fractions of all requests, from 0 to 1; the remaining requests are answered correctly.
struct HttpFaults {
  double error = 0;       // executes and replies 500
  double overloaded = 0;  // replies 429 without executing
  double disconnect = 0;  // executes and closes the connection instead of replying
  double mean_ms = 1;
};

class HttpHost {
 public:
  // Events of a request at this host. `attempt_number` is unique over all hosts and tells attempts apart.
  enum class RequestEvent : std::uint8_t { kReceived, kNotExecuted, kEnded };
  using Record =
      std::function<void(RequestEvent event, const std::string& request_id, std::uint64_t attempt_number)>;

  HttpHost(const HttpFaults& faults, std::uint64_t seed, Record record);
  ~HttpHost();
  int port() const { return port_; }

 private:
  void accept();
  void serve(boost::asio::ip::tcp::socket socket);
  double draw();

  HttpFaults faults_;
  Record record_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> active_connections_{0};
  std::jthread thread_;
};

}  // namespace cometfold::emulators
