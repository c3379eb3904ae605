// The connections to hosts: a host pool on TCP, swept periodically by the event loop.
#pragma once

#include <boost/asio.hpp>
#include <functional>

#include "net/clock.h"
#include "net/tcp_stream.h"
#include "resp/host_pool.h"

namespace cometfold::net {

using engine::AttemptId;
using engine::StartResult;
using resp::HostPoolCallbacks;
using resp::HostPoolLimits;

class UpstreamHosts {
 public:
  UpstreamHosts(boost::asio::io_context& io, Clock& clock, HostPoolCallbacks& callbacks,
                const HostPoolLimits& limits);

  resp::HostPool& pool() { return pool_; }
  void add(HostId host, const boost::asio::ip::tcp::endpoint& address, Ms started_at);
  // `free_one` frees a descriptor for a new connection, and returns false if it can't.
  void set_descriptor_source(std::function<bool()> free_one) {
    dialer_.set_descriptor_source(std::move(free_one));
  }

 private:
  void sweep();

  Clock& clock_;
  TcpDialer dialer_;
  resp::HostPool pool_;
  boost::asio::steady_timer sweep_timer_;
  int checks_until_sweep_ = 0;
};

}  // namespace cometfold::net
