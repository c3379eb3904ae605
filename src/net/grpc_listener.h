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
  std::size_t max_connections = 64;  // further ones wait in the accept queue
  // A connection on which nothing has been received for this time is pinged.
  Ms silence_timeout_ms = 15'000;
  // For the response to a ping, the HTTP/2 connection preface, and for the client to read pending output.
  Ms response_timeout_ms = 10'000;
  http2::grpc::ServerLimits calls;
};

class GrpcListener {
 public:
  // `on_activity` is called after events of a connection have been handled.
  GrpcListener(boost::asio::io_context& io, Clock& clock, http2::grpc::Methods& methods,
               const GrpcLimits& limits, std::function<void()> on_activity);
  ~GrpcListener();

  // Throws boost::system::system_error if the address can't be used.
  void listen(const boost::asio::ip::tcp::endpoint& address);
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Sends a first GOAWAY to all clients; calls that they still start are served.
  void announce_drain();
  // Accepts no new calls; connections close when their calls have ended.
  void drain();
  void close_all();
  std::size_t connection_count() const { return connections_.size(); }
  // Whether a call is open on some connection.
  bool has_open_calls() const;

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
  std::function<void()> on_activity_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer sweep_timer_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> connections_;
  std::uint64_t last_id_ = 0;
  bool drain_announced_ = false;
  bool draining_ = false;
};

}  // namespace cometfold::net
