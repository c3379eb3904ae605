#include "extproc/host_load.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <functional>
#include <optional>

#include "external_processor.pb.h"

namespace cometfold::extproc {

namespace {

namespace pb = envoy::service::ext_proc::v3;

constexpr double kMaxMetricValue = 1e5;  // larger values are ignored; no host has so many requests
constexpr std::size_t kMaxReportBytes = 8192;

// Looks up a metric of a report by its name; returns nothing if the report lacks it.
using MetricLookup = std::function<std::optional<double>(std::string_view name)>;

std::optional<double> value_in_range(double value) {
  if (!(value >= 0 && value <= kMaxMetricValue)) return {};
  return value;
}

std::optional<double> first_metric(const std::vector<std::string>& names, const MetricLookup& metric) {
  for (const auto& name : names) {
    if (const auto value = metric(name)) return value_in_range(*value);
  }
  return {};
}

LoadReport build_report(const LoadReportMapping& mapping, const MetricLookup& metric) {
  LoadReport load;
  load.queue_length = first_metric(mapping.queue_length, metric);
  load.in_flight = first_metric(mapping.in_flight, metric);
  load.utilization = first_metric(mapping.utilization, metric);
  return load;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// The value of `name` in a list of `name=value` pairs.
std::optional<double> find_in_list(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    const auto pair = trimmed(list.substr(0, comma));
    list.remove_prefix(std::min(comma + 1, list.size()));
    const auto equals = pair.find('=');
    if (equals == pair.npos || trimmed(pair.substr(0, equals)) != name) continue;
    const auto value = trimmed(pair.substr(equals + 1));
    double number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error == std::errc{} && end == value.data() + value.size()) return number;
  }
  return {};
}

std::optional<double> find_in_json(const boost::json::object& report, std::string_view name) {
  const auto number = [](const boost::json::value* value) -> std::optional<double> {
    boost::system::error_code error;
    if (!value || !value->is_number()) return {};
    return value->to_number<double>(error);
  };
  const auto dot = name.find('.');
  if (dot == name.npos) return number(report.if_contains(name));
  const auto* inner = report.if_contains(name.substr(0, dot));
  if (!inner || !inner->is_object()) return {};
  return number(inner->get_object().if_contains(name.substr(dot + 1)));
}

// proto3 does not encode zeros: a scalar field that is absent is 0.
std::optional<double> find_in_message(const pb::OrcaLoadReport& report, std::string_view name) {
  if (name == "cpu_utilization") return report.cpu_utilization();
  if (name == "application_utilization") {
    if (report.application_utilization() == 0) return {};  // not set: cpu_utilization is used
    return report.application_utilization();
  }
  if (name == "mem_utilization") return report.mem_utilization();
  if (name == "rps_fractional") return report.rps_fractional();
  if (name == "eps") return report.eps();
  const auto dot = name.find('.');
  if (dot == name.npos) return {};
  const auto map = name.substr(0, dot);
  const auto& metrics = map == "named_metrics" ? report.named_metrics()
                        : map == "utilization" ? report.utilization()
                                               : report.request_cost();
  const auto it = metrics.find(std::string(name.substr(dot + 1)));
  if (it == metrics.end()) return {};
  return it->second;
}

// Returns the value of a base64 or base64url digit; negative if the character is none.
int base64_digit(char c) {
  if (c >= 'A' && c <= 'Z') return c - 'A';
  if (c >= 'a' && c <= 'z') return c - 'a' + 26;
  if (c >= '0' && c <= '9') return c - '0' + 52;
  if (c == '+' || c == '-') return 62;
  if (c == '/' || c == '_') return 63;
  return -1;
}

std::optional<std::string> decode_base64(std::string_view text) {
  std::string out;
  std::uint32_t bits = 0;
  int bit_count = 0;
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  for (const char c : text) {
    const int digit = base64_digit(c);
    if (digit < 0) return {};
    bits = bits << 6 | static_cast<std::uint32_t>(digit);
    bit_count += 6;
    if (bit_count < 8) continue;
    bit_count -= 8;
    out += static_cast<char>(bits >> bit_count & 0xff);
  }
  return out;
}

}  // namespace

LoadReport parse_orca_report(const LoadReportMapping& mapping, std::string_view value) {
  if (value.size() > kMaxReportBytes) return {};
  const auto space = value.find(' ');
  if (space == value.npos) return {};
  const auto form = value.substr(0, space);
  const auto rest = trimmed(value.substr(space));
  if (form == "TEXT") {
    return build_report(mapping, [&](std::string_view name) { return find_in_list(rest, name); });
  }
  if (form == "BIN") return parse_orca_binary_report(mapping, rest);
  if (form != "JSON") return {};
  boost::system::error_code error;
  const auto json = boost::json::parse(rest, error);
  if (error || !json.is_object()) return {};
  return build_report(mapping, [&](std::string_view name) { return find_in_json(json.get_object(), name); });
}

LoadReport parse_orca_binary_report(const LoadReportMapping& mapping, std::string_view base64) {
  if (base64.size() > kMaxReportBytes) return {};
  const auto bytes = decode_base64(trimmed(base64));
  pb::OrcaLoadReport report;
  if (!bytes || !report.ParseFromString(*bytes)) return {};
  return build_report(mapping, [&](std::string_view name) { return find_in_message(report, name); });
}

LoadReport parse_plain_report(std::string_view value) {
  if (value.size() > kMaxReportBytes) return {};
  LoadReport load;
  const auto metric = [&](std::string_view name) {
    const auto number = find_in_list(value, name);
    return number ? value_in_range(*number) : std::nullopt;
  };
  load.queue_length = metric("queue");
  load.in_flight = metric("in_flight");
  load.utilization = metric("busy");
  return load;
}

}  // namespace cometfold::extproc
