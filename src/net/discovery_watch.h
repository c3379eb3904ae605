// Watches one address of discovery: polls a snapshot, follows changes and reconnects with backoff.
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
struct DiscoveryCallOptions {
  double gateway_count = 1;  // gateways that call the same discovery, this one included
  bool local_agent = false;  // discovery is an agent on this machine, which answers at once
};

class DiscoveryWatchCallbacks {
 public:
  virtual ~DiscoveryWatchCallbacks() = default;
  // May close the watch.
  virtual void on_watch_list(DiscoveryWatch& watch, HostList list) = 0;
};

// Runs until it is closed. After a connection that breaks, is silent or sends malformed data, it reconnects
// after a backoff, from the version received last. `callbacks` and `random` must live until `close`.
class DiscoveryWatch : public std::enable_shared_from_this<DiscoveryWatch> {
 public:
  // `version`: of the list from which changes are followed; none if the snapshot must be polled first.
  DiscoveryWatch(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                 std::optional<std::uint64_t> version, const DiscoveryCallOptions& call_options,
                 std::mt19937_64& random, DiscoveryWatchCallbacks& callbacks);

  void start();
  // No callback is called after this, and no connection is opened again.
  void close();
  // Uses the current connection until it ends, but does not reconnect.
  void stop_reconnecting() { reconnecting_ = false; }
  // Closes the connection and polls the snapshot on the next one.
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
  DiscoveryCallOptions call_options_;
  std::mt19937_64& random_;
  DiscoveryWatchCallbacks& callbacks_;
  boost::asio::steady_timer backoff_timer_;
  Stream* stream_ = nullptr;                                            // of the current call
  std::optional<std::chrono::steady_clock::time_point> last_received_;  // on any of its connections
  bool received_data_ = false;  // a heartbeat or a valid list, since `connect_once` was called
  bool request_sent_ = false;   // since `connect_once` was called
  bool closed_ = false;
  bool reconnecting_ = true;
};

}  // namespace cometfold::net
