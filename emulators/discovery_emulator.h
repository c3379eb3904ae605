// A stand-in discovery agent: the whole list and a watch over HTTP/1.1, as the protocol page has them.
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
  // A host's state: active, leaving or left. Told to all watches at once.
  void set(const std::string& uid, int port, const std::string& state);
  // Silent: takes connections and says nothing, on open watches too.
  void set_silent(bool on) { silent_ = on; }
  // The whole list as it stands.
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
