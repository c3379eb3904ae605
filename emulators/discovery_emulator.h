// Discovery emulator: serves the full host list and a watch of its changes over HTTP/1.1.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cometfold::emulators {

class DiscoveryEmulator {
 public:
  explicit DiscoveryEmulator(boost::asio::io_context& io, std::uint16_t port = 0);
  ~DiscoveryEmulator();

  int port() const { return acceptor_.local_endpoint().port(); }
  // Sets a host's state: active, leaving or left, which removes it. Sends the change to all watches.
  void set(const std::string& uid, int port, const std::string& state);
  // While silent it accepts connections but sends nothing, neither replies nor changes nor heartbeats.
  void set_silent(bool on) { silent_ = on; }
  // The current host list as JSON.
  std::string full_list() const;

 private:
  class Session;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, std::string> targets_;  // JSON by uid
  std::set<std::shared_ptr<Session>> watches_;
  int revision_ = 1;
  bool silent_ = false;
};

}  // namespace cometfold::emulators
