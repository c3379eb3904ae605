// The HTTP/1.1 admin server for operators: one call per connection, in the gateway's event loop.
#pragma once

#include <boost/asio.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "ops/operator_calls.h"

namespace cometfold::net {

class AdminServer {
 public:
  // `gateway` must outlive the server.
  AdminServer(boost::asio::io_context& io, ops::GatewayOperations& gateway);
  ~AdminServer();

  // Throws boost::system::system_error if the address can't be used.
  void listen(const boost::asio::ip::tcp::endpoint& address);
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connection_count() const { return connections_.size(); }

 private:
  class Connection;
  void accept();
  void evict_one_at_limit();

  boost::asio::io_context& io_;
  ops::GatewayOperations& gateway_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
};

}  // namespace cometfold::net
