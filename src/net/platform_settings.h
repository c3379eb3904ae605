// The "settings" object of the platform's configuration. Without I/O.
#pragma once

#include <boost/json.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::net {

struct PlatformSettings {
  AdmissionSettings admission;
  // By number, as in `admission`.
  std::vector<std::string> class_names;
  std::vector<std::string> plan_names;
  std::vector<std::string> zones;
  std::vector<std::string> host_kinds;
  Ms connection_idle_timeout_ms = 0;
  Ms connect_timeout_ms = 0;
  std::size_t max_open_requests = 0;
};

// Throws ConfigError, with the key's dotted path, if a key is missing or not in range: unlike the simulator's
// settings these have no defaults, as a gateway would otherwise serve with limits that nobody has set.
PlatformSettings parse_platform_settings(const boost::json::value& json);

}  // namespace cometfold::net
