// The configuration that a gateway starts with: the environment and the JSON file that it names.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"
#include "net/config_error.h"
#include "net/gateway_settings.h"
#include "net/host_list.h"

namespace cometfold::net {

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::optional<boost::asio::ip::tcp::endpoint> admin;  // of the admin server; none: it is off
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 1024;
  std::size_t memory_limit_mb = 192;
  HostList cached_hosts;

  std::string settings_text;  // serialized "settings"; equal texts mean equal settings
  AdmissionSettings settings;
  // By number, as in `settings`.
  std::vector<std::string> class_names;
  std::vector<std::string> plan_names;
  std::vector<std::string> zones;
  std::vector<std::string> host_kinds;
  Ms connection_idle_timeout_ms = 0;
  Ms connect_timeout_ms = 0;
  std::size_t max_open_requests = 0;

  GatewaySettings gateway_settings;
  std::map<std::string, RequestBounds> attempt_bounds;  // by class name
  // Path of the Unix socket where a successor process finds this one; empty: no hand-over.
  std::string handover_path;
};

// The text of an environment variable, or null.
using GetVariable = std::function<const char*(const char* name)>;

// All throw ConfigError.
Config parse_config(const boost::json::value& json);
Config load_config_file(const std::string& path);
Config load_config(const GetVariable& get_variable);
// For a running process. Its environment dates from its start, so the address of discovery comes from the
// file.
Config reload_config(const GetVariable& get_variable);

// Checks the limits in the gateway's own settings against this configuration and sets the attempt bounds that
// follow from them. Throws ConfigError, with a line for each problem and nothing changed.
void apply_attempt_limits(Config& config);
// The attempt bounds of each class, in the order of `class_names`; the defaults for a class without bounds.
std::vector<RequestBounds> bounds_of(const Config& config, const std::vector<std::string>& class_names);

}  // namespace cometfold::net
