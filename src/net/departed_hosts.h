// Hosts that discovery reported to this gateway as draining or removed. They are handed over to a successor
// process, whose host list may be older. Without I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::net {

class DepartedHosts {
 public:
  // Only the most recent ones are kept: no list in use is old enough to miss more departures than that.
  static constexpr std::size_t kMaxHosts = 8192;

  // `boot_unix_ms`: boot time of the departing host process, as listed by discovery.
  void insert(HostId host, std::optional<double> boot_unix_ms) {
    if (boot_times_.insert_or_assign(host, boot_unix_ms).second) order_.push_back(host);
    while (order_.size() > kMaxHosts) {
      boot_times_.erase(order_.front());
      order_.pop_front();
    }
  }
  // Whether the host process with this boot time has departed.
  bool contains(HostId host, std::optional<double> boot_unix_ms) const {
    const auto it = boot_times_.find(host);
    return it != boot_times_.end() && it->second == boot_unix_ms;
  }
  void erase(HostId host) {
    if (boot_times_.erase(host) > 0) std::erase(order_, host);
  }
  // Oldest first.
  std::vector<DepartedHost> list() const {
    std::vector<DepartedHost> hosts;
    for (const HostId host : order_) hosts.push_back({host, boot_times_.at(host)});
    return hosts;
  }

 private:
  std::unordered_map<HostId, std::optional<double>> boot_times_;
  std::deque<HostId> order_;  // in the order of their first insertion
};

}  // namespace cometfold::net
