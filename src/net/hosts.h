// The hosts' side on sockets: the pure pool, dialled over TCP and swept by the event loop.
#pragma once

#include <boost/asio.hpp>

#include "net/clock.h"
#include "net/tcp_stream.h"
#include "resp/host_pool.h"

namespace cometfold::net {

using engine::AttemptId;
using engine::StartResult;
using resp::HostPoolCallbacks;
using resp::HostPoolLimits;

class Hosts {
 public:
  Hosts(boost::asio::io_context& io, Clock& clock, HostPoolCallbacks& events, const HostPoolLimits& limits);

  resp::HostPool& pool() { return pool_; }
  void add(HostId host, const boost::asio::ip::tcp::endpoint& at, Ms started_at);
  void set_make_room(std::function<bool()> make_room) { dialer_.set_make_room(std::move(make_room)); }

 private:
  void sweep();

  Clock& clock_;
  TcpDialer dialer_;
  resp::HostPool pool_;
  boost::asio::steady_timer sweep_timer_;
};

}  // namespace cometfold::net
