#include "net/config.h"

#include <cctype>
#include <charconv>
#include <fstream>
#include <iterator>
#include <utility>

#include "net/platform_settings.h"

namespace cometfold::net {
namespace json = boost::json;

namespace {

constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;
constexpr std::size_t kCustomerMemoryDivisor = 8;  // an eighth of the memory limit
constexpr std::size_t kCustomerBytes = 256;
constexpr std::size_t kCustomerBytesPerClass = 64;

constexpr const char* kDocument = "configuration";
constexpr double kMaxLimit = 1e9;
constexpr int kSeedBase = 16;

std::string quoted(const char* key) { return std::string("'") + key + "'"; }

std::string require_text(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (!value) throw ConfigError(kDocument, key, quoted(key) + " is missing");
  if (!value->is_string()) throw ConfigError(kDocument, key, quoted(key) + " is not a string");
  return std::string(value->get_string());
}

const json::object& require_object(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (!value || !value->is_object()) {
    throw ConfigError(kDocument, key, quoted(key) + " is missing or not an object");
  }
  return value->get_object();
}

std::size_t require_limit(const json::object& limits, const char* key) {
  const auto* value = limits.if_contains(key);
  boost::system::error_code error;
  const double limit = value ? value->to_number<double>(error) : 0;
  if (!value || error || !(limit >= 1) || limit > kMaxLimit) {
    const auto full_key = std::string("limits.") + key;
    throw ConfigError(kDocument, full_key, full_key + " is missing or not a number from 1 to 1000000000");
  }
  return static_cast<std::size_t>(limit);
}

std::uint64_t parse_seed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, seed, kSeedBase);
  if (error != std::errc{} || end != last) {
    throw ConfigError(kDocument, "seed", "'seed' is not a hexadecimal number of 64 bits");
  }
  return seed;
}

// `location`: where the text comes from, for the error.
boost::asio::ip::tcp::endpoint parse_endpoint_of(const std::string& location, const char* key,
                                                 const std::string& text) {
  try {
    return parse_endpoint(text);
  } catch (const HostListError& error) {
    throw ConfigError(location, key, error.problem());
  }
}

boost::asio::ip::tcp::endpoint require_endpoint(const json::object& object, const char* key) {
  const auto location = std::string(kDocument) + ": " + quoted(key);
  return parse_endpoint_of(location, key, require_text(object, key));
}

HostList require_host_list(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (!value) throw ConfigError(kDocument, key, quoted(key) + " is missing");
  try {
    return parse_host_list(*value);
  } catch (const HostListError& error) {
    throw ConfigError(std::string(kDocument) + ": " + quoted(key), key, error.problem());
  }
}

std::string require_variable(const GetVariable& get_variable, const char* name) {
  const char* text = get_variable(name);
  if (!text || !*text) throw ConfigError({}, name, std::string(name) + " is not set");
  return text;
}

boost::asio::ip::tcp::endpoint require_endpoint_variable(const GetVariable& get_variable, const char* name) {
  return parse_endpoint_of(name, name, require_variable(get_variable, name));
}

void set_platform_settings(const json::value& json, Config& config) {
  auto settings = parse_platform_settings(json);
  config.settings = std::move(settings.admission);
  config.class_names = std::move(settings.class_names);
  config.plan_names = std::move(settings.plan_names);
  config.zones = std::move(settings.zones);
  config.host_kinds = std::move(settings.host_kinds);
  config.connection_idle_timeout_ms = settings.connection_idle_timeout_ms;
  config.connect_timeout_ms = settings.connect_timeout_ms;
  config.max_open_requests = settings.max_open_requests;
}

// Customers that the module remembers, so that names that never come again do not fill the memory.
double max_customers(const Config& config) {
  const std::size_t bytes = config.memory_limit_mb * kBytesPerMegabyte / kCustomerMemoryDivisor;
  const std::size_t customers = bytes / (kCustomerBytes + config.class_names.size() * kCustomerBytesPerClass);
  return static_cast<double>(customers);
}

// The path of the hand-over socket. Both processes of an upgrade get the same one, as they have the same
// name, listen address and TMPDIR.
std::string handover_path(const GetVariable& get_variable, const Config& config) {
  const char* directory = get_variable("TMPDIR");
  if (!directory || !*directory) return {};
  std::string name =
      config.name + "-" + config.listen.address().to_string() + "-" + std::to_string(config.listen.port());
  for (char& character : name) {
    const bool is_allowed =
        std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '.';
    if (!is_allowed) character = '_';
  }
  return std::string(directory) + "/cometfold-" + name + ".handover";
}

}  // namespace

Config parse_config(const json::value& value) {
  if (!value.is_object()) throw ConfigError(kDocument, {}, "not a JSON object");
  const auto& object = value.get_object();
  Config config;
  config.name = require_text(object, "name");
  config.listen = require_endpoint(object, "listen");
  config.discovery = require_endpoint(object, "discovery");
  if (object.contains("admin")) config.admin = require_endpoint(object, "admin");
  config.seed = parse_seed(require_text(object, "seed"));
  const auto& limits = require_object(object, "limits");
  config.max_descriptors = require_limit(limits, "sockets");
  config.memory_limit_mb = require_limit(limits, "memory_mb");
  config.cached_hosts = require_host_list(object, "known");
  const auto& settings = require_object(object, "settings");
  config.settings_text = json::serialize(settings);
  set_platform_settings(object.at("settings"), config);
  config.settings.max_customers = max_customers(config);
  return config;
}

Config load_config_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file.good() && !file.eof()) throw ConfigError(kDocument, {}, "can't read '" + path + "'");
  boost::system::error_code error;
  const auto value = json::parse(text, error);
  if (error) throw ConfigError(kDocument, {}, "'" + path + "' is not JSON: " + error.message());
  return parse_config(value);
}

Config load_config(const GetVariable& get_variable) {
  Config config = reload_config(get_variable);
  config.handover_path = handover_path(get_variable, config);
  config.discovery = require_endpoint_variable(get_variable, "EDGE_DISCOVERY");
  return config;
}

Config reload_config(const GetVariable& get_variable) {
  Config config = load_config_file(require_variable(get_variable, "EDGE_CONFIG"));
  // The environment takes precedence for what does not change while the program runs.
  config.name = require_variable(get_variable, "EDGE_NAME");
  config.listen = require_endpoint_variable(get_variable, "EDGE_LISTEN");
  if (const char* admin = get_variable("EDGE_ADMIN"); admin && *admin) {
    config.admin = parse_endpoint_of("EDGE_ADMIN", "EDGE_ADMIN", admin);
  }
  return config;
}

void apply_attempt_limits(Config& config) {
  const auto& limits = config.gateway_settings.limits;
  const auto proof = limits::prove(limits, {config.class_names, config.settings, config.connect_timeout_ms});
  std::string problems;
  for (const auto& error : proof.errors) {
    if (!problems.empty()) problems += '\n';
    problems += error.to_text();
  }
  if (!problems.empty()) throw ConfigError({}, {}, problems);
  for (std::size_t i = 0; i < limits.entries.size(); ++i) {
    const auto& entry = limits.entries[i];
    if (entry.route.empty()) continue;
    config.gateway_settings.processor.mapping.rules[entry.rule_index].bounds = proof.bounds.by_entry[i];
  }
  config.attempt_bounds.clear();
  for (std::size_t i = 0; i < config.class_names.size(); ++i) {
    config.attempt_bounds[config.class_names[i]] = proof.bounds.by_class[i];
  }
}

std::vector<RequestBounds> bounds_of(const Config& config, const std::vector<std::string>& class_names) {
  std::vector<RequestBounds> bounds(class_names.size());
  for (std::size_t i = 0; i < class_names.size(); ++i) {
    const auto it = config.attempt_bounds.find(class_names[i]);
    if (it != config.attempt_bounds.end()) bounds[i] = it->second;
  }
  return bounds;
}

}  // namespace cometfold::net
