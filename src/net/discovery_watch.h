// A watch of one address of discovery: poll, follow, and reconnect with backoff.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "net/backoff.h"
#include "net/host_list.h"

namespace cometfold::net {

class DiscoveryWatch;

// How this gateway calls discovery.
struct DiscoveryLoad {
  double gateway_count = 1;  // that call the same discovery, this one included
  bool local_agent = false;  // discovery has an agent on this machine, which answers at once and at no cost
};

class DiscoveryWatchCallbacks {
 public:
  virtual ~DiscoveryWatchCallbacks() = default;
  // May close the watch.
  virtual void on_watch_list(DiscoveryWatch& watch, HostList list) = 0;
};

// Runs until it is closed. A connection that breaks, is silent or sends what can't be read is opened again
// after a backoff, from the version received last. The callbacks and the random numbers must live until
// `close`.
class DiscoveryWatch : public std::enable_shared_from_this<DiscoveryWatch> {
 public:
  // `version`: of the list that this address is followed from; none if its snapshot must be polled first.
  DiscoveryWatch(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                 std::optional<std::uint64_t> version, const DiscoveryLoad& load, std::mt19937_64& random,
                 DiscoveryWatchCallbacks& callbacks);

  void start();
  // No callback comes after this, and no connection is opened again.
  void close();
  // The connection is used until it ends, but not opened again.
  void stop_reconnecting() { reconnecting_ = false; }
  // Ends the connection and polls the snapshot with the next one.
  void refetch_snapshot();
  const boost::asio::ip::tcp::endpoint& address() const { return address_; }

 private:
  using Stream = boost::beast::tcp_stream;
  struct Failure {
    std::string reason;
    bool rejected = false;
  };

  boost::asio::awaitable<void> run(std::shared_ptr<DiscoveryWatch> self);
  boost::asio::awaitable<Failure> connect_once();
  boost::asio::awaitable<void> wait(std::chrono::milliseconds min, std::chrono::milliseconds span);
  boost::asio::awaitable<void> poll();
  boost::asio::awaitable<void> follow();
  boost::asio::awaitable<void> send_request(Stream& stream, const std::string& path);
  void on_heartbeat();
  void on_list(const boost::json::value& json);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  std::optional<std::uint64_t> version_;
  DiscoveryLoad load_;
  std::mt19937_64& random_;
  DiscoveryWatchCallbacks& callbacks_;
  boost::asio::steady_timer backoff_timer_;
  Stream* stream_ = nullptr;                                            // of the call under way
  std::optional<std::chrono::steady_clock::time_point> last_received_;  // on any of its connections
  bool received_data_ = false;  // something that could be read, in this attempt
  bool request_sent_ = false;   // in this attempt
  bool closed_ = false;
  bool reconnecting_ = true;
};

}  // namespace cometfold::net
