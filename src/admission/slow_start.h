// Slow start: hosts that have just started get a part of the requests that grows with their age.
#pragma once

#include "admission/host_table.h"
#include "admission/random_source.h"

namespace cometfold::admission {

// Each send draws which host that warms up may get it, if any. A whole number of attempts for each gateway
// would add up to hundreds over all of them, whereas chances add up to each host's part. One draw serves all
// hosts that warm up, so that no two get the same send, and the selected one goes first, as by cost it would
// come after the others. The settings outlive the object.
class SlowStart {
 public:
  explicit SlowStart(const AdmissionSettings& settings) : settings_(settings) {}

  bool is_warming_up(const Host& host, Ms now) const {
    return host.entry.started_at > 0 && now - host.entry.started_at < settings_.slow_start_duration_ms;
  }
  // What the host can serve against a warm one, in (0, 1].
  double weight(const Host& host, Ms now) const;

  // The host that warms up and may get the next send, null if none may.
  const Host* select(HostTable& hosts, RandomSource& random, Ms now) const;

  void record_send(Ms now);

 private:
  struct FleetSummary {
    double usable_hosts = 0;
    double warm_hosts = 0;
    double total_weight = 0;
    double warm_completion_rate = 0;  // a second, through this gateway
  };
  FleetSummary summarize(HostTable& hosts, Ms now) const;
  double even_fraction(const FleetSummary& fleet) const;

  const AdmissionSettings& settings_;
  double send_rate_ = 0;  // attempts a second
  Ms sent_at_ = 0;
};

}  // namespace cometfold::admission
