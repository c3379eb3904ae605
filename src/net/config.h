// What a gateway is told at its start: the environment and the JSON file that it names.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cometfold/admission_controller.h"
#include "net/host_list.h"
#include "net/own_settings.h"

namespace cometfold::net {

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::optional<boost::asio::ip::tcp::endpoint> admin;  // where operators call
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  HostList known;

  std::string settings_text;  // as they came, to tell whether they changed
  AdmissionSettings settings;
  // What the sockets need of the settings beside the module's own part.
  std::vector<std::string> class_names, plan_names, zones, kinds, report_names;
  Ms conn_idle_ms = 0;
  Ms connect_timeout_ms = 0;
  std::size_t max_open = 0;
  OwnSettings own;
  std::map<std::string, RequestBounds> bounds;  // of classes that have some, by name
  std::string handover;  // where a second process of this gateway finds the first; empty: nowhere
};

// Throws ConfigError with one plain line.
Config read_config(const boost::json::value& json);
Config read_config_file(const std::string& path);
// `variable` gives an environment variable's text, or null.
Config load_config(const std::function<const char*(const char*)>& variable);
// The file again, while the program runs. Danger: the environment is as old as the process, so here the file
// alone says where discovery is.
Config reload_config(const std::function<const char*(const char*)>& variable);

// Proves the limits in the gateway's own settings against this configuration, and puts them where they are
// used. Throws ConfigError, with a line for each thing wrong and nothing changed.
void use_limits(Config& config);
// The bounds of these classes, by their order.
std::vector<RequestBounds> bounds_of(const Config& config, const std::vector<std::string>& classes);

}  // namespace cometfold::net
