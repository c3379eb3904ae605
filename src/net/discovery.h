// Keeps the list of hosts up to date with one watch of discovery, or two while its address changes.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>

#include "net/discovery_watch.h"
#include "net/host_list.h"
#include "net/recent_departures.h"

namespace cometfold::net {

class DiscoveryCallbacks {
 public:
  virtual ~DiscoveryCallbacks() = default;
  virtual void on_host_list(const HostList& list) = 0;
};

// After `set_address` the current watch stays in use until the new one has received its snapshot, so that no
// departure reported meanwhile is lost. For 0.5 s after that the departures of the retired watch still count,
// as some may not have been read yet; then it is closed.
class Discovery : private DiscoveryWatchCallbacks {
 public:
  Discovery(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, std::uint64_t seed,
            const DiscoveryCallOptions& call_options, DiscoveryCallbacks& callbacks);
  ~Discovery() override;
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // `cached`: the list of an earlier process; the first watch follows changes from its version.
  void start(const HostList& cached);
  void set_address(const boost::asio::ip::tcp::endpoint& address);

 private:
  void on_watch_list(DiscoveryWatch& watch, HostList list) override;
  void on_retired_watch_list(HostList list);
  void on_first_list_of_next(HostList& list);
  void activate_next_watch();
  void publish(const HostList& list);
  std::shared_ptr<DiscoveryWatch> make_watch(const boost::asio::ip::tcp::endpoint& address,
                                             std::optional<std::uint64_t> version);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint initial_address_;
  std::mt19937_64 random_;
  DiscoveryCallOptions call_options_;
  DiscoveryCallbacks& callbacks_;
  std::shared_ptr<DiscoveryWatch> current_;
  std::shared_ptr<DiscoveryWatch> next_;     // becomes the current one with its snapshot
  std::shared_ptr<DiscoveryWatch> retired_;  // was the current one until then
  RecentDepartures departures_;
  boost::asio::steady_timer refetch_timer_;
  boost::asio::steady_timer retire_timer_;
};

}  // namespace cometfold::net
