// The hosts listed by discovery and the load that they report.
#pragma once

#include <map>
#include <span>

#include "admission/latency_statistics.h"

namespace cometfold::admission {

// Hosts that are no longer listed are kept for a while, because attempts may be in flight there. References
// to hosts are valid until `erase_departed`. The settings and the statistics must outlive the object.
class HostTable {
 public:
  using Map = std::map<HostId, Host>;

  HostTable(const AdmissionSettings& settings, LatencyStatistics& latency)
      : settings_(settings), latency_(latency) {}

  // Applies a list from discovery. `kind` must not be `kFailed`.
  void update(HostListUpdate kind, std::span<const HostEntry> entries, Ms now);
  // Erases hosts that left long ago and have no attempts in flight.
  void erase_departed(Ms now);

  Map::iterator begin() { return hosts_.begin(); }
  Map::iterator end() { return hosts_.end(); }
  Map::const_iterator begin() const { return hosts_.begin(); }
  Map::const_iterator end() const { return hosts_.end(); }
  std::size_t size() const { return hosts_.size(); }
  // Returns null if the host is unknown.
  Host* find(HostId id);
  // Creates an unlisted host if it is unknown: its record may have been erased while a response was streamed.
  Host& find_or_create(HostId id) { return hosts_[id]; }
  bool any_usable() const;

  // Decays the host's statistics up to `now`.
  void decay(Host& host, Ms now) {
    if (now > host.decayed_at) decay_by(host, now - host.decayed_at, now);
  }

  // An attempt sent at `sent_at` was answered now.
  void record_answer(Host& host, Ms sent_at, Ms now);
  // Latest send time of all answered attempts, at any host.
  Ms newest_answered_sent_at() const { return newest_answered_sent_at_; }

  // Records a load report. If it is empty although a report was `required`, the host counts as more loaded
  // than the mean.
  void record_load(Host& host, const LoadReport& report, bool required, Ms now);
  // Expected load of the host: its last report, which gives way to the fleet's mean as it ages.
  double expected_load(const Host& host, Ms now) const;
  // Whether load reports contain the number of waiting requests.
  bool reports_queue_length() const;

 private:
  void decay_by(Host& host, Ms elapsed, Ms now);
  void list_host(const HostEntry& entry, Ms now);
  void remove(HostId id);

  const AdmissionSettings& settings_;
  LatencyStatistics& latency_;
  Map hosts_;
  double mean_reported_load_ = 0;
  Ms newest_answered_sent_at_ = 0;
};

}  // namespace cometfold::admission
