// A stand-in host that speaks HTTP/1.1, with faults by a draw. What it has run is kept for whoever judges.
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

// Parts of all requests, from 0 to 1; the rest is answered well.
struct HttpFaults {
  double error = 0;       // 500, after it ran
  double overloaded = 0;  // 429, before it ran
  double disconnect = 0;  // ran, and the connection ends instead of an answer
  double mean_ms = 1;
};

class HttpHost {
 public:
  // What happens to a request here, in the host's own words. `try_number` tells its attempts apart.
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
