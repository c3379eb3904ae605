// A plain RESP2 relay with no decisions: what any gateway on sockets costs at least. Each client connection
// has one connection to a host, by turns; commands go through whole, of answers the value.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <vector>

namespace cometfold::emulators {

class Relay {
 public:
  Relay(boost::asio::io_context& io, std::vector<int> hosts, std::uint16_t port = 0);
  ~Relay();
  int port() const { return acceptor_.local_endpoint().port(); }

 private:
  class Connection;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<int> hosts_;
  std::size_t next_host_ = 0;
};

}  // namespace cometfold::emulators
