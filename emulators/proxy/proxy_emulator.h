// Proxy emulator: accepts HTTP/1.1 clients, asks the external processor about each request, forwards it to
// the host in the decision, and misbehaves on request. It uses grpc++ and its own .proto file, so it shares
// no code with the processor. Blocking, with one thread per client.
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

// The header x-misbehave of a client's request selects a misbehaviour:
//   cancel-asked    cancels the call right after sending the request headers
//   cancel-decided  cancels the call after the decision and drops the request
//   half-close      half-closes the call after the decision and forwards the request
//   silent          forwards the request and never reports the response
//   twice           reports the response twice
//   elsewhere       sends the request to `other_endpoint` and reports that endpoint
//   stubborn        retries an error response although the decision forbids retries
struct ProxyOptions {
  int processor = 0;                // port of the external processor
  int max_attempts = 3;             // of one request with error responses, if the processor allows retries
  std::string other_endpoint;       // for `elsewhere`
  bool retry_broken_calls = false;  // a call that ends without a decision is repeated as the next attempt
};

// Counted independently of the processor.
struct ProxyTotals {
  std::atomic<std::uint64_t> asked{0}, again{0};  // request headers sent: first attempts, retries
  std::atomic<std::uint64_t> named{0}, refused{0}, failed{0};  // decisions received: host, refusal, error
  std::atomic<std::uint64_t> undecided{0};  // calls that the proxy cancelled before the decision
  std::atomic<std::uint64_t> broken{0};     // other calls that ended without a decision
  std::atomic<std::uint64_t> extra{0};      // unexpected messages after an immediate response
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
