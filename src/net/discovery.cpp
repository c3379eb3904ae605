#include "net/discovery.h"

#include <chrono>
#include <optional>
#include <utility>

namespace cometfold::net {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

namespace {

// Long enough to read what the retired address had sent before the switch.
constexpr auto kRetiredWatchLinger = std::chrono::milliseconds(500);

}  // namespace

Discovery::Discovery(asio::io_context& io, const tcp::endpoint& address, std::uint64_t seed,
                     const DiscoveryCallOptions& call_options, DiscoveryCallbacks& callbacks)
    : io_(io),
      initial_address_(address),
      random_(seed),
      call_options_(call_options),
      callbacks_(callbacks),
      refetch_timer_(io),
      retire_timer_(io) {}

Discovery::~Discovery() {
  for (const auto& watch : {current_, next_, retired_}) {
    if (watch) watch->close();
  }
}

std::shared_ptr<DiscoveryWatch> Discovery::make_watch(const tcp::endpoint& address,
                                                      std::optional<std::uint64_t> version) {
  DiscoveryWatchCallbacks& self = *this;
  return std::make_shared<DiscoveryWatch>(io_, address, version, call_options_, random_, self);
}

void Discovery::start(const HostList& cached) {
  departures_.update_listed(cached, Steady::now());
  current_ = make_watch(initial_address_, cached.version);
  current_->start();
}

void Discovery::set_address(const tcp::endpoint& address) {
  if (!next_ && current_->address() == address) return;
  if (next_) next_->close();
  current_->stop_reconnecting();
  next_ = make_watch(address, std::nullopt);
  next_->start();
}

void Discovery::on_watch_list(DiscoveryWatch& watch, HostList list) {
  if (retired_.get() == &watch) return on_retired_watch_list(std::move(list));
  if (next_.get() == &watch) on_first_list_of_next(list);
  publish(list);
}

// The new address may lag behind and not know of some departures that the retired one reports.
void Discovery::on_retired_watch_list(HostList list) {
  departures_.keep_departures_of_listed(list);
  if (list.hosts.empty()) return;
  list.is_snapshot = false;
  publish(list);
}

// The new address may lag behind and list hosts as ready whose drain has been reported. The drain is kept
// until the agents agree; then the snapshot is fetched again.
void Discovery::on_first_list_of_next(HostList& list) {
  activate_next_watch();
  if (!departures_.restore(list)) return;
  refetch_timer_.expires_after(RecentDepartures::kRetention);
  refetch_timer_.async_wait([this](error_code error) {
    // While the address changes once more, the current watch would be closed and not reconnect before the
    // next one has received anything. That one begins with a snapshot anyway.
    if (!error && !next_) current_->refetch_snapshot();
  });
}

void Discovery::activate_next_watch() {
  if (retired_) retired_->close();
  retired_ = std::exchange(current_, std::exchange(next_, nullptr));
  retire_timer_.expires_after(kRetiredWatchLinger);
  retire_timer_.async_wait([this](error_code error) {
    if (error) return;
    retired_->close();
    retired_.reset();
  });
}

void Discovery::publish(const HostList& list) {
  const auto now = Steady::now();
  departures_.update_listed(list, now);
  departures_.record(list, now);
  callbacks_.on_host_list(list);
}

}  // namespace cometfold::net
