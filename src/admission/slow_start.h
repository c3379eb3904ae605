// Slow start: hosts that have just started receive a share of the requests that grows with their age.
#pragma once

#include "admission/host_table.h"
#include "admission/random_source.h"

namespace cometfold::admission {

// For each send, one random draw selects the warming-up host that may receive it, if any. A limit in whole
// attempts per gateway would add up to hundreds over all gateways, whereas probabilities add up to each
// host's share. A single draw for all warming-up hosts ensures that no two are selected for the same send.
// The selected host takes precedence, as it would lose to the others by cost. The settings must outlive the
// object.
class SlowStart {
 public:
  explicit SlowStart(const AdmissionSettings& settings) : settings_(settings) {}

  bool is_warming_up(const Host& host, Ms now) const {
    return host.entry.started_at > 0 && now - host.entry.started_at < settings_.slow_start_duration_ms;
  }
  // Capacity of the host relative to a warm one, in [0, 1].
  double weight(const Host& host, Ms now) const;

  // Selects the warming-up host that may receive the next send; null if none may.
  const Host* select(HostTable& hosts, RandomSource& random, Ms now) const;

  void record_send(Ms now);

 private:
  struct FleetSummary {
    double usable_hosts = 0;
    double warm_hosts = 0;
    double total_weight = 0;
    double warm_completion_rate = 0;  // per second, through this gateway
  };
  FleetSummary summarize(HostTable& hosts, Ms now) const;
  double even_fraction(const FleetSummary& fleet) const;

  const AdmissionSettings& settings_;
  double send_rate_ = 0;  // attempts per second
  Ms sent_at_ = 0;
};

}  // namespace cometfold::admission
