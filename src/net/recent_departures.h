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

  // Two agents that report on the same fleet agree within this time.
  static constexpr std::chrono::seconds kRetention{10};

  // Records which hosts are listed now. Hosts that a snapshot omits have been removed.
  void update_listed(const HostList& list, Time now);
  // Records the hosts of `list` that are draining or removed, and forgets those that are ready again.
  void record(const HostList& list, Time now);
  // Sets hosts that are listed as more available than was recently reported back to the reported state. A
  // restarted host keeps its listed state. Returns whether any state was changed.
  bool restore(HostList& list) const;
  // Reduces `list` to departures of host processes that are listed now.
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
