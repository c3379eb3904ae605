// A RESP2 relay without admission or routing, the baseline for the cost of a gateway. Each client connection
// gets a connection to one host, in rotation; commands are forwarded whole, of replies only the value or the
// error.
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
