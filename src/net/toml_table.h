// Tables of keys and value parsers, with which a TOML file is read into structures.
#pragma once

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "limits/attempt_limits.h"
#include "net/gateway_settings.h"

namespace cometfold::net::toml_table {

// Nothing if a value was accepted; otherwise what would be valid, worded to follow "must be".
using Rejection = std::optional<std::string>;
// Reads one value into the variable that the parser was created for.
using ValueParser = std::function<Rejection(const toml::node&)>;
using Table = std::map<std::string, ValueParser>;

// The location of a node in the file that is read.
SettingsLocation location_of(const std::string& file, const toml::source_region& source);

// `name` is empty for the file itself. Throws GatewaySettingsError.
void read(const std::string& file, const std::string& name, const toml::table& values, const Table& table);

// A number from `min` to `max`; `expected` says so in words.
template <class Number>
ValueParser number(Number& target, double min, double max, const char* expected) {
  return [&target, min, max, expected](const toml::node& node) -> Rejection {
    const auto value = node.value<double>();
    const bool has_type = node.is_number() && (!std::is_integral_v<Number> || node.is_integer());
    // False for NaN.
    const bool in_range = value && *value >= min && *value <= max;
    if (!has_type || !in_range) return expected;
    target = static_cast<Number>(*value);
    return {};
  };
}

// A list, whose elements are read by the parsers that `parser_of` makes.
template <class Value>
ValueParser list(std::vector<Value>& target, std::function<ValueParser(Value&)> parser_of,
                 const char* expected) {
  return [&target, parser_of = std::move(parser_of), expected](const toml::node& node) -> Rejection {
    constexpr std::size_t kMaxElements = 1024;
    if (!node.is_array() || node.as_array()->size() > kMaxElements) return expected;
    std::vector<Value> values;
    for (const auto& element : *node.as_array()) {
      Value value{};
      if (parser_of(value)(element)) return expected;
      values.push_back(std::move(value));
    }
    target = std::move(values);
    return {};
  };
}

// A number or flag with its line. Its range is not checked here, but by limits::prove.
template <class Value>
ValueParser unchecked(std::optional<limits::SourceValue<Value>>& target) {
  return [&target](const toml::node& node) -> Rejection {
    if constexpr (std::is_same_v<Value, bool>) {
      if (!node.is_boolean()) return "true or false";
    } else {
      if (!node.is_number()) return "a number";
    }
    target = {*node.value<Value>(), static_cast<int>(node.source().begin.line)};
    return {};
  };
}

ValueParser flag(bool& target);
// A string of `min_bytes` (0 or 1) to 256 bytes.
ValueParser text(std::string& target, std::size_t min_bytes = 0);
// The name of an HTTP/2 header; empty: none.
ValueParser header_name(std::string& target);
// An IP address and a port; IPv6 addresses may be in brackets.
ValueParser endpoint(std::optional<boost::asio::ip::tcp::endpoint>& target);
ValueParser datagram_endpoint(std::optional<boost::asio::ip::udp::endpoint>& target);
// A nested table. `location`, if given, receives its file and line.
ValueParser nested(const std::string& file, const std::string& name, Table table,
                   std::string* location = nullptr);

}  // namespace cometfold::net::toml_table
