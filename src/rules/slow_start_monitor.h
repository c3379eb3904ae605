// Rule "no cold host pushed over": in any `overload_window_ms`, all gateways together send a host that has
// just started at most `overload_factor` times the requests that it can serve in that time.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "rules/monitor.h"

namespace cometfold::rules {

class SlowStartMonitor : public Monitor {
 public:
  // `warm_capacity`: requests per second of a warm host; 0 if unknown: nothing is checked. A host's capacity
  // rises linearly from `slow_start_initial_weight` times this over `slow_start_duration_ms`.
  SlowStartMonitor(const AdmissionSettings& settings, double warm_capacity)
      : settings_(settings), warm_capacity_(warm_capacity) {}
  std::optional<Violation> observe(const Event& event) override;
  void digest(engine::Digest& into) const override;

 private:
  struct Host {
    Ms started_at = 0;
    std::deque<Ms> sent_at;  // within the last `overload_window_ms`
  };

  void update_host(const HostEntry& entry);
  std::optional<Violation> check_attempt(const Event& event, Host& host) const;
  double weight(Ms age) const;
  // Requests that a host started at `started_at` can serve between `from` and `to`.
  double capacity_between(Ms started_at, Ms from, Ms to) const;

  AdmissionSettings settings_;
  double warm_capacity_;
  std::map<HostId, Host> hosts_;
};

}  // namespace cometfold::rules
