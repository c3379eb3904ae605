// gRPC on sockets: a listener and its HTTP/2 connections, each a `http2::grpc::Connection` on a `TcpStream`.
#pragma once

#include <boost/asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "http2/grpc_server.h"
#include "net/clock.h"

namespace cometfold::net {

struct GrpcLimits {
  std::size_t connections = 64;  // more wait in the kernel
  Ms silent_ms = 15'000;         // a connection that says nothing for so long is asked whether it is there
  Ms answer_ms = 10'000;         // ... and has so long to say so, to begin, or to take what waits for it
  http2::grpc::ServerLimits calls;
};

class GrpcListener {
 public:
  // `after` is called when a connection's events have been dealt with.
  GrpcListener(boost::asio::io_context& io, Clock& clock, http2::grpc::Methods& methods,
               const GrpcLimits& limits, std::function<void()> after);
  ~GrpcListener();

  // Throws if the address can't be had.
  void listen(const boost::asio::ip::tcp::endpoint& at);
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Tells all clients that the end is near; what they still begin is served.
  void announce_drain();
  // No new calls; connections close when those that are open have ended.
  void drain();
  void close_all();
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;

  void accept();
  void accept_one();
  void accept_later();
  void sweep();

  boost::asio::io_context& io_;
  Clock& clock_;
  http2::grpc::Methods& methods_;
  GrpcLimits limits_;
  std::function<void()> after_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_accept_, sweep_timer_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> connections_;
  std::uint64_t last_id_ = 0;
  bool announced_ = false, draining_ = false, waiting_ = false;
};

}  // namespace cometfold::net
