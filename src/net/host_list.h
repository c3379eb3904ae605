// The list of hosts and the parser of its JSON form. Without I/O.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cometfold/admission_controller.h"
#include "net/error.h"

namespace cometfold::net {

struct DiscoveredHost {
  std::string uid;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string zone;  // empty: not listed
  std::string kind;  // empty: not listed
  std::optional<std::uint32_t> cell;
  HostState state = HostState::kReady;
  double capacity = 1;                 // relative to other hosts
  std::optional<double> boot_unix_ms;  // 0: long ago; none: not listed
};

// One watch event, or the result of one poll.
struct HostList {
  std::uint64_t version = 0;
  bool is_snapshot = false;  // hosts that it omits have been removed; otherwise it is a delta
  std::vector<DiscoveredHost> hosts;
  // When discovery last confirmed that it had sent all changes: those in this list happened after that. None:
  // not known.
  std::optional<std::chrono::steady_clock::time_point> changed_since;
};

// A malformed list. `location` is the key at fault, if it is a single one.
class HostListError : public Error {
 public:
  HostListError(std::string key, const std::string& problem)
      : Error({std::move(key), problem, {}}, problem) {}
};

// Throws HostListError.
HostList parse_host_list(const boost::json::value& json);

// Whether this is a whole list, valid or not, rather than a part of one.
bool is_host_list(const boost::json::value& json);

// "ADDRESS:PORT". Throws HostListError.
boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view text);

}  // namespace cometfold::net
