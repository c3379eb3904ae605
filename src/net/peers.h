// The other gateways of this one's cluster: membership on a UDP socket, in the gateway's event loop. Requests
// go first: a turn of the loop reads a bounded number of datagrams.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "membership/wire.h"
#include "net/clock.h"
#include "ops/metrics.h"

namespace cometfold::net {

// [peers] in the gateway's own settings; without an address to listen at there are none.
struct PeerSettings {
  std::optional<boost::asio::ip::udp::endpoint> listen;
  std::optional<boost::asio::ip::udp::endpoint> advertise;  // where others reach it, if not there
  std::vector<std::string> seeds;
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

  // An address that another process still holds, as at an upgrade, is waited for; any other reason not to get
  // it throws boost::system::system_error.
  void start();
  void leave();

  // Who is there, as one JSON object.
  std::string members();
  ops::PeerMetrics figures();

 private:
  struct Traffic {
    std::uint64_t in = 0, out = 0, bytes_in = 0, bytes_out = 0, unsent = 0;
    std::uint64_t foreign = 0, version = 0, spoilt = 0, malformed = 0;
  };
  void open();
  void await_datagrams();
  void read_datagrams();
  void take(const std::string& datagram);
  void after();
  void arm();
  void note(const membership::MembershipEvent& change);
  void tell_changes();

  Clock& clock_;
  PeerSettings settings_;
  std::string name_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_, tell_timer_, bind_timer_;
  membership::Membership membership_;
  Traffic traffic_;
  std::array<char, 2048> buffer_;
  boost::asio::ip::udp::endpoint from_;
  Ms armed_for_ = 0;
  bool telling_ = false, started_ = false;
  // Of the members, since it was last told.
  std::array<std::uint64_t, 4> became_{};
  std::array<std::vector<std::string>, 4> names_;
};

}  // namespace cometfold::net
