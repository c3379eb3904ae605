// A stand-in proxy: takes HTTP/1.1 clients, asks the external processor about each request, forwards it where
// that says, and can be told to misbehave. It speaks the protocol through grpc++ and a description of its
// own, so that it shares no code with the processor. Blocking, a thread for each client.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace grpc {
class Channel;
}

namespace cometfold::emulators {

// What a client asks the proxy to do wrong, by the header x-misbehave.
//   cancel-asked    cancels the call right behind its question
//   cancel-decided  cancels the call when the decision has come, and drops the request
//   half-close      ends its side behind the decision, and forwards
//   silent          forwards, and never tells how that ended
//   twice           tells it twice
//   elsewhere       sends the request to `other`, and says so
//   stubborn        repeats a request with a bad answer though it was told not to
struct ProxyOptions {
  int processor = 0;     // its port
  int max_attempts = 3;  // of one request, while the answers are bad and the processor does not forbid it
  std::string other_endpoint;       // for `elsewhere`
  bool retry_broken_calls = false;  // a call that breaks without a decision is made again, as one more try
};

// Counted here, apart from the processor.
struct ProxyTotals {
  std::atomic<std::uint64_t> asked{0}, again{0};               // questions sent
  std::atomic<std::uint64_t> named{0}, refused{0}, failed{0};  // decisions that came
  std::atomic<std::uint64_t> undecided{0};                     // calls that it cancelled before
  std::atomic<std::uint64_t> broken{0};  // calls that ended without a decision, through no doing of its own
  std::atomic<std::uint64_t> extra{0};   // second decisions for one call
};

class Proxy {
 public:
  explicit Proxy(const ProxyOptions& options);
  ~Proxy();
  int port() const { return port_; }
  const ProxyTotals& totals() const { return totals_; }

 private:
  class Call;
  struct Request;
  struct Answer;

  void accept();
  void serve(boost::asio::ip::tcp::socket socket);
  Answer handle(const Request& request);
  bool attempt(const Request& request, int number, Answer& answer);

  ProxyOptions options_;
  ProxyTotals totals_;
  std::shared_ptr<grpc::Channel> channel_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> active_connections_{0};
  std::jthread thread_;
};

}  // namespace cometfold::emulators
