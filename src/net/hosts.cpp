#include "net/hosts.h"

#include <chrono>

#include "net/log.h"

namespace cometfold::net {

namespace {

constexpr auto kSweep = std::chrono::milliseconds(500);

}  // namespace

Hosts::Hosts(boost::asio::io_context& io, Clock& clock, HostPoolCallbacks& events,
             const HostPoolLimits& limits)
    : clock_(clock), dialer_(io, clock), pool_(dialer_, events, limits, log_line), sweep_timer_(io) {
  sweep();
}

void Hosts::add(HostId host, const boost::asio::ip::tcp::endpoint& at, Ms started_at) {
  pool_.add_host(host, {at.address().to_string(), at.port()}, started_at);
}

void Hosts::sweep() {
  pool_.sweep(clock_.now());
  sweep_timer_.expires_after(kSweep);
  sweep_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) sweep();
  });
}

}  // namespace cometfold::net
