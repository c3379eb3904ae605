#include "net/host_registry.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <unordered_set>
#include <utility>

#include "net/log.h"

namespace cometfold::net {

namespace {

constexpr Ms kMaxDeltaAge = 30'000;     // a delta reports changes more recent than this
constexpr Ms kMaxDiscoveryLag = 1'000;  // from the start of a host until discovery lists it

// None for a name that is not in the settings: hosts in unknown zones do not count as sharing a zone.
std::optional<std::uint32_t> find_index(const std::vector<std::string>& names, const std::string& name) {
  const std::uint32_t index = index_of(names, name);
  if (index == names.size()) return {};
  return index;
}

}  // namespace

HostId host_number(std::string_view uid) {
  boost::crc_32_type crc;
  crc.process_bytes(uid.data(), uid.size());
  return crc.checksum();
}

std::uint32_t index_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

HostRegistry::HostRegistry(Clock& clock, Names names, ReadyCallback on_ready)
    : clock_(clock), names_(names), on_ready_(std::move(on_ready)) {}

// When a host that is new here started, on this clock. A cold host that is treated as warm is overloaded, so
// in doubt the start counts as recent:
// - a delta reports recent changes: if the start that it gives is long ago, or missing, either the clocks of
//   discovery and this machine disagree, or the delta was delayed;
// - this machine's wall clock may have been stepped before this process started: a start before a time at
//   which discovery did not list the host yet can't be right.
Ms HostRegistry::start_time(HostId id, const DiscoveredHost& host, const HostList& list) {
  const Ms now = clock_.now();
  const bool is_delta = !list.is_snapshot;
  if (!host.boot_unix_ms) return is_delta ? now : 0;
  const Ms started_at = clock_.from_unix(*host.boot_unix_ms);
  if (started_at <= 0) return started_at;
  const bool too_old_for_delta = is_delta && now - started_at > kMaxDeltaAge;
  const bool was_listed_before = departed_.contains(id, host.boot_unix_ms);
  const bool before_discovery_had_it = !was_listed_before && list.changed_since &&
                                       started_at < clock_.from(*list.changed_since) - kMaxDiscoveryLag;
  return too_old_for_delta || before_discovery_had_it ? now : started_at;
}

std::optional<HostEntry> HostRegistry::register_host(const DiscoveredHost& listed, const HostList& list) {
  const HostId id = host_number(listed.uid);
  auto [it, inserted] = hosts_.try_emplace(id);
  Host& host = it->second;
  if (!inserted && host.uid != listed.uid) {
    // Two hosts under one id would mix up the statistics of both.
    log_line("another host has the same host id (CRC-32 of the uid), host ignored", listed.uid);
    return {};
  }
  if (inserted || (listed.boot_unix_ms && host.boot_unix_ms != listed.boot_unix_ms)) {
    host = {listed.uid, listed.boot_unix_ms, start_time(id, listed, list)};
  }
  HostEntry entry;
  entry.id = id;
  entry.state = listed.state;
  entry.started_at = host.started_at;
  entry.kind = index_of(names_.kinds, listed.kind);
  entry.zone = find_index(names_.zones, listed.zone);
  entry.cell = listed.cell;
  entry.size = listed.capacity;
  if (entry.state == HostState::kReady) on_ready_(id, listed.endpoint, entry.started_at);
  return entry;
}

std::vector<HostEntry> HostRegistry::update(const HostList& list, HostListUpdate kind) {
  std::vector<HostEntry> entries;
  for (const auto& host : list.hosts) {
    if (const auto entry = register_host(host, list)) entries.push_back(*entry);
  }
  if (kind != HostListUpdate::kSnapshot) return entries;
  std::unordered_set<HostId> listed;
  for (const auto& entry : entries) listed.insert(entry.id);
  for (const auto& [id, host] : hosts_) {
    if (!listed.contains(id)) entries.push_back(HostEntry::removed(id));
  }
  return entries;
}

void HostRegistry::commit(const std::vector<HostEntry>& entries) {
  for (const auto& entry : entries) {
    if (entry.state == HostState::kReady) {
      departed_.erase(entry.id);
    } else {
      departed_.insert(entry.id, hosts_[entry.id].boot_unix_ms);
    }
    if (entry.state == HostState::kRemoved) hosts_.erase(entry.id);
  }
}

std::vector<HostEntry> HostRegistry::remove(const std::vector<DepartedHost>& departed) {
  std::vector<HostEntry> removals;
  for (const auto& host : departed) {
    const auto it = hosts_.find(host.id);
    if (it == hosts_.end() || it->second.boot_unix_ms != host.boot_unix_ms) continue;
    removals.push_back(HostEntry::removed(host.id));
    hosts_.erase(it);
    departed_.insert(host.id, host.boot_unix_ms);
  }
  return removals;
}

}  // namespace cometfold::net
