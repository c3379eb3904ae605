#include "net/platform_settings.h"

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <string_view>

#include "adapter/settings.h"
#include "net/config_error.h"

namespace cometfold::net {
namespace json = boost::json;

namespace {

using wire::Pairs;

constexpr const char* kDocument = "settings";
constexpr double kMaxNumber = 1e15;
constexpr double kMaxListLength = 65536;

struct NumberKey {
  const char* key;
  double min;
};

constexpr NumberKey kClassNumbers[] = {{"slo_ms", 0}, {"deadline_ms", 1}, {"worth", 0}};
constexpr NumberKey kPlanNumbers[] = {
    {"quota_rate", 0}, {"burst", 0},      {"pays", 0},          {"overrun_cost", 0}, {"beyond_earns", 0},
    {"hard_rate", 0},  {"hard_burst", 0}, {"ceiling_slack", 0}, {"concurrency", 0},
};
constexpr NumberKey kNumbers[] = {
    {"az", 0},
    {"granularity_ms", 0},
    {"ceilings.max_retry_after_ms", 0},
    {"rules.cold_from", 0},
    {"rules.warm_after_ms", 0},
    {"rules.overload_factor", 0},
    {"rules.fall_ms", 0},
    {"siblings", 1},
    {"ceilings.max_attempts", 1},
    {"ceilings.max_open", 1},
    {"ceilings.conn_idle_ms", 1},
    {"ceilings.connect_timeout_ms", 1},
    {"family_info.units_top", 1},
};
constexpr const char* kFlags[] = {"ceilings.second_copies", "ceilings.cancel", "ceilings.retry_after"};

std::string scalar_text(const json::value& value) {
  return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

void flatten(const std::string& path, const json::value& value, Pairs& pairs);

void flatten_array(const std::string& path, const json::array& array, Pairs& pairs) {
  const std::string prefix = path.empty() ? "" : path + ".";
  std::string joined;
  std::size_t count = 0;
  for (const auto& element : array) {
    if (element.is_object()) flatten(prefix + std::to_string(count), element, pairs);
    if (count > 0) joined += ',';
    if (!element.is_structured()) joined += scalar_text(element);
    ++count;
  }
  if (count == 0 || array.front().is_object()) pairs[prefix + "count"] = std::to_string(count);
  pairs[path] = joined;
}

// Flattens nested JSON into the key-value pairs from which the simulator's settings are read: the same names,
// joined by dots.
void flatten(const std::string& path, const json::value& value, Pairs& pairs) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (const auto* object = value.if_object()) {
    for (const auto& [key, element] : *object) flatten(prefix + std::string(key), element, pairs);
  } else if (const auto* array = value.if_array()) {
    flatten_array(path, *array, pairs);
  } else {
    pairs[path] = scalar_text(value);
  }
}

const std::string& require(const Pairs& pairs, const std::string& key) {
  const auto it = pairs.find(key);
  if (it == pairs.end()) throw ConfigError(kDocument, key, key + " is missing");
  return it->second;
}

double require_number(const Pairs& pairs, const std::string& key, double min) {
  const auto& text = require(pairs, key);
  double number = 0;
  const auto* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  // False for NaN.
  const bool in_range = number >= min && number <= kMaxNumber;
  if (error != std::errc{} || end != last || !in_range) {
    throw ConfigError(kDocument, key, key + " is not a number in range: '" + text + "'");
  }
  return number;
}

template <std::size_t size>
void require_numbers(const Pairs& pairs, const std::string& prefix, const NumberKey (&keys)[size]) {
  for (const auto& [key, min] : keys) require_number(pairs, prefix + key, min);
}

void require_one_of(const Pairs& pairs, const std::string& key,
                    std::initializer_list<std::string_view> words) {
  const auto& text = require(pairs, key);
  if (std::find(words.begin(), words.end(), text) == words.end()) {
    throw ConfigError(kDocument, key, key + " has an unknown value: '" + text + "'");
  }
}

std::size_t require_count(const Pairs& pairs, const std::string& key) {
  const double count = require_number(pairs, key, 1);
  if (count > kMaxListLength) throw ConfigError(kDocument, key, key + " is above 65536");
  return static_cast<std::size_t>(count);
}

void check_class(const Pairs& pairs, const std::string& prefix) {
  require(pairs, prefix + "name");
  require_numbers(pairs, prefix, kClassNumbers);
  require_one_of(pairs, prefix + "semantics", {"safe", "keyed", "unsafe"});
  if (pairs.at(prefix + "semantics") != "keyed") return;
  require_one_of(pairs, prefix + "group", {"all", "zone", "cell"});
  require_number(pairs, prefix + "key_ttl_ms", 0);
}

std::string element_prefix(const std::string& list, std::size_t index) {
  return list + "." + std::to_string(index) + ".";
}

void check(const Pairs& pairs, std::size_t class_count, std::size_t plan_count) {
  for (std::size_t i = 0; i < class_count; ++i) check_class(pairs, element_prefix("lanes", i));
  for (std::size_t i = 0; i < plan_count; ++i) {
    const auto prefix = element_prefix("packages", i);
    require(pairs, prefix + "name");
    require_numbers(pairs, prefix, kPlanNumbers);
  }
  require_numbers(pairs, "", kNumbers);
  for (const char* key : kFlags) require_one_of(pairs, key, {"true", "false"});
}

std::vector<std::string> names(const Pairs& pairs, const std::string& list, std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) names.push_back(pairs.at(element_prefix(list, i) + "name"));
  return names;
}

// The elements of a joined list; none if the key is missing.
std::vector<std::string> split(const Pairs& pairs, const std::string& key) {
  std::vector<std::string> parts;
  const auto it = pairs.find(key);
  const std::string text = it == pairs.end() ? "" : it->second;
  for (std::size_t begin = 0; !text.empty() && begin <= text.size();) {
    const auto end = std::min(text.find(',', begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

AdmissionSettings read_admission_settings(const Pairs& pairs) {
  try {
    return wire::read_settings(pairs);
  } catch (const wire::WireError& error) {
    throw ConfigError({}, {}, error.what());
  }
}

}  // namespace

PlatformSettings parse_platform_settings(const json::value& json) {
  Pairs pairs;
  flatten("", json, pairs);
  const auto class_count = require_count(pairs, "lanes.count");
  const auto plan_count = require_count(pairs, "packages.count");
  check(pairs, class_count, plan_count);
  PlatformSettings settings;
  settings.admission = read_admission_settings(pairs);
  settings.class_names = names(pairs, "lanes", class_count);
  settings.plan_names = names(pairs, "packages", plan_count);
  settings.zones = split(pairs, "zones");
  settings.host_kinds = split(pairs, "host_types");
  settings.connection_idle_timeout_ms = require_number(pairs, "ceilings.conn_idle_ms", 1);
  settings.connect_timeout_ms = require_number(pairs, "ceilings.connect_timeout_ms", 1);
  settings.max_open_requests = static_cast<std::size_t>(require_number(pairs, "ceilings.max_open", 1));
  return settings;
}

}  // namespace cometfold::net
