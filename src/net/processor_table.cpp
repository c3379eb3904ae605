// The table [extproc] of the gateway's own settings: the external processor.
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include "net/settings_tables.h"

namespace cometfold::net {

namespace {

using toml_table::endpoint;
using toml_table::flag;
using toml_table::header_name;
using toml_table::list;
using toml_table::location_of;
using toml_table::nested;
using toml_table::number;
using toml_table::Rejection;
using toml_table::Table;
using toml_table::text;
using toml_table::ValueParser;

constexpr std::size_t kMaxMethodBytes = 32;
constexpr std::size_t kMaxPathBytes = 1024;
constexpr std::size_t kMaxRules = 1000;
constexpr double kMaxBufferBytes = 64 * 1024 * 1024;
constexpr double kMinUnits = 1e-6;
constexpr double kMaxUnits = 1e9;
constexpr Ms kMaxTimeoutMs = 3.6e6;

ValueParser proxy_retries(extproc::ProxyRetries& target) {
  return [&target](const toml::node& node) -> Rejection {
    constexpr std::pair<std::string_view, extproc::ProxyRetries> kWords[] = {
        {"never", extproc::ProxyRetries::kNever}, {"marked", extproc::ProxyRetries::kMarked}};
    const auto value = node.value<std::string>().value_or("");
    for (const auto& [word, retries] : kWords) {
      if (word != value) continue;
      target = retries;
      return {};
    }
    return "\"never\" (the proxy makes one call per request) or \"marked\" (it makes one call per attempt, "
           "with an attempt count)";
  };
}

ValueParser destination(extproc::DestinationFormat& target) {
  return [&target](const toml::node& node) -> Rejection {
    constexpr const char* kExpected =
        "a list of at least one of \"header\", \"metadata\" and \"original-dst\"";
    constexpr std::pair<std::string_view, bool extproc::DestinationFormat::*> kWords[] = {
        {"header", &extproc::DestinationFormat::header},
        {"metadata", &extproc::DestinationFormat::metadata},
        {"original-dst", &extproc::DestinationFormat::original_dst}};
    if (!node.is_array() || node.as_array()->empty()) return kExpected;
    extproc::DestinationFormat chosen{false, false, false};
    for (const auto& element : *node.as_array()) {
      const auto value = element.value<std::string>().value_or("");
      bool is_valid = false;
      for (const auto& [word, member] : kWords) {
        if (word != value) continue;
        chosen.*member = true;
        is_valid = true;
      }
      if (!is_valid) return kExpected;
    }
    target = chosen;
    return {};
  };
}

ValueParser method(std::string& target) {
  return [&target](const toml::node& node) -> Rejection {
    const auto value = node.value<std::string>().value_or("");
    if (value.empty() || value.size() > kMaxMethodBytes ||
        value.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != std::string::npos) {
      return "a method in capitals, such as \"GET\"";
    }
    target = value;
    return {};
  };
}

bool is_path_pattern(std::string_view value) {
  if (value.empty() || value.front() != '/' || value.size() > kMaxPathBytes) return false;
  const auto prefix = value.substr(0, value.size() - 1);  // only the last character may be *
  return prefix.find('*') == std::string_view::npos && value.find('?') == std::string_view::npos;
}

ValueParser path_pattern(std::string& target) {
  return [&target](const toml::node& node) -> Rejection {
    const auto value = node.value<std::string>();
    if (!value || !is_path_pattern(*value)) {
      return "a path that begins with / and has no query; only its last character may be *";
    }
    target = *value;
    return {};
  };
}

// Adds the attempt limits of a rule as an entry of their own, which names the rule's class and route.
void add_limits(const SettingsLocation& location, const extproc::RouteRule& rule, std::size_t rule_index,
                limits::LimitEntry limit, std::vector<limits::LimitEntry>& entries) {
  if (!limit.has_limits()) return;
  if (rule.class_name.empty()) {
    throw GatewaySettingsError(location, "extproc.rule", "a rule that limits attempts must name its class");
  }
  limit.class_name = rule.class_name;
  limit.route = (rule.method.empty() ? "" : rule.method + " ") + (rule.path.empty() ? "*" : rule.path);
  limit.rule_index = rule_index;
  limit.line = location.line;
  entries.push_back(std::move(limit));
}

extproc::RouteRule read_rule(const std::string& file, const toml::node& node, std::size_t rule_index,
                             std::vector<limits::LimitEntry>& entries) {
  extproc::RouteRule rule;
  double units = 0;
  limits::LimitEntry limit;
  Table table{{"method", method(rule.method)},
              {"path", path_pattern(rule.path)},
              {"class", text(rule.class_name, 1)},
              {"plan", text(rule.plan_name, 1)},
              {"units", number(units, kMinUnits, kMaxUnits, "a number above 0")}};
  table.merge(attempt_limits_table(limit));
  const auto location = location_of(file, node.source());
  if (const auto expected = nested(file, "[extproc.rule]", table, &rule.source)(node)) {
    throw GatewaySettingsError::invalid_value(location, "extproc.rule", *expected);
  }
  if (units > 0) rule.units = units;
  add_limits(location, rule, rule_index, std::move(limit), entries);
  return rule;
}

// [[extproc.rule]]
ValueParser rules(const std::string& file, std::vector<extproc::RouteRule>& target,
                  std::vector<limits::LimitEntry>& entries) {
  return [file, &target, &entries](const toml::node& node) -> Rejection {
    if (!node.is_array() || node.as_array()->size() > kMaxRules)
      return "at most 1000 tables: [[extproc.rule]]";
    std::vector<extproc::RouteRule> rules;
    for (const auto& element : *node.as_array()) {
      rules.push_back(read_rule(file, element, rules.size(), entries));
    }
    target = std::move(rules);
    return {};
  };
}

// [extproc.request]
Table request_table(extproc::HeaderMapping& mapping) {
  return {
      {"class_header", header_name(mapping.class_header)},
      {"plan_header", header_name(mapping.plan_header)},
      {"customer_header", header_name(mapping.customer_header)},
      {"units_header", header_name(mapping.units_header)},
      {"gateways_header", header_name(mapping.gateway_count_header)},
      {"key_header", header_name(mapping.key_header)},
      {"id_header", header_name(mapping.id_header)},
      {"attempt_header", header_name(mapping.attempt_header)},
      {"deadline_headers",
       list<std::string>(mapping.deadline_headers, header_name, "a list of lower-case header names")},
      {"default_class", text(mapping.default_class)},
      {"default_plan", text(mapping.default_plan)},
      {"default_customer", text(mapping.default_customer)},
      {"default_units", number(mapping.default_units, kMinUnits, kMaxUnits, "a number above 0")},
      {"default_gateways", number(mapping.default_gateway_count, 0, 1e6, "a number of at least 0 (0: all)")}};
}

ValueParser metric_names(std::vector<std::string>& target) {
  return list<std::string>(
      target, [](std::string& name) { return text(name, 1); },
      "a list of metric names, such as [\"named_metrics.queue\", \"cpu_utilization\"]");
}

// [extproc.load]
Table load_table(extproc::LoadReportMapping& load) {
  return {{"header", header_name(load.header)},
          {"queue", metric_names(load.queue_length)},
          {"in_flight", metric_names(load.in_flight)},
          {"busy", metric_names(load.utilization)}};
}

template <class Number>
ValueParser bytes(Number& target) {
  return number(target, 1024, kMaxBufferBytes, "a whole number of bytes from 1024 to 67108864");
}

template <class Number>
ValueParser timeout(Number& target) {
  return number(target, 1, kMaxTimeoutMs, "a number of milliseconds from 1 to 3600000");
}

// The keys of [extproc] that limit connections and calls.
Table grpc_table(GrpcLimits& grpc) {
  auto& calls = grpc.calls;
  auto& http2 = calls.http2;
  return {{"connections", number(grpc.max_connections, 1, 10'000, "a whole number from 1 to 10000")},
          {"streams", number(http2.max_concurrent_streams, 1, 100'000, "a whole number from 1 to 100000")},
          {"header_bytes", bytes(http2.max_header_bytes)},
          {"message_bytes", bytes(calls.max_message_bytes)},
          {"unread_bytes", bytes(calls.max_incomplete_bytes)},
          {"unsent_bytes", bytes(http2.max_unsent_bytes)},
          {"cheap_frames",
           number(http2.cheap_frames_per_second, 1, 1e6, "a number per second from 1 to 1000000")},
          {"cheap_frames_at_once", number(http2.cheap_frame_burst, 10, 1e6, "a number from 10 to 1000000")},
          {"first_message_ms", timeout(calls.first_message_timeout_ms)},
          {"silent_ms", timeout(grpc.silence_timeout_ms)},
          {"answer_ms", timeout(grpc.response_timeout_ms)}};
}

}  // namespace

Table processor_table(const std::string& file, GatewaySettings& settings) {
  auto& processor = settings.processor;
  auto& mapping = processor.mapping;
  Table table{
      {"listen", endpoint(settings.processor_address)},
      {"destination", destination(processor.destination)},
      {"repeats", proxy_retries(processor.proxy_retries)},
      {"repeat_wait_ms",
       number(processor.retry_wait_ms, 1, 60'000, "a number of milliseconds from 1 to 60000")},
      {"remembered", number(processor.max_remembered_decisions, 0, 1e6, "a whole number from 0 to 1000000")},
      {"margin_ms",
       number(processor.deadline_margin_ms, 0, 10'000, "a number of milliseconds from 0 to 10000")},
      {"mode_override", flag(processor.mode_override)},
      {"not_run",
       list<int>(
           processor.not_executed_statuses, [](int& status) { return number(status, 400, 599, "a status"); },
           "a list of statuses from 400 to 599")},
      {"request", nested(file, "extproc.request", request_table(mapping), &mapping.source)},
      {"rule", rules(file, mapping.rules, settings.limits.entries)},
      {"load", nested(file, "extproc.load", load_table(processor.load))},
  };
  table.merge(grpc_table(settings.grpc));
  return table;
}

}  // namespace cometfold::net
