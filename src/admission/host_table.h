// The hosts as discovery lists them, and what they report of their load.
#pragma once

#include <map>
#include <span>

#include "admission/latency_statistics.h"

namespace cometfold::admission {

// A host that is listed no more stays for a while, as attempts may be in flight there. References to hosts
// hold until `erase_departed`. The settings and the statistics outlive the object.
class HostTable {
 public:
  using Map = std::map<HostId, Host>;

  HostTable(const AdmissionSettings& settings, LatencyStatistics& latency)
      : settings_(settings), latency_(latency) {}

  // A list from discovery; `kind` is not `kFailed`.
  void update(HostListUpdate kind, std::span<const HostEntry> entries, Ms now);
  // Erases hosts that left long ago and have no attempts in flight.
  void erase_departed(Ms now);

  Map::iterator begin() { return hosts_.begin(); }
  Map::iterator end() { return hosts_.end(); }
  Map::const_iterator begin() const { return hosts_.begin(); }
  Map::const_iterator end() const { return hosts_.end(); }
  std::size_t size() const { return hosts_.size(); }
  // Null if the host is not known.
  Host* find(HostId id);
  // An unlisted host is created if it is not known: its record may have been erased while a long value came.
  Host& find_or_create(HostId id) { return hosts_[id]; }
  bool any_usable() const;

  // Lets the host's statistics fade up to now.
  void decay(Host& host, Ms now) {
    if (now > host.decayed_at) decay_by(host, now - host.decayed_at, now);
  }

  // An attempt sent at `sent_at` was answered now.
  void record_answer(Host& host, Ms sent_at, Ms now);
  // When the latest answered attempt at any host was sent.
  Ms newest_answered_sent_at() const { return newest_answered_sent_at_; }

  // A report of a host's load. Without any field, and if one was `required`, the host counts as fuller than
  // the mean.
  void record_load(Host& host, const LoadReport& report, bool required, Ms now);
  // Requests waiting at a host: its last report, and the fleet's mean the older that is.
  double expected_load(const Host& host, Ms now) const;
  // Whether reports hold the number of requests that wait.
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
