// Hosts that this gateway was told are leaving or have left, kept for a process that takes its place: that
// one's list may be older. Pure.
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
  // Of so many the last are kept: a list that is older than that is not of this deployment.
  static constexpr std::size_t kMost = 8192;

  // `boot_unix_ms`: of the process that leaves, as discovery has it.
  void note(HostId host, std::optional<double> boot_ms) {
    if (departed_.insert_or_assign(host, boot_ms).second) order_.push_back(host);
    while (order_.size() > kMost) {
      departed_.erase(order_.front());
      order_.pop_front();
    }
  }
  // Whether this process of it is among them.
  bool holds(HostId host, std::optional<double> boot_ms) const {
    const auto it = departed_.find(host);
    return it != departed_.end() && it->second == boot_ms;
  }
  // It takes requests again.
  void forget(HostId host) {
    if (departed_.erase(host) > 0) std::erase(order_, host);
  }
  std::vector<DepartedHost> list() const {
    std::vector<DepartedHost> all;
    for (const HostId host : order_) all.push_back({host, departed_.at(host)});
    return all;
  }

 private:
  std::unordered_map<HostId, std::optional<double>> departed_;
  std::deque<HostId> order_;  // by when each was noted first
};

}  // namespace cometfold::net
