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
  return name == "depth"        ? LoadField::kQueueLength
         : name == "concurrent" ? LoadField::kInFlight
         : name == "load_share" ? LoadField::kUtilization
                                : LoadField::kOther;
}

AdmissionSettings read_settings(std::string_view text) {
  Pairs conf;
  while (!text.empty()) {
    const auto line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    const auto eq = line.find('=');
    if (eq != std::string_view::npos) conf[std::string(line.substr(0, eq))] = line.substr(eq + 1);
  }
  return read_settings(conf);
}

AdmissionSettings read_settings(const Pairs& conf) {
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

  AdmissionSettings s;
  s.classes.resize(index("lanes.count", kMostItems));
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const std::string at = "lanes." + std::to_string(i) + ".";
    auto& c = s.classes[i];
    c.latency_objective_ms = num(at + "slo_ms", c.latency_objective_ms);
    c.deadline_ms = num(at + "deadline_ms", c.deadline_ms);
    c.priority_weight = num(at + "worth", c.priority_weight);
    c.late_value_fraction = num(at + "late_share", c.late_value_fraction);
    c.idempotency_key_ttl_ms = num(at + "key_ttl_ms", c.idempotency_key_ttl_ms);
    const auto kind = word(at + "semantics");
    c.idempotency = kind == "safe"    ? Idempotency::kIdempotent
                    : kind == "keyed" ? Idempotency::kIdempotencyKey
                                      : Idempotency::kNonIdempotent;
    const auto group = word(at + "group");
    c.idempotency_scope = group == "all"    ? IdempotencyScope::kAll
                          : group == "zone" ? IdempotencyScope::kZone
                          : group == "cell" ? IdempotencyScope::kCell
                                            : IdempotencyScope::kNone;
  }
  s.plans.resize(index("packages.count", kMostItems));
  for (std::size_t i = 0; i < s.plans.size(); ++i) {
    const std::string at = "packages." + std::to_string(i) + ".";
    auto& p = s.plans[i];
    p.quota_rate = num(at + "quota_rate", p.quota_rate);
    p.quota_burst = num(at + "burst", p.quota_burst);
    p.plan_weight = num(at + "pays", p.plan_weight);
    p.over_quota_cost = num(at + "overrun_cost", p.over_quota_cost);
    p.over_quota_value = num(at + "beyond_earns", p.over_quota_value);
    p.ceiling_rate = num(at + "hard_rate", p.ceiling_rate);
    p.ceiling_burst = num(at + "hard_burst", p.ceiling_burst);
    p.ceiling_slack = num(at + "ceiling_slack", p.ceiling_slack);
    p.max_concurrent_attempts = num(at + "concurrency", p.max_concurrent_attempts);
  }
  s.gateway_count = num("siblings", s.gateway_count);
  s.local_zone = index("az", kMostItems);
  s.max_request_units = num("family_info.units_top", s.max_request_units);
  s.actual_units_reported = yes("family_info.trued_up");
  s.hedging_allowed = yes("ceilings.second_copies");
  s.cancellation_allowed = yes("ceilings.cancel");
  s.health_checks_allowed = yes("ceilings.may_probe");
  s.retry_after_allowed = yes("ceilings.retry_after");
  s.host_watch_required = word("discovery") == "subscribe";
  s.host_sizes_known = !word("weight_kind").empty() && word("weight_kind") != "off";
  s.max_attempts = num("ceilings.max_attempts", s.max_attempts);
  s.max_retry_after_ms = num("ceilings.max_retry_after_ms", s.max_retry_after_ms);
  s.min_event_interval_ms = num("granularity_ms", s.min_event_interval_ms);
  s.connection_idle_timeout_ms = num("ceilings.conn_idle_ms", s.connection_idle_timeout_ms);
  s.slow_start_initial_weight = num("rules.cold_from", s.slow_start_initial_weight);
  s.slow_start_duration_ms = num("rules.warm_after_ms", s.slow_start_duration_ms);
  s.overload_factor = num("rules.overload_factor", s.overload_factor);
  s.overload_window_ms = num("rules.fall_ms", s.overload_window_ms);
  auto fields = word("load_report.fields");
  while (!fields.empty()) {
    const auto field = fields.substr(0, fields.find(','));
    fields.remove_prefix(std::min(field.size() + 1, fields.size()));
    s.load_report_fields.push_back(load_field(field));
  }
  return s;
}

}  // namespace cometfold::wire
