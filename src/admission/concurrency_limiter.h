// Limits the attempts in flight at each host by Little's law.
#pragma once

#include "admission/host_table.h"
#include "admission/slow_start.h"

namespace cometfold::admission {

// A host's limit is what it completes within the target latency, so that no queue outgrows the latency
// objective. The target is a multiple of the unloaded latency, within bounds by the objective: where requests
// take a good part of it on idle hosts, attempts in flight are no queue. All referenced objects outlive this
// one.
class ConcurrencyLimiter {
 public:
  ConcurrencyLimiter(const AdmissionSettings& settings, const LatencyStatistics& latency,
                     const SlowStart& slow_start, HostTable& hosts)
      : settings_(settings), latency_(latency), slow_start_(slow_start), hosts_(hosts) {}

  void on_settings_changed();

  // Shortest latency objective of all classes, which wait in the same queues.
  Ms shortest_objective() const { return shortest_objective_; }
  // Mean latency that the limits aim for.
  Ms target_latency() const;
  // Attempts in flight from this gateway that keep a small host's cores busy.
  double min_in_flight() const { return kMinInFlight / std::max(settings_.gateway_count, 1.0); }

  // Whether the host has reached its limit. `target_latency`: the function's result, which callers compute
  // once.
  bool is_at_limit(Host& host, Ms target_latency, Ms now) const;

  // An attempt is sent, before it is counted in flight.
  void record_send(Host& host, Ms now) const;
  void record_completion(Host& host, Ms now) const;

  // Most completions a second that the host has shown, fading over time.
  double proven_rate(const Host& host, Ms now) const;
  void restore(Host& host, double proven_rate, Ms now) const;

 private:
  static constexpr double kMinInFlight = 4;       // from all gateways
  static constexpr double kInitialInFlight = 16;  // before a warm host has answered anything

  const AdmissionSettings& settings_;
  const LatencyStatistics& latency_;
  const SlowStart& slow_start_;
  HostTable& hosts_;
  Ms shortest_objective_ = kInfiniteMs;
};

}  // namespace cometfold::admission
