// Fixture for unit tests: the components that maintain host statistics, connected as in the controller.
#pragma once

#include <vector>

#include "admission/concurrency_limiter.h"
#include "admission/host_table.h"
#include "admission/latency_statistics.h"
#include "admission/outlier_detector.h"
#include "admission/overload_statistics.h"
#include "admission/random_source.h"
#include "admission/slow_start.h"

namespace cometfold::admission {

struct HostParts {
  static AdmissionSettings default_settings() {
    AdmissionSettings settings;
    settings.classes.resize(2);
    for (auto& class_settings : settings.classes)
      class_settings = {.latency_objective_ms = 1000, .deadline_ms = 4000};
    settings.plans.resize(2);
    settings.slow_start_initial_weight = 0.2;
    settings.slow_start_duration_ms = 10'000;
    settings.overload_factor = 2;
    return settings;
  }

  explicit HostParts(const AdmissionSettings& initial = default_settings()) : settings(initial) {
    latency.resize(settings.classes.size());
    limiter.on_settings_changed();
    overload.on_settings_changed();
  }

  // Lists hosts 1 to `count`, of which the first `warming_up` have started at `started_at`.
  void list(HostId count, Ms now, HostId warming_up = 0, Ms started_at = 0) {
    std::vector<HostEntry> entries;
    for (HostId id = 1; id <= count; ++id) {
      entries.push_back({.id = id, .started_at = id <= warming_up ? started_at : 0});
    }
    hosts.update(HostListUpdate::kSnapshot, entries, now);
  }
  Host& host(HostId id) { return *hosts.find(id); }

  AdmissionSettings settings;
  RandomSource random{7};
  LatencyStatistics latency;
  SlowStart slow_start{settings};
  HostTable hosts{settings, latency};
  OutlierDetector outliers{hosts};
  ConcurrencyLimiter limiter{settings, latency, slow_start, hosts};
  OverloadStatistics overload{settings, hosts};
};

}  // namespace cometfold::admission
