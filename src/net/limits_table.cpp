// The table [limits] of the gateway's own settings.
#include <cstddef>
#include <utility>

#include "net/settings_tables.h"

namespace cometfold::net {

namespace {

using toml_table::nested;
using toml_table::number;
using toml_table::Rejection;
using toml_table::Table;
using toml_table::unchecked;
using toml_table::ValueParser;

constexpr std::size_t kMaxClassTables = 1024;

ValueParser delay_interval(limits::LimitsFile& limits) {
  return [&limits](const toml::node& node) -> Rejection {
    constexpr const char* kExpected =
        "two numbers of milliseconds: the shortest and the longest network delay to a host";
    if (!node.is_array() || node.as_array()->size() != 2) return kExpected;
    const auto& bounds = *node.as_array();
    if (!bounds[0].is_number() || !bounds[1].is_number()) return kExpected;
    limits.network_delay = {*bounds[0].value<double>(), *bounds[1].value<double>()};
    limits.network_delay_line = static_cast<int>(node.source().begin.line);
    return {};
  };
}

// The tables [limits.class.NAME], one for each class that has limits of its own.
ValueParser class_tables(const std::string& file, std::vector<limits::LimitEntry>& entries) {
  return [file, &entries](const toml::node& node) -> Rejection {
    constexpr const char* kExpected = "at most 1024 tables: [limits.class.NAME]";
    if (!node.is_table() || node.as_table()->size() > kMaxClassTables) return kExpected;
    for (const auto& [key, value] : *node.as_table()) {
      limits::LimitEntry entry;
      entry.class_name = key.str();
      entry.line = static_cast<int>(key.source().begin.line);
      const std::string table_name = "limits.class." + entry.class_name;
      if (nested(file, table_name, attempt_limits_table(entry))(value)) return kExpected;
      entries.push_back(std::move(entry));
    }
    return {};
  };
}

}  // namespace

Table attempt_limits_table(limits::LimitEntry& entry) {
  return {{"attempts", unchecked(entry.max_attempts)},
          {"attempt_ms", unchecked(entry.attempt_timeout_ms)},
          {"send_until_ms", unchecked(entry.retry_window_ms)},
          {"second_copies", unchecked(entry.hedging_allowed)}};
}

Table limits_table(const std::string& file, limits::LimitsFile& limits) {
  return {{"network_ms", delay_interval(limits)},
          {"clock_error_ms",
           number(limits.clock_error_ms, 0, 3.6e6, "a number of milliseconds from 0 to 3600000")},
          {"class", class_tables(file, limits.entries)}};
}

}  // namespace cometfold::net
