#include "net/upstream_hosts.h"

#include <chrono>

#include "net/log.h"

namespace cometfold::net {

namespace {

constexpr auto kPauseCheckInterval = std::chrono::milliseconds(100);
constexpr int kChecksPerSweep = 5;

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
  const Ms now = clock_.now();
  pool_.notice_pauses(now);
  if (checks_until_sweep_-- == 0) {
    checks_until_sweep_ = kChecksPerSweep - 1;
    pool_.sweep(now);
  }
  sweep_timer_.expires_after(kPauseCheckInterval);
  sweep_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) sweep();
  });
}

}  // namespace cometfold::net
