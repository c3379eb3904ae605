// The table [peers] of the gateway's own settings.
#include "net/settings_tables.h"

namespace cometfold::net {

namespace {

using toml_table::datagram_endpoint;
using toml_table::endpoint;
using toml_table::list;
using toml_table::number;
using toml_table::Rejection;
using toml_table::Table;
using toml_table::ValueParser;

constexpr std::size_t kMaxClusterNameBytes = 32;

ValueParser peer_address(std::string& target) {
  return [&target](const toml::node& node) -> Rejection {
    std::optional<boost::asio::ip::tcp::endpoint> address;
    if (endpoint(address)(node) || address->port() == 0 || address->address().is_unspecified()) {
      return "an address and port";
    }
    target = *node.value<std::string>();
    return {};
  };
}

ValueParser cluster_name(std::string& target) {
  return [&target](const toml::node& node) -> Rejection {
    const auto name = node.value<std::string>().value_or("");
    if (!node.is_string() || name.empty() || name.size() > kMaxClusterNameBytes) {
      return "a string of 1 to 32 bytes";
    }
    target = name;
    return {};
  };
}

}  // namespace

Table peers_table(PeerSettings& peers) {
  auto& membership = peers.membership;
  const char* const observers = "a whole number from 1 to 16";
  return {
      {"listen", datagram_endpoint(peers.listen)},
      {"advertise", datagram_endpoint(peers.advertise)},
      {"seeds",
       list<std::string>(peers.seeds, peer_address,
                         "a list of at most 1024 addresses and ports, such as [\"127.0.0.1:7946\"]")},
      {"cluster", cluster_name(peers.cluster)},
      {"period_ms",
       number(membership.ping_interval_ms, 20, 10'000, "a number of milliseconds from 20 to 10000")},
      {"watchers", number(membership.observers_per_member, 1, 16, observers)},
      {"quorum", number(membership.suspicion_quorum, 1, 16, observers)},
      {"settle_ms", number(membership.quorum_hold_ms, 0, 60'000, "a number of milliseconds from 0 to 60000")},
      {"patience_ms", number(membership.unreachable_timeout_ms, 1000, 3.6e6,
                             "a number of milliseconds from 1000 to 3600000")},
      {"forget_ms", number(membership.tombstone_retention_ms, 10'000, 8.64e7,
                           "a number of milliseconds from 10000 to 86400000")},
      {"members", number(membership.max_members, 2, 100'000, "a whole number from 2 to 100000")},
      {"datagrams",
       number(membership.max_datagrams_per_second, 10, 100'000, "a number per second from 10 to 100000")}};
}

}  // namespace cometfold::net
