#include "net/host_list.h"

#include <charconv>
#include <utility>

namespace cometfold::net {
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace {

// Discovery's JSON keys for the fields of `HostList` and `DiscoveredHost`.
constexpr const char* kVersionKey = "rev";
constexpr const char* kSnapshotKey = "all";
constexpr const char* kHostsKey = "targets";
constexpr const char* kUidKey = "uid";
constexpr const char* kEndpointKey = "endpoint";
constexpr const char* kStateKey = "state";
constexpr const char* kZoneKey = "az";
constexpr const char* kKindKey = "model";
constexpr const char* kCellKey = "pod_group";
constexpr const char* kCapacityKey = "capacity_hint";
constexpr const char* kBootKey = "boot_ms";

constexpr std::pair<std::string_view, HostState> kStates[] = {
    {"active", HostState::kReady},
    {"leaving", HostState::kDraining},
    {"left", HostState::kRemoved},
};

constexpr std::size_t kMaxQuotedBytes = 64;  // of a value that is quoted in an error

const json::value& require(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (!value) throw HostListError(key, std::string("'") + key + "' is missing");
  return *value;
}

std::string to_string(const json::value& value, const char* key) {
  if (!value.is_string()) throw HostListError(key, std::string("'") + key + "' is not a string");
  return std::string(value.get_string());
}

double to_number(const json::value& value, const char* key) {
  if (!value.is_number()) throw HostListError(key, std::string("'") + key + "' is not a number");
  return value.to_number<double>();
}

template <typename Integer>
Integer to_integer(const json::value& value, const char* key) {
  boost::system::error_code error;
  const auto number = value.to_number<Integer>(error);
  if (error) throw HostListError(key, std::string("'") + key + "' is not a whole number in range");
  return number;
}

HostState parse_state(const std::string& text) {
  for (const auto& [word, state] : kStates) {
    if (word == text) return state;
  }
  throw HostListError(kStateKey, "'state' is not active, leaving or left");
}

DiscoveredHost parse_host(const json::value& value) {
  if (!value.is_object()) throw HostListError(kHostsKey, "an element of 'targets' is not an object");
  const auto& object = value.get_object();
  DiscoveredHost host;
  host.uid = to_string(require(object, kUidKey), kUidKey);
  host.endpoint = parse_endpoint(to_string(require(object, kEndpointKey), kEndpointKey));
  host.state = parse_state(to_string(require(object, kStateKey), kStateKey));
  if (const auto* zone = object.if_contains(kZoneKey)) host.zone = to_string(*zone, kZoneKey);
  if (const auto* kind = object.if_contains(kKindKey)) host.kind = to_string(*kind, kKindKey);
  if (const auto* cell = object.if_contains(kCellKey)) host.cell = to_integer<std::uint32_t>(*cell, kCellKey);
  if (const auto* capacity = object.if_contains(kCapacityKey)) {
    host.capacity = to_number(*capacity, kCapacityKey);
  }
  if (const auto* boot = object.if_contains(kBootKey)) host.boot_unix_ms = to_number(*boot, kBootKey);
  return host;
}

}  // namespace

tcp::endpoint parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon != std::string_view::npos) {
    const auto* last = text.data() + text.size();
    const auto [end, port_error] = std::from_chars(text.data() + colon + 1, last, port);
    boost::system::error_code address_error;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), address_error);
    if (!address_error && port_error == std::errc{} && end == last) return {address, port};
  }
  throw HostListError(kEndpointKey,
                      "not an address and port: '" + std::string(text.substr(0, kMaxQuotedBytes)) + "'");
}

bool is_host_list(const json::value& json) {
  return json.is_object() && json.get_object().contains(kVersionKey);
}

HostList parse_host_list(const json::value& value) {
  if (!value.is_object()) throw HostListError({}, "not a JSON object");
  const auto& object = value.get_object();
  HostList list;
  list.version = to_integer<std::uint64_t>(require(object, kVersionKey), kVersionKey);
  const auto& is_snapshot = require(object, kSnapshotKey);
  const auto& hosts = require(object, kHostsKey);
  if (!is_snapshot.is_bool() || !hosts.is_array()) {
    throw HostListError({}, "'all' is not a boolean or 'targets' is not an array");
  }
  list.is_snapshot = is_snapshot.get_bool();
  for (const auto& host : hosts.get_array()) list.hosts.push_back(parse_host(host));
  return list;
}

}  // namespace cometfold::net
