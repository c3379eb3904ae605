// Limits the attempts in flight at each host by Little's law.
#pragma once

#include "admission/host_table.h"
#include "admission/slow_start.h"

namespace cometfold::admission {

// A host's limit is the number of requests that it completes within the target latency, so that queueing
// stays within the latency objective. The target is a multiple of the unloaded latency, because attempts in
// flight are no queue where requests take a large part of the objective even on idle hosts. The objective
// bounds it on both sides. All referenced objects must outlive this one.
class ConcurrencyLimiter {
 public:
  ConcurrencyLimiter(const AdmissionSettings& settings, const LatencyStatistics& latency,
                     const SlowStart& slow_start, HostTable& hosts)
      : settings_(settings), latency_(latency), slow_start_(slow_start), hosts_(hosts) {}

  void on_settings_changed();

  // Shortest latency objective of all classes, as they share the hosts' queues.
  Ms shortest_objective() const { return shortest_objective_; }
  // Mean latency that the limits aim for.
  Ms target_latency() const;
  // This gateway's part of the attempts in flight that keep a small host's cores busy.
  double min_in_flight() const { return kMinInFlight / std::max(settings_.gateway_count, 1.0); }

  // Whether the host has reached its limit. Callers compute `target_latency()` once for all hosts and pass
  // it.
  bool is_at_limit(Host& host, Ms target_latency, Ms now) const;

  // Must be called for each attempt before it is counted as in flight.
  void record_send(Host& host, Ms now) const;
  void record_completion(Host& host, Ms now) const;

  // Highest measured completions per second of the host, decaying over time.
  double proven_rate(const Host& host, Ms now) const;
  void restore(Host& host, double proven_rate, Ms now) const;

 private:
  static constexpr double kMinInFlight = 4;       // over all gateways
  static constexpr double kInitialInFlight = 16;  // likewise, before a warm host has ever answered

  const AdmissionSettings& settings_;
  const LatencyStatistics& latency_;
  const SlowStart& slow_start_;
  HostTable& hosts_;
  Ms shortest_objective_ = kInfiniteMs;
};

}  // namespace cometfold::admission
