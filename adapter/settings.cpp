#include "adapter/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace cometfold::wire {
namespace {

double number(std::string_view key, std::string_view value) {
  double v = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), v);
  if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(v)) {
    throw WireError("settings: " + std::string(key) + " is not a number: '" + std::string(value) + "'");
  }
  return v;
}

}  // namespace

LoadField load_field(std::string_view name) {
  return name == "depth"        ? LoadField::kQueue
         : name == "concurrent" ? LoadField::kInHand
         : name == "load_share" ? LoadField::kBusy
                                : LoadField::kOther;
}

Settings read_settings(std::string_view text) {
  Pairs conf;
  while (!text.empty()) {
    const auto line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    const auto eq = line.find('=');
    if (eq != std::string_view::npos) conf[std::string(line.substr(0, eq))] = line.substr(eq + 1);
  }
  return read_settings(conf);
}

Settings read_settings(const Pairs& conf) {
  const auto num = [&](const std::string& key, double otherwise) {
    const auto it = conf.find(key);
    return it == conf.end() ? otherwise : number(it->first, it->second);
  };
  const auto index = [&](const std::string& key, double most) {
    const double v = num(key, 0);
    if (v < 0 || v > most) throw WireError("settings: " + key + " is out of range");
    return static_cast<std::uint32_t>(v);
  };
  const auto word = [&](const std::string& key) {
    const auto it = conf.find(key);
    return it == conf.end() ? std::string_view{} : std::string_view(it->second);
  };
  const auto yes = [&](const std::string& key) { return word(key) == "true"; };
  constexpr double kMostItems = 65536;  // a class or plan is a u16 or less on the wire

  Settings s;
  s.classes.resize(index("lanes.count", kMostItems));
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const std::string at = "lanes." + std::to_string(i) + ".";
    auto& c = s.classes[i];
    c.aim_ms = num(at + "slo_ms", c.aim_ms);
    c.deadline_ms = num(at + "deadline_ms", c.deadline_ms);
    c.worth = num(at + "worth", c.worth);
    c.late_share = num(at + "late_share", c.late_share);
    c.key_ttl_ms = num(at + "key_ttl_ms", c.key_ttl_ms);
    const auto kind = word(at + "semantics");
    c.repeat = kind == "safe" ? Repeat::kSafe : kind == "keyed" ? Repeat::kKeyed : Repeat::kUnsafe;
    const auto group = word(at + "group");
    c.group = group == "all"    ? KeyGroup::kAll
              : group == "zone" ? KeyGroup::kZone
              : group == "cell" ? KeyGroup::kCell
                                : KeyGroup::kNone;
  }
  s.plans.resize(index("packages.count", kMostItems));
  for (std::size_t i = 0; i < s.plans.size(); ++i) {
    const std::string at = "packages." + std::to_string(i) + ".";
    auto& p = s.plans[i];
    p.quota_rate = num(at + "quota_rate", p.quota_rate);
    p.burst = num(at + "burst", p.burst);
    p.pays = num(at + "pays", p.pays);
    p.overrun_cost = num(at + "overrun_cost", p.overrun_cost);
    p.beyond_earns = num(at + "beyond_earns", p.beyond_earns);
    p.ceiling_rate = num(at + "hard_rate", p.ceiling_rate);
    p.ceiling_burst = num(at + "hard_burst", p.ceiling_burst);
    p.ceiling_slack = num(at + "ceiling_slack", p.ceiling_slack);
    p.open_limit = num(at + "concurrency", p.open_limit);
  }
  s.gateways = num("siblings", s.gateways);
  s.my_zone = index("az", kMostItems);
  s.largest_units = num("family_info.units_top", s.largest_units);
  s.units_settle = yes("family_info.trued_up");
  s.second_copies = yes("ceilings.second_copies");
  s.may_cancel = yes("ceilings.cancel");
  s.may_probe = yes("ceilings.may_probe");
  s.retry_after = yes("ceilings.retry_after");
  s.must_subscribe = word("discovery") == "subscribe";
  s.sizes_known = !word("weight_kind").empty() && word("weight_kind") != "off";
  s.max_attempts = num("ceilings.max_attempts", s.max_attempts);
  s.max_retry_after_ms = num("ceilings.max_retry_after_ms", s.max_retry_after_ms);
  s.tick_ms = num("granularity_ms", s.tick_ms);
  s.conn_idle_ms = num("ceilings.conn_idle_ms", s.conn_idle_ms);
  s.cold_from = num("rules.cold_from", s.cold_from);
  s.warm_after_ms = num("rules.warm_after_ms", s.warm_after_ms);
  s.overload_factor = num("rules.overload_factor", s.overload_factor);
  s.fall_ms = num("rules.fall_ms", s.fall_ms);
  auto fields = word("load_report.fields");
  while (!fields.empty()) {
    const auto field = fields.substr(0, fields.find(','));
    fields.remove_prefix(std::min(field.size() + 1, fields.size()));
    s.report_fields.push_back(load_field(field));
  }
  return s;
}

}  // namespace cometfold::wire
