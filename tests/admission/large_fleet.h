// Settings and hosts of large fleets, for tests.
#pragma once

#include <vector>

#include "tests/support.h"

namespace cometfold::testing {

inline AdmissionSettings large_fleet_settings(double gateways = 400) {
  auto settings = plain_settings();
  settings.gateway_count = gateways;
  settings.plans[0].quota_rate = 1e6;
  settings.plans[0].quota_burst = 1e6;
  return settings;
}

inline std::vector<HostEntry> host_list(HostId n, HostId cold = 0, Ms started = 0) {
  std::vector<HostEntry> hosts;
  for (HostId host_id = 1; host_id <= n; ++host_id)
    hosts.push_back(host(host_id, HostState::kReady, host_id <= cold ? started : 0));
  return hosts;
}

}  // namespace cometfold::testing
