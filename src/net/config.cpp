#include "net/config.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <iterator>

#include "adapter/settings.h"

namespace cometfold::net {
namespace json = boost::json;

namespace {

using wire::Pairs;

std::string plain(const json::value& value) {
  return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

// Nested JSON to the pairs that `read_settings` reads: the same names, joined by dots.
void flatten(const std::string& path, const json::value& value, Pairs& pairs) {
  const std::string at = path.empty() ? "" : path + ".";
  if (const auto* object = value.if_object()) {
    for (const auto& [key, item] : *object) flatten(at + std::string(key), item, pairs);
  } else if (const auto* array = value.if_array()) {
    std::string joined;
    std::size_t n = 0;
    for (const auto& item : *array) {
      if (item.is_object()) flatten(at + std::to_string(n), item, pairs);
      if (n++ > 0) joined += ',';
      if (!item.is_structured()) joined += plain(item);
    }
    if (n == 0 || array->front().is_object()) pairs[at + "count"] = std::to_string(n);
    pairs[path] = joined;
  } else {
    pairs[path] = plain(value);
  }
}

const std::string& need(const Pairs& pairs, const std::string& key) {
  const auto it = pairs.find(key);
  if (it == pairs.end()) throw ConfigError("settings: " + key + " is missing");
  return it->second;
}

double need_number(const Pairs& pairs, const std::string& key, double least) {
  const auto& text = need(pairs, key);
  double v = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (error != std::errc{} || end != text.data() + text.size() || !(v >= least) || v > 1e15) {
    throw ConfigError("settings: " + key + " is not a number in range: '" + text + "'");
  }
  return v;
}

void need_one_of(const Pairs& pairs, const std::string& key, std::initializer_list<std::string_view> words) {
  const auto& text = need(pairs, key);
  for (const auto word : words) {
    if (text == word) return;
  }
  throw ConfigError("settings: " + key + " has an unknown value: '" + text + "'");
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  for (std::size_t from = 0; !text.empty() && from <= text.size();) {
    const auto end = std::min(text.find(',', from), text.size());
    parts.push_back(text.substr(from, end - from));
    from = end + 1;
  }
  return parts;
}

// Danger: `read_settings` takes what is missing as its default, which is right for a drill, but a gateway
// would serve with wrong limits. So here the start fails instead.
void check_settings(const Pairs& p, std::size_t classes, std::size_t plans) {
  for (std::size_t i = 0; i < classes; ++i) {
    const auto at = "lanes." + std::to_string(i) + ".";
    need(p, at + "name");
    need_number(p, at + "slo_ms", 0);
    need_number(p, at + "deadline_ms", 1);
    need_number(p, at + "worth", 0);
    need_one_of(p, at + "semantics", {"safe", "keyed", "unsafe"});
    if (p.at(at + "semantics") == "keyed") {
      need_one_of(p, at + "group", {"all", "zone", "cell"});
      need_number(p, at + "key_ttl_ms", 0);
    }
  }
  for (std::size_t i = 0; i < plans; ++i) {
    const auto at = "packages." + std::to_string(i) + ".";
    need(p, at + "name");
    for (const char* key : {"quota_rate", "burst", "pays", "overrun_cost", "beyond_earns", "hard_rate",
                            "hard_burst", "ceiling_slack", "concurrency"}) {
      need_number(p, at + key, 0);
    }
  }
  for (const char* key : {"az", "granularity_ms", "ceilings.max_retry_after_ms", "rules.cold_from",
                          "rules.warm_after_ms", "rules.overload_factor", "rules.fall_ms"}) {
    need_number(p, key, 0);
  }
  for (const char* key : {"siblings", "ceilings.max_attempts", "ceilings.max_open", "ceilings.conn_idle_ms",
                          "ceilings.connect_timeout_ms", "family_info.units_top"}) {
    need_number(p, key, 1);
  }
  for (const char* key : {"ceilings.second_copies", "ceilings.cancel", "ceilings.retry_after"}) {
    need_one_of(p, key, {"true", "false"});
  }
}

std::vector<std::string> names(const Pairs& p, const std::string& list, std::size_t count) {
  std::vector<std::string> all;
  for (std::size_t i = 0; i < count; ++i) all.push_back(p.at(list + "." + std::to_string(i) + ".name"));
  return all;
}

std::string optional_text(const Pairs& p, const std::string& key) {
  const auto it = p.find(key);
  return it == p.end() ? "" : it->second;
}

void read_settings_part(const json::value& value, Config& config) {
  Pairs p;
  flatten("", value, p);
  constexpr double kMost = 65536;
  const auto count = [&](const char* key) {
    const double n = need_number(p, key, 1);
    if (n > kMost) throw ConfigError(std::string("settings: ") + key + " is not a number in range");
    return static_cast<std::size_t>(n);
  };
  const auto classes = count("lanes.count"), plans = count("packages.count");
  check_settings(p, classes, plans);
  try {
    config.settings = wire::read_settings(p);
  } catch (const wire::WireError& error) {
    throw ConfigError(error.what());
  }
  config.class_names = names(p, "lanes", classes);
  config.plan_names = names(p, "packages", plans);
  config.zones = split(optional_text(p, "zones"));
  config.kinds = split(optional_text(p, "host_types"));
  config.report_names = split(optional_text(p, "load_report.fields"));
  config.conn_idle_ms = need_number(p, "ceilings.conn_idle_ms", 1);
  config.connect_timeout_ms = need_number(p, "ceilings.connect_timeout_ms", 1);
  config.max_open = static_cast<std::size_t>(need_number(p, "ceilings.max_open", 1));
}

std::string text_at(const json::object& o, const char* key) {
  const auto* v = o.if_contains(key);
  if (!v) throw ConfigError(std::string("configuration: '") + key + "' is missing");
  if (!v->is_string()) throw ConfigError(std::string("configuration: '") + key + "' is not a string");
  return std::string(v->get_string());
}

std::size_t limit_at(const json::object& o, const char* key) {
  const auto* v = o.if_contains(key);
  boost::system::error_code error;
  const double n = v ? v->to_number<double>(error) : 0;
  if (!v || error || !(n >= 1) || n > 1e9) {
    throw ConfigError(std::string("configuration: limits.") + key + " is missing or not a number in range");
  }
  return static_cast<std::size_t>(n);
}

std::uint64_t read_seed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc{} || end != text.data() + text.size()) {
    throw ConfigError("configuration: 'seed' is not a hexadecimal number of 64 bits");
  }
  return seed;
}

boost::asio::ip::tcp::endpoint endpoint_of(const std::string& text, const char* what) {
  try {
    return parse_endpoint(text);
  } catch (const HostListError& error) {
    throw ConfigError(std::string(what) + ": " + error.what());
  }
}

}  // namespace

Config read_config(const json::value& value) {
  if (!value.is_object()) throw ConfigError("configuration: not a JSON object");
  const auto& o = value.get_object();
  Config config;
  config.name = text_at(o, "name");
  config.listen = endpoint_of(text_at(o, "listen"), "configuration: 'listen'");
  config.discovery = endpoint_of(text_at(o, "discovery"), "configuration: 'discovery'");
  if (o.contains("admin")) config.admin = endpoint_of(text_at(o, "admin"), "configuration: 'admin'");
  config.seed = read_seed(text_at(o, "seed"));
  const auto* limits = o.if_contains("limits");
  if (!limits || !limits->is_object())
    throw ConfigError("configuration: 'limits' is missing or not an object");
  config.sockets = limit_at(limits->get_object(), "sockets");
  config.memory_mb = limit_at(limits->get_object(), "memory_mb");
  if (const auto* known = o.if_contains("known")) {
    try {
      config.known = parse_host_list(*known);
    } catch (const HostListError& error) {
      throw ConfigError(std::string("configuration: 'known': ") + error.what());
    }
  } else {
    throw ConfigError("configuration: 'known' is missing");
  }
  const auto* settings = o.if_contains("settings");
  if (!settings || !settings->is_object())
    throw ConfigError("configuration: 'settings' is missing or not an object");
  config.settings_text = json::serialize(*settings);
  read_settings_part(*settings, config);
  return config;
}

namespace {

using Variable = std::function<const char*(const char*)>;

std::string need_variable(const Variable& variable, const char* name) {
  const char* text = variable(name);
  if (!text || !*text) throw ConfigError(std::string(name) + " is not set");
  return text;
}

}  // namespace

Config read_config_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file.good() && !file.eof()) throw ConfigError("configuration: can't read '" + path + "'");
  boost::system::error_code error;
  const auto value = json::parse(text, error);
  if (error) throw ConfigError("configuration: '" + path + "' is not JSON: " + error.message());
  return read_config(value);
}

// Both processes of an upgrade have the same name, address and directory.
std::string handover_path(const Variable& variable, const Config& config) {
  const char* directory = variable("TMPDIR");
  if (!directory || !*directory) return {};
  std::string name =
      config.name + "-" + config.listen.address().to_string() + "-" + std::to_string(config.listen.port());
  for (char& c : name) {
    if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '.') c = '_';
  }
  return std::string(directory) + "/cometfold-" + name + ".handover";
}

Config load_config(const Variable& variable) {
  Config config = reload_config(variable);
  config.handover = handover_path(variable, config);
  // At the start the file says the same.
  config.discovery = endpoint_of(need_variable(variable, "EDGE_DISCOVERY"), "EDGE_DISCOVERY");
  return config;
}

Config reload_config(const Variable& variable) {
  Config config = read_config_file(need_variable(variable, "EDGE_CONFIG"));
  // The environment is this machine's own word on what does not change while the program runs.
  config.name = need_variable(variable, "EDGE_NAME");
  config.listen = endpoint_of(need_variable(variable, "EDGE_LISTEN"), "EDGE_LISTEN");
  if (const char* admin = variable("EDGE_ADMIN"); admin && *admin)
    config.admin = endpoint_of(admin, "EDGE_ADMIN");
  return config;
}

void use_limits(Config& config) {
  const auto& written = config.own.limits;
  const auto verdict =
      limits::prove(written, {config.class_names, config.settings, config.connect_timeout_ms});
  std::string wrong;
  for (const auto& refusal : verdict.errors) {
    if (!wrong.empty()) wrong += '\n';
    wrong += refusal.to_text();
  }
  if (!wrong.empty()) throw ConfigError(wrong);
  for (std::size_t i = 0; i < written.entries.size(); ++i) {
    const auto& e = written.entries[i];
    if (!e.route.empty())
      config.own.processor.mapping.rules[e.rule_index].bounds = verdict.bounds.by_entry[i];
  }
  config.bounds.clear();
  for (std::size_t i = 0; i < config.class_names.size(); ++i) {
    config.bounds[config.class_names[i]] = verdict.bounds.by_class[i];
  }
}

std::vector<RequestBounds> bounds_of(const Config& config, const std::vector<std::string>& classes) {
  std::vector<RequestBounds> all(classes.size());
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const auto it = config.bounds.find(classes[i]);
    if (it != config.bounds.end()) all[i] = it->second;
  }
  return all;
}

}  // namespace cometfold::net
