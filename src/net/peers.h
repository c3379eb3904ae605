// Membership in the cluster of gateways, on a UDP socket in the gateway's event loop.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <optional>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "membership/wire.h"
#include "net/clock.h"
#include "net/peer_change_log.h"
#include "net/peer_report.h"
#include "ops/metrics.h"

namespace cometfold::net {

// [peers] in the gateway's own settings; without `listen` the gateway takes no part in a cluster.
struct PeerSettings {
  std::optional<boost::asio::ip::udp::endpoint> listen;
  std::optional<boost::asio::ip::udp::endpoint> advertise;  // for other gateways; none: `listen`
  std::vector<std::string> seeds;                           // addresses and ports
  std::string cluster = "cometfold";
  membership::MembershipSettings membership;
  bool operator==(const PeerSettings& other) const {
    return listen == other.listen && advertise == other.advertise && seeds == other.seeds &&
           cluster == other.cluster;
  }
};

class Peers {
 public:
  Peers(boost::asio::io_context& io, Clock& clock, const PeerSettings& settings, const std::string& name);

  // Waits while another process still uses the address, as during an upgrade. Throws
  // boost::system::system_error if the address can't be used for another reason.
  void start();
  void leave();

  // The members, as a line with a JSON object.
  std::string members();
  ops::PeerMetrics metrics();

 private:
  void bind_later();
  void await_datagrams();
  void read_datagrams();
  bool read_datagram();
  void send(const membership::OutgoingMessage& outgoing);
  void process_output();
  void arm_timer();

  Clock& clock_;
  PeerSettings settings_;
  std::string name_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer bind_timer_;
  membership::Membership membership_;
  PeerChangeLog change_log_;
  PeerTraffic traffic_;
  std::array<char, 2048> buffer_;
  Ms tick_at_ = 0;  // when `tick_timer_` expires; 0: not armed
  bool bind_wait_logged_ = false;
};

}  // namespace cometfold::net
