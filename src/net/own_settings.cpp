#include "own_settings.h"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <cmath>
#include <cstdint>
#include <functional>
#include <map>

namespace thistlepond::net {

namespace {

using Take = std::function<const char*(const toml::node&)>;  // null, or what would be right

[[noreturn]] void complain(const std::string& path, const toml::source_region& at, const std::string& what) {
  throw OwnSettingsError(path + ":" + std::to_string(at.begin.line) + ": " + what);
}

// A number from `least` to `most`; `right` says so in words.
template <class Number>
Take number(Number& into, double least, double most, const char* right) {
  return [&into, least, most, right](const toml::node& node) {
    const auto value = node.value<double>();
    const bool whole = !std::is_integral_v<Number> || node.is_integer();
    if (!node.is_number() || !whole || !value || !(*value >= least && *value <= most)) return right;
    into = static_cast<Number>(*value);
    return static_cast<const char*>(nullptr);
  };
}

std::string names_of(const auto& known) {
  std::string all;
  for (const auto& [name, value] : known) all += (all.empty() ? "" : ", ") + name;
  return all;
}

void read_table(const std::string& path, const std::string& table, const toml::table& values,
                const std::map<std::string, Take>& known) {
  for (const auto& [key, node] : values) {
    const std::string name(key.str());
    const auto it = known.find(name);
    if (it == known.end()) {
      complain(path, key.source(), "[" + table + "] has no '" + name + "'; it has " + names_of(known));
    }
    if (const char* right = it->second(node)) {
      complain(path, node.source(), table + "." + name + " must be " + right);
    }
  }
}

}  // namespace

OwnSettings read_own_settings(const std::string& path) {
  OwnSettings s;
  const std::map<std::string, std::map<std::string, Take>> tables{
      {"hosts",
       {{"rest_ms", number(s.rest_ms, 0, 10'000, "a number of milliseconds from 0 to 10000")},
        {"idle_per_host", number(s.idle_per_host, 0, 65'536, "a whole number from 0 to 65536")},
        {"per_host", number(s.per_host, 1, 65'536, "a whole number from 1 to 65536")},
        {"descriptors_share", number(s.descriptors_share, 0.05, 0.9, "a number from 0.05 to 0.9")}}}};
  toml::table file;
  try {
    file = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    complain(path, error.source(), "not TOML: " + std::string(error.description()));
  }
  for (const auto& [key, node] : file) {
    const std::string name(key.str());
    const auto it = tables.find(name);
    if (it == tables.end())
      complain(path, key.source(), "no table '" + name + "'; there are " + names_of(tables));
    if (!node.is_table()) complain(path, node.source(), "'" + name + "' must be a table: [" + name + "]");
    read_table(path, name, *node.as_table(), it->second);
  }
  return s;
}

}  // namespace thistlepond::net
