#include "net/toml_table.h"

#include <algorithm>
#include <cstdint>

namespace cometfold::net::toml_table {

namespace {

constexpr std::size_t kMaxTextBytes = 256;
constexpr std::size_t kMaxHeaderNameBytes = 63;
constexpr std::size_t kMaxPortDigits = 5;
constexpr int kMaxPort = 65535;

std::string joined_keys(const Table& table) {
  std::string text;
  for (const auto& [key, parser] : table) text += (text.empty() ? "" : ", ") + key;
  return text;
}

std::string quoted(const std::string& key) { return "'" + key + "'"; }

std::string full_key(const std::string& table_name, const std::string& key) {
  return table_name.empty() ? key : table_name + "." + key;
}

GatewaySettingsError unknown_key(const SettingsLocation& location, const std::string& table_name,
                                 const std::string& key, const Table& table) {
  if (table_name.empty()) {
    return {location, key, "no table " + quoted(key), "there are " + joined_keys(table)};
  }
  std::string problem = "[" + table_name;
  problem += "] has no " + quoted(key);
  return {location, full_key(table_name, key), problem, "it has " + joined_keys(table)};
}

std::string without_brackets(const std::string& ip) {
  const bool has_brackets = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  return has_brackets ? ip.substr(1, ip.size() - 2) : ip;
}

std::optional<boost::asio::ip::tcp::endpoint> parse(const std::string& value) {
  const auto colon = value.rfind(':');
  if (colon == std::string::npos) return {};
  const auto port_text = value.substr(colon + 1);
  if (port_text.empty() || port_text.size() > kMaxPortDigits) return {};
  if (port_text.find_first_not_of("0123456789") != std::string::npos) return {};
  const int port = std::stoi(port_text);
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(without_brackets(value.substr(0, colon)), error);
  if (error || port > kMaxPort) return {};
  return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

bool is_header_character(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

}  // namespace

SettingsLocation location_of(const std::string& file, const toml::source_region& source) {
  return {file, static_cast<int>(source.begin.line)};
}

void read(const std::string& file, const std::string& name, const toml::table& values, const Table& table) {
  for (const auto& [toml_key, node] : values) {
    const std::string key(toml_key.str());
    const auto it = table.find(key);
    if (it == table.end()) {
      throw unknown_key(location_of(file, toml_key.source()), name, key, table);
    }
    if (const auto expected = it->second(node)) {
      throw GatewaySettingsError::invalid_value(location_of(file, node.source()), full_key(name, key),
                                                *expected);
    }
  }
}

ValueParser flag(bool& target) {
  return [&target](const toml::node& node) -> Rejection {
    if (!node.is_boolean()) return "true or false";
    target = *node.value<bool>();
    return {};
  };
}

ValueParser text(std::string& target, std::size_t min_bytes) {
  return [&target, min_bytes](const toml::node& node) -> Rejection {
    const auto value = node.value<std::string>();
    if (!node.is_string() || value->size() < min_bytes || value->size() > kMaxTextBytes) {
      return min_bytes > 0 ? "a string of 1 to 256 bytes" : "a string of at most 256 bytes";
    }
    target = *value;
    return {};
  };
}

ValueParser header_name(std::string& target) {
  return [&target](const toml::node& node) -> Rejection {
    const auto value = node.value<std::string>();
    if (!node.is_string() || value->size() > kMaxHeaderNameBytes ||
        !std::all_of(value->begin(), value->end(), is_header_character)) {
      return "a lower-case header name of at most 63 letters, digits and hyphens, or empty for none";
    }
    target = *value;
    return {};
  };
}

ValueParser endpoint(std::optional<boost::asio::ip::tcp::endpoint>& target) {
  return [&target](const toml::node& node) -> Rejection {
    const auto value = node.value<std::string>();
    const auto parsed = node.is_string() ? parse(*value) : std::nullopt;
    if (!parsed) return "an IP address and a port, such as \"127.0.0.1:9002\"";
    target = parsed;
    return {};
  };
}

ValueParser datagram_endpoint(std::optional<boost::asio::ip::udp::endpoint>& target) {
  return [&target](const toml::node& node) -> Rejection {
    std::optional<boost::asio::ip::tcp::endpoint> parsed;
    if (auto rejection = endpoint(parsed)(node)) return rejection;
    target.emplace(parsed->address(), parsed->port());
    return {};
  };
}

ValueParser nested(const std::string& file, const std::string& name, Table table, std::string* location) {
  return [file, name, table = std::move(table), location](const toml::node& node) -> Rejection {
    if (!node.is_table()) return "a table: [" + name + "]";
    if (location) *location = location_of(file, node.source()).to_text();
    read(file, name, *node.as_table(), table);
    return {};
  };
}

}  // namespace cometfold::net::toml_table
