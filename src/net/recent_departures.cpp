#include "net/recent_departures.h"

#include <utility>
#include <vector>

namespace cometfold::net {

void RecentDepartures::update_listed(const HostList& list, Time now) {
  std::unordered_map<std::string, std::optional<double>> omitted;
  if (list.is_snapshot) omitted = std::exchange(boot_times_, {});
  for (const auto& host : list.hosts) {
    omitted.erase(host.uid);
    if (host.state == HostState::kRemoved) {
      boot_times_.erase(host.uid);
    } else {
      boot_times_[host.uid] = host.boot_unix_ms;
    }
  }
  for (const auto& [uid, boot_unix_ms] : omitted) {
    departures_[uid] = {boot_unix_ms, HostState::kRemoved, now};
  }
}

void RecentDepartures::record(const HostList& list, Time now) {
  std::erase_if(departures_, [&](const auto& entry) { return now - entry.second.reported_at > kRetention; });
  for (const auto& host : list.hosts) {
    if (host.state == HostState::kReady) {
      departures_.erase(host.uid);
    } else {
      departures_[host.uid] = {host.boot_unix_ms, host.state, now};
    }
  }
}

bool RecentDepartures::restore(HostList& list) const {
  bool any_changed = false;
  for (auto& host : list.hosts) {
    const auto it = departures_.find(host.uid);
    if (it == departures_.end()) continue;
    const Departure& departure = it->second;
    if (departure.boot_unix_ms != host.boot_unix_ms || host.state >= departure.state) continue;
    host.state = departure.state;
    any_changed = true;
  }
  return any_changed;
}

void RecentDepartures::keep_departures_of_listed(HostList& list) const {
  std::erase_if(list.hosts, [&](const DiscoveredHost& host) {
    const auto it = boot_times_.find(host.uid);
    return host.state == HostState::kReady || it == boot_times_.end() || it->second != host.boot_unix_ms;
  });
}

}  // namespace cometfold::net
