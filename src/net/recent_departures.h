// Hosts that one address of discovery reported as draining or removed, while another address may still list
// them as ready. Without I/O.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>

#include "net/host_list.h"

namespace cometfold::net {

class RecentDepartures {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Within this time two agents that report on the same fleet agree.
  static constexpr std::chrono::seconds kRetention{10};

  // Notes which hosts are listed now. Hosts that a snapshot omits have been removed.
  void update_listed(const HostList& list, Time now);
  // Notes the hosts of `list` that drain or have been removed, and forgets those that are ready again.
  void record(const HostList& list, Time now);
  // Gives hosts that are listed as more available than was reported lately their reported state. A restarted
  // host keeps the listed one. Returns whether any was changed.
  bool restore(HostList& list) const;
  // Leaves in `list` only departures, and only of processes that are listed now.
  void keep_departures_of_listed(HostList& list) const;

 private:
  struct Departure {
    std::optional<double> boot_unix_ms;
    HostState state = HostState::kDraining;
    Time reported_at;
  };

  std::unordered_map<std::string, std::optional<double>> boot_times_;  // of the hosts listed now, by uid
  std::unordered_map<std::string, Departure> departures_;              // by uid
};

}  // namespace cometfold::net
