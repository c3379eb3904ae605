// Where operators call: HTTP/1.1, one call a connection, in the gateway's event loop.
#pragma once

#include <boost/asio.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "ops/operator_calls.h"

namespace cometfold::net {

class AdminServer {
 public:
  // `gateway` must outlast the server.
  AdminServer(boost::asio::io_context& io, ops::GatewayOperations& gateway);
  ~AdminServer();

  // Throws boost::system::system_error if the address can't be had.
  void listen(const boost::asio::ip::tcp::endpoint& at);
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return callers_.size(); }

 private:
  class Caller;
  void accept();
  void make_room();

  boost::asio::io_context& io_;
  ops::GatewayOperations& gateway_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer again_;
  std::list<std::shared_ptr<Caller>> callers_;  // in the order in which they came
};

}  // namespace cometfold::net
