#include "adapter/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <iterator>

namespace cometfold::wire {
namespace {

constexpr double kMaxIndex = 65536;  // classes, plans and zones have 16 bits on the wire

// Names in the platform's settings and the module's values or members that they stand for. Numbers are read
// in this order.
template <class Value>
struct NamedValue {
  std::string_view name;
  Value value;
};

constexpr NamedValue<Idempotency> kIdempotencyNames[] = {
    {"safe", Idempotency::kIdempotent},
    {"keyed", Idempotency::kIdempotencyKey},
};
constexpr NamedValue<IdempotencyScope> kScopeNames[] = {
    {"all", IdempotencyScope::kAll},
    {"zone", IdempotencyScope::kZone},
    {"cell", IdempotencyScope::kCell},
};
constexpr NamedValue<LoadField> kLoadFieldNames[] = {
    {"depth", LoadField::kQueueLength},
    {"concurrent", LoadField::kInFlight},
    {"load_share", LoadField::kUtilization},
};
constexpr NamedValue<double ClassSettings::*> kClassNumbers[] = {
    {"slo_ms", &ClassSettings::latency_objective_ms},
    {"deadline_ms", &ClassSettings::deadline_ms},
    {"worth", &ClassSettings::priority_weight},
    {"late_share", &ClassSettings::late_value_fraction},
    {"key_ttl_ms", &ClassSettings::idempotency_key_ttl_ms},
};
constexpr NamedValue<double PlanSettings::*> kPlanNumbers[] = {
    {"quota_rate", &PlanSettings::quota_rate},
    {"burst", &PlanSettings::quota_burst},
    {"pays", &PlanSettings::plan_weight},
    {"overrun_cost", &PlanSettings::over_quota_cost},
    {"beyond_earns", &PlanSettings::over_quota_value},
    {"hard_rate", &PlanSettings::ceiling_rate},
    {"hard_burst", &PlanSettings::ceiling_burst},
    {"ceiling_slack", &PlanSettings::ceiling_slack},
    {"concurrency", &PlanSettings::max_concurrent_attempts},
};
constexpr std::string_view kGatewayCountKey = "siblings";
constexpr std::string_view kLocalZoneKey = "az";
constexpr NamedValue<double AdmissionSettings::*> kNumbers[] = {
    {"family_info.units_top", &AdmissionSettings::max_request_units},
    {"ceilings.max_attempts", &AdmissionSettings::max_attempts},
    {"ceilings.max_retry_after_ms", &AdmissionSettings::max_retry_after_ms},
    {"granularity_ms", &AdmissionSettings::min_event_interval_ms},
    {"ceilings.conn_idle_ms", &AdmissionSettings::connection_idle_timeout_ms},
    {"rules.cold_from", &AdmissionSettings::slow_start_initial_weight},
    {"rules.warm_after_ms", &AdmissionSettings::slow_start_duration_ms},
    {"rules.overload_factor", &AdmissionSettings::overload_factor},
    {"rules.fall_ms", &AdmissionSettings::overload_window_ms},
};
constexpr NamedValue<bool AdmissionSettings::*> kFlags[] = {
    {"family_info.trued_up", &AdmissionSettings::actual_units_reported},
    {"ceilings.second_copies", &AdmissionSettings::hedging_allowed},
    {"ceilings.cancel", &AdmissionSettings::cancellation_allowed},
    {"ceilings.may_probe", &AdmissionSettings::health_checks_allowed},
    {"ceilings.retry_after", &AdmissionSettings::retry_after_allowed},
};

template <class Value, std::size_t kCount>
Value value_of(const NamedValue<Value> (&names)[kCount], std::string_view name, Value fallback) {
  const auto* found =
      std::find_if(std::begin(names), std::end(names), [&](const auto& entry) { return entry.name == name; });
  return found == std::end(names) ? fallback : found->value;
}

double parse_number(const std::string& key, const std::string& text) {
  double number = 0;
  const char* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, number);
  if (error != std::errc{} || end != text_end || !std::isfinite(number)) {
    throw WireError("settings", key + " is not a number: '" + text + "'",
                    "set " + key + " to a finite number");
  }
  return number;
}

class SettingsReader {
 public:
  explicit SettingsReader(const Pairs& values) : values_(values) {}

  std::string_view text(std::string_view key) const {
    const auto it = values_.find(key);
    return it == values_.end() ? std::string_view{} : std::string_view(it->second);
  }
  bool flag(std::string_view key) const { return text(key) == "true"; }
  double number(std::string_view key, double fallback) const {
    const auto it = values_.find(key);
    return it == values_.end() ? fallback : parse_number(it->first, it->second);
  }
  std::uint32_t index(std::string_view key) const {
    const double value = number(key, 0);
    if (value < 0 || value > kMaxIndex) {
      throw WireError("settings", std::string(key) + " is out of range",
                      "set it to a number from 0 to 65536");
    }
    return static_cast<std::uint32_t>(value);
  }
  // Reads the numbers of one object, whose keys start with `prefix`.
  template <class Settings, std::size_t kCount>
  void read_numbers(const NamedValue<double Settings::*> (&names)[kCount], const std::string& prefix,
                    Settings& settings) const {
    for (const auto& [name, member] : names) {
      settings.*member = number(prefix + std::string(name), settings.*member);
    }
  }

 private:
  const Pairs& values_;
};

ClassSettings read_class(const SettingsReader& reader, const std::string& prefix) {
  ClassSettings class_settings;
  reader.read_numbers(kClassNumbers, prefix, class_settings);
  class_settings.idempotency =
      value_of(kIdempotencyNames, reader.text(prefix + "semantics"), Idempotency::kNonIdempotent);
  class_settings.idempotency_scope =
      value_of(kScopeNames, reader.text(prefix + "group"), IdempotencyScope::kNone);
  return class_settings;
}

std::vector<LoadField> read_load_fields(std::string_view names) {
  std::vector<LoadField> fields;
  while (!names.empty()) {
    const auto name = names.substr(0, names.find(','));
    names.remove_prefix(std::min(name.size() + 1, names.size()));
    fields.push_back(load_field(name));
  }
  return fields;
}

}  // namespace

LoadField load_field(std::string_view name) { return value_of(kLoadFieldNames, name, LoadField::kOther); }

AdmissionSettings read_settings(std::string_view text) {
  Pairs values;
  while (!text.empty()) {
    const auto line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    const auto separator = line.find('=');
    if (separator == std::string_view::npos) continue;
    values[std::string(line.substr(0, separator))] = line.substr(separator + 1);
  }
  return read_settings(values);
}

AdmissionSettings read_settings(const Pairs& values) {
  const SettingsReader reader(values);
  AdmissionSettings settings;
  settings.classes.resize(reader.index("lanes.count"));
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    settings.classes[i] = read_class(reader, "lanes." + std::to_string(i) + ".");
  }
  settings.plans.resize(reader.index("packages.count"));
  for (std::size_t i = 0; i < settings.plans.size(); ++i) {
    reader.read_numbers(kPlanNumbers, "packages." + std::to_string(i) + ".", settings.plans[i]);
  }
  settings.gateway_count = reader.number(kGatewayCountKey, settings.gateway_count);
  settings.local_zone = reader.index(kLocalZoneKey);
  reader.read_numbers(kNumbers, "", settings);
  for (const auto& [name, member] : kFlags) settings.*member = reader.flag(name);
  settings.host_watch_required = reader.text("discovery") == "subscribe";
  const auto size_kind = reader.text("weight_kind");
  settings.host_sizes_known = !size_kind.empty() && size_kind != "off";
  settings.load_report_fields = read_load_fields(reader.text("load_report.fields"));
  return settings;
}

}  // namespace cometfold::wire
