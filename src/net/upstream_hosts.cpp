#include "net/upstream_hosts.h"

#include <chrono>

#include "net/log.h"

namespace cometfold::net {

namespace {

constexpr auto kSweepInterval = std::chrono::milliseconds(500);

}  // namespace

UpstreamHosts::UpstreamHosts(boost::asio::io_context& io, Clock& clock, HostPoolCallbacks& callbacks,
                             const HostPoolLimits& limits)
    : clock_(clock), dialer_(io, clock), pool_(dialer_, callbacks, limits, log_line), sweep_timer_(io) {
  sweep();
}

void UpstreamHosts::add(HostId host, const boost::asio::ip::tcp::endpoint& address, Ms started_at) {
  pool_.add_host(host, {address.address().to_string(), address.port()}, started_at);
}

void UpstreamHosts::sweep() {
  pool_.sweep(clock_.now());
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) sweep();
  });
}

}  // namespace cometfold::net
