#include "ops/handover_state.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

namespace cometfold::ops {
namespace json = boost::json;

namespace {

constexpr int kVersion = 1;

// Keys of the JSON object. Each customer, host and departed host is encoded as an array; its encode function
// below defines the order of the elements.
constexpr char kVersionKey[] = "version";
constexpr char kAgeKey[] = "age_ms";
constexpr char kClassNamesKey[] = "classes";
constexpr char kPlanNamesKey[] = "plans";
constexpr char kCustomersKey[] = "customers";
constexpr char kHostsKey[] = "hosts";
constexpr char kClassLatencyKey[] = "class_ms";
constexpr char kUnloadedLatencyKey[] = "calm_ms";
constexpr char kDepartedHostsKey[] = "departed";
constexpr char kIdentitiesKey[] = "ids";

// Adds the key to errors of the JSON library.
template <class Decode>
decltype(auto) decode_member(const char* key, Decode decode) {
  try {
    return decode();
  } catch (const HandoverError&) {
    throw;
  } catch (const std::exception& error) {
    throw HandoverError(key, error.what());
  }
}

double finite_number(const json::value& value) {
  const double number = value.to_number<double>();
  if (!std::isfinite(number)) throw std::range_error("number is not finite");
  return number;
}

json::array encode_names(std::span<const std::string> names) {
  json::array encoded;
  for (const auto& name : names) encoded.emplace_back(name);
  return encoded;
}

// Maps the predecessor's indices to those of `names`. Names that `names` lacks get an index past the last.
std::vector<std::uint32_t> decode_names(const json::value& value, std::span<const std::string> names) {
  std::vector<std::uint32_t> indices;
  for (const auto& element : value.as_array()) {
    const std::string_view name = element.as_string();
    // The name of a removed class or plan is empty.
    const auto found = name.empty() ? names.end() : std::find(names.begin(), names.end(), name);
    indices.push_back(static_cast<std::uint32_t>(found - names.begin()));
  }
  return indices;
}

json::value encode_customer(const CustomerSnapshot& customer) {
  json::array class_levels;
  for (const double level : customer.class_levels) class_levels.emplace_back(level);
  return json::array{customer.id,
                     customer.plan_index,
                     customer.gateway_count,
                     customer.quota_level,
                     customer.undivided_quota_level,
                     customer.ceiling_level,
                     customer.demand,
                     customer.idle_ms,
                     std::move(class_levels),
                     customer.attempts_in_flight};
}

// `plans` and `classes` map the predecessor's indices to those of this process.
CustomerSnapshot decode_customer(const json::array& fields, const std::vector<std::uint32_t>& plans,
                                 const std::vector<std::uint32_t>& classes, std::size_t class_count) {
  constexpr std::size_t kFieldsWithoutAttempts = 9;  // sent by processes that predate design note 0004
  CustomerSnapshot customer;
  customer.id = fields.at(0).to_number<std::uint64_t>();
  customer.plan_index = plans.at(fields.at(1).to_number<std::uint32_t>());
  customer.gateway_count = finite_number(fields.at(2));
  customer.quota_level = finite_number(fields.at(3));
  customer.undivided_quota_level = finite_number(fields.at(4));
  customer.ceiling_level = finite_number(fields.at(5));
  customer.demand = finite_number(fields.at(6));
  customer.idle_ms = finite_number(fields.at(7));
  const auto& levels = fields.at(8).as_array();
  // A class that the predecessor lacks starts with the level of the customer's quota.
  customer.class_levels.assign(class_count, customer.quota_level);
  for (std::size_t i = 0; i < levels.size(); ++i) {
    if (classes.at(i) < class_count) customer.class_levels[classes[i]] = finite_number(levels[i]);
  }
  if (fields.size() > kFieldsWithoutAttempts) customer.attempts_in_flight = finite_number(fields[9]);
  return customer;
}

std::vector<CustomerSnapshot> decode_customers(const json::value& value,
                                               const std::vector<std::uint32_t>& plans,
                                               const std::vector<std::uint32_t>& classes,
                                               const HandoverNames& names) {
  std::vector<CustomerSnapshot> customers;
  for (const auto& element : value.as_array()) {
    auto customer = decode_customer(element.as_array(), plans, classes, names.classes.size());
    if (customer.plan_index < names.plans.size()) customers.push_back(std::move(customer));
  }
  return customers;
}

json::value encode_host(const HostSnapshot& host) {
  return json::array{host.id,
                     host.uptime_ms,
                     host.relative_latency,
                     host.failure_rate,
                     host.reported_load,
                     host.proven_rate,
                     host.ejection_remaining_ms};
}

HostSnapshot decode_host(const json::array& fields) {
  HostSnapshot host;
  host.id = fields.at(0).to_number<HostId>();
  host.uptime_ms = finite_number(fields.at(1));
  host.relative_latency = finite_number(fields.at(2));
  host.failure_rate = finite_number(fields.at(3));
  host.reported_load = finite_number(fields.at(4));
  host.proven_rate = finite_number(fields.at(5));
  host.ejection_remaining_ms = finite_number(fields.at(6));
  return host;
}

std::vector<HostSnapshot> decode_hosts(const json::value& value) {
  std::vector<HostSnapshot> hosts;
  for (const auto& element : value.as_array()) hosts.push_back(decode_host(element.as_array()));
  return hosts;
}

std::vector<Ms> decode_class_latency(const json::value& value, const std::vector<std::uint32_t>& classes,
                                     std::size_t class_count) {
  std::vector<Ms> latency(class_count, 0);
  const auto& values = value.as_array();
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (classes.at(i) < class_count) latency[classes[i]] = finite_number(values[i]);
  }
  return latency;
}

json::value encode_departed_host(const DepartedHost& host) {
  return json::array{host.id, host.boot_unix_ms ? json::value(*host.boot_unix_ms) : json::value()};
}

std::vector<DepartedHost> decode_departed_hosts(const json::value& value) {
  std::vector<DepartedHost> hosts;
  for (const auto& element : value.as_array()) {
    DepartedHost host;
    host.id = element.at(0).to_number<HostId>();
    if (!element.at(1).is_null()) host.boot_unix_ms = finite_number(element.at(1));
    hosts.push_back(host);
  }
  return hosts;
}

json::value encode_identity(const IdentityInUse& held) {
  return json::array{held.identity, held.remaining_ms};
}

std::vector<IdentityInUse> decode_identities(const json::value& value) {
  std::vector<IdentityInUse> identities;
  for (const auto& element : value.as_array()) {
    identities.push_back({element.at(0).to_number<std::uint64_t>(), finite_number(element.at(1))});
  }
  return identities;
}

// Selects at most kMaxHandoverCustomers.
std::vector<const CustomerSnapshot*> select_customers(std::span<const CustomerSnapshot> customers,
                                                      std::span<const PlanSettings> plans) {
  std::vector<const CustomerSnapshot*> selected;
  for (const auto& customer : customers) selected.push_back(&customer);
  if (selected.size() <= kMaxHandoverCustomers) return selected;
  const auto rank = [&](const CustomerSnapshot* customer) {
    const bool has_ceiling =
        customer->plan_index < plans.size() && plans[customer->plan_index].ceiling_rate > 0;
    return std::pair(has_ceiling ? 0 : 1, customer->idle_ms);
  };
  std::sort(selected.begin(), selected.end(),
            [&](const auto* one, const auto* other) { return rank(one) < rank(other); });
  selected.resize(kMaxHandoverCustomers);
  return selected;
}

template <class Item>
json::array encode_items(std::span<const Item> items, json::value (*encode)(const Item&)) {
  json::array encoded;
  for (const Item& item : items) encoded.push_back(encode(item));
  return encoded;
}

HandoverSnapshot decode_object(const json::object& object, const HandoverNames& names) {
  const auto classes =
      decode_member(kClassNamesKey, [&] { return decode_names(object.at(kClassNamesKey), names.classes); });
  const auto plans =
      decode_member(kPlanNamesKey, [&] { return decode_names(object.at(kPlanNamesKey), names.plans); });
  HandoverSnapshot state;
  state.age_ms = decode_member(kAgeKey, [&] { return finite_number(object.at(kAgeKey)); });
  state.customers = decode_member(
      kCustomersKey, [&] { return decode_customers(object.at(kCustomersKey), plans, classes, names); });
  // Processes that predate design note 0004 send neither hosts nor latencies; those that predate 0011 send no
  // departed hosts.
  if (const auto* hosts = object.if_contains(kHostsKey)) {
    state.hosts = decode_member(kHostsKey, [&] { return decode_hosts(*hosts); });
    state.class_latency_ms = decode_member(kClassLatencyKey, [&] {
      return decode_class_latency(object.at(kClassLatencyKey), classes, names.classes.size());
    });
    state.unloaded_latency_ms =
        decode_member(kUnloadedLatencyKey, [&] { return finite_number(object.at(kUnloadedLatencyKey)); });
  }
  if (const auto* departed = object.if_contains(kDepartedHostsKey)) {
    state.departed_hosts = decode_member(kDepartedHostsKey, [&] { return decode_departed_hosts(*departed); });
  }
  // Older processes send no identities, and neither do those that have none in use.
  if (const auto* identities = object.if_contains(kIdentitiesKey)) {
    state.identities_in_use = decode_member(kIdentitiesKey, [&] { return decode_identities(*identities); });
  }
  return state;
}

}  // namespace

HandoverError::HandoverError(std::string key, std::string problem)
    : std::runtime_error(key.empty() ? "hand-over state: " + problem
                                     : "hand-over state: " + key + ": " + problem),
      key_(std::move(key)),
      problem_(std::move(problem)) {}

std::string encode_handover(const HandoverSnapshot& state, const HandoverNames& names,
                            std::span<const PlanSettings> plans) {
  // The successor treats an omitted customer as new, and a new customer's ceiling starts full. With an age of
  // 0, as if this gateway had just started, the successor starts the ceilings of unknown customers empty
  // instead.
  const bool all = state.customers.size() <= kMaxHandoverCustomers;
  json::array customers;
  for (const auto* customer : select_customers(state.customers, plans)) {
    customers.push_back(encode_customer(*customer));
  }
  const std::span all_hosts(state.hosts);
  const auto hosts = all_hosts.first(std::min(all_hosts.size(), kMaxHandoverCustomers));
  json::array class_latency;
  for (const Ms latency : state.class_latency_ms) class_latency.emplace_back(latency);
  json::object encoded{
      {kVersionKey, kVersion},
      {kAgeKey, all ? state.age_ms : 0},
      {kClassNamesKey, encode_names(names.classes)},
      {kPlanNamesKey, encode_names(names.plans)},
      {kCustomersKey, std::move(customers)},
      {kHostsKey, encode_items<HostSnapshot>(hosts, encode_host)},
      {kClassLatencyKey, std::move(class_latency)},
      {kUnloadedLatencyKey, state.unloaded_latency_ms},
      {kDepartedHostsKey, encode_items<DepartedHost>(state.departed_hosts, encode_departed_host)}};
  if (!state.identities_in_use.empty()) {
    const std::span all_identities(state.identities_in_use);
    const auto identities = all_identities.first(std::min(all_identities.size(), kMaxHandoverIdentities));
    encoded[kIdentitiesKey] = encode_items<IdentityInUse>(identities, encode_identity);
  }
  return json::serialize(encoded);
}

HandoverSnapshot decode_handover(std::string_view text, const HandoverNames& names) {
  const auto value = decode_member("", [&] { return json::parse(text); });
  const auto& object = decode_member("", [&]() -> const json::object& { return value.as_object(); });
  const int version = decode_member(kVersionKey, [&] { return object.at(kVersionKey).to_number<int>(); });
  if (version != kVersion) throw HandoverError(kVersionKey, "is " + std::to_string(version) + ", not 1");
  return decode_object(object, names);
}

}  // namespace cometfold::ops
