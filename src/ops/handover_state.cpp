#include "ops/handover_state.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <vector>

namespace cometfold::ops {
namespace json = boost::json;

namespace {

constexpr int kVersion = 1;

std::uint32_t number_of(std::span<const std::string> names, std::string_view name) {
  return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

json::array words(std::span<const std::string> names) {
  json::array all;
  for (const auto& n : names) all.emplace_back(n);
  return all;
}

double number(const json::value& v) {
  const double n = v.to_number<double>();
  if (!std::isfinite(n)) throw HandoverError("a number that is none");
  return n;
}

json::value customer(const CustomerSnapshot& c) {
  json::array children;
  for (const double level : c.class_levels) children.emplace_back(level);
  return json::array{c.id,
                     c.plan_index,
                     c.gateway_count,
                     c.quota_level,
                     c.undivided_quota_level,
                     c.ceiling_level,
                     c.demand,
                     c.idle_ms,
                     std::move(children),
                     c.attempts_in_flight};
}

// Numbers of the other process to those here; names that are not here to a number past the last.
std::vector<std::uint32_t> translation(const json::value& theirs, std::span<const std::string> ours) {
  std::vector<std::uint32_t> to;
  for (const auto& name : theirs.as_array()) {
    const std::string_view text = name.as_string();
    to.push_back(text.empty() ? static_cast<std::uint32_t>(ours.size()) : number_of(ours, text));
  }
  return to;
}

CustomerSnapshot read_customer(const json::array& one, const std::vector<std::uint32_t>& plans,
                               const std::vector<std::uint32_t>& classes, std::size_t our_classes) {
  CustomerSnapshot c;
  c.id = one.at(0).to_number<std::uint64_t>();
  c.plan_index = plans.at(one.at(1).to_number<std::uint32_t>());
  c.gateway_count = number(one.at(2));
  c.quota_level = number(one.at(3));
  c.undivided_quota_level = number(one.at(4));
  c.ceiling_level = number(one.at(5));
  c.demand = number(one.at(6));
  c.idle_ms = number(one.at(7));
  const auto& levels = one.at(8).as_array();
  c.class_levels.assign(our_classes, c.quota_level);  // a class that is new here: what its parent could give
  for (std::size_t i = 0; i < levels.size(); ++i) {
    if (classes.at(i) < our_classes) c.class_levels[classes[i]] = number(levels[i]);
  }
  if (one.size() > 9) c.attempts_in_flight = number(one[9]);  // not from processes before 0004
  return c;
}

json::value host(const HostSnapshot& h) {
  return json::array{h.id,
                     h.uptime_ms,
                     h.relative_latency,
                     h.failure_rate,
                     h.reported_load,
                     h.proven_rate,
                     h.ejection_remaining_ms};
}

HostSnapshot read_host(const json::array& one) {
  return {one.at(0).to_number<HostId>(),
          number(one.at(1)),
          number(one.at(2)),
          number(one.at(3)),
          number(one.at(4)),
          number(one.at(5)),
          number(one.at(6))};
}

json::array departed(std::span<const DepartedHost> hosts) {
  json::array all;
  for (const auto& h : hosts) {
    all.push_back(json::array{h.id, h.boot_unix_ms ? json::value(*h.boot_unix_ms) : json::value()});
  }
  return all;
}

// Processes before 0011 say nothing of them.
std::vector<DepartedHost> read_departed(const json::object& o) {
  std::vector<DepartedHost> all;
  const auto* hosts = o.if_contains("departed");
  if (!hosts) return all;
  for (const auto& one : hosts->as_array()) {
    const auto& boot_ms = one.at(1);
    all.push_back(
        {one.at(0).to_number<HostId>(), boot_ms.is_null() ? std::nullopt : std::optional(number(boot_ms))});
  }
  return all;
}

// What is known of hosts and classes. Processes before 0004 say nothing of it.
void read_knowledge(const json::object& o, const std::vector<std::uint32_t>& classes, std::size_t our_classes,
                    HandoverSnapshot& state) {
  const auto* hosts = o.if_contains("hosts");
  if (!hosts) return;
  for (const auto& one : hosts->as_array()) state.hosts.push_back(read_host(one.as_array()));
  state.class_latency_ms.assign(our_classes, 0);
  const auto& took = o.at("class_ms").as_array();
  for (std::size_t i = 0; i < took.size(); ++i) {
    if (classes.at(i) < our_classes) state.class_latency_ms[classes[i]] = number(took[i]);
  }
  state.unloaded_latency_ms = number(o.at("calm_ms"));
}

}  // namespace

std::string encode_handover(const HandoverSnapshot& state, const HandoverNames& names,
                            std::span<const PlanSettings> plans) {
  std::vector<const CustomerSnapshot*> order;
  for (const auto& c : state.customers) order.push_back(&c);
  const auto rank = [&](const CustomerSnapshot* c) {
    return std::pair(c->plan_index < plans.size() && plans[c->plan_index].ceiling_rate > 0 ? 0 : 1,
                     c->idle_ms);
  };
  // Danger: one left out would be taken for new, and have a ceiling that is full. Told that the gateway is
  // young, the other starts the ceilings of those it does not know empty.
  const Ms age = order.size() > kMaxHandedCustomers ? 0 : state.age_ms;
  if (order.size() > kMaxHandedCustomers) {
    std::sort(order.begin(), order.end(), [&](auto* a, auto* b) { return rank(a) < rank(b); });
    order.resize(kMaxHandedCustomers);
  }
  json::array customers;
  for (const auto* c : order) customers.push_back(customer(*c));
  json::array hosts, took;
  for (std::size_t i = 0; i < std::min(state.hosts.size(), kMaxHandedCustomers); ++i) {
    hosts.push_back(host(state.hosts[i]));
  }
  for (const Ms ms : state.class_latency_ms) took.emplace_back(ms);
  return json::serialize(json::object{{"version", kVersion},
                                      {"age_ms", age},
                                      {"classes", words(names.classes)},
                                      {"plans", words(names.plans)},
                                      {"customers", std::move(customers)},
                                      {"hosts", std::move(hosts)},
                                      {"class_ms", std::move(took)},
                                      {"calm_ms", state.unloaded_latency_ms},
                                      {"departed", departed(state.departed_hosts)}});
}

HandoverSnapshot decode_handover(std::string_view text, const HandoverNames& names) {
  try {
    const auto value = json::parse(text);
    const auto& o = value.as_object();
    if (o.at("version").to_number<int>() != kVersion) throw HandoverError("a state of another version");
    HandoverSnapshot state;
    state.age_ms = number(o.at("age_ms"));
    const auto classes = translation(o.at("classes"), names.classes);
    const auto plans = translation(o.at("plans"), names.plans);
    for (const auto& one : o.at("customers").as_array()) {
      auto c = read_customer(one.as_array(), plans, classes, names.classes.size());
      if (c.plan_index < names.plans.size()) state.customers.push_back(std::move(c));
    }
    read_knowledge(o, classes, names.classes.size(), state);
    state.departed_hosts = read_departed(o);
    return state;
  } catch (const HandoverError&) {
    throw;
  } catch (const std::exception& error) {
    throw HandoverError(std::string("not a state: ") + error.what());
  }
}

}  // namespace cometfold::ops
