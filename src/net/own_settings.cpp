#include "net/own_settings.h"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>

namespace cometfold::net {

namespace {

// Reads one value into its place: nothing, or what would be right.
using Take = std::function<std::string(const toml::node&)>;
using Known = std::map<std::string, Take>;

const std::string kTaken;

[[noreturn]] void complain(const std::string& path, const toml::source_region& at, const std::string& what) {
  throw OwnSettingsError(path + ":" + std::to_string(at.begin.line) + ": " + what);
}

// A number from `min` to `most`; `right` says so in words.
template <class Number>
Take number(Number& into, double least, double most, const char* right) {
  return [&into, least, most, right](const toml::node& node) -> std::string {
    const auto value = node.value<double>();
    const bool whole = !std::is_integral_v<Number> || node.is_integer();
    if (!node.is_number() || !whole || !value || !(*value >= least && *value <= most)) return right;
    into = static_cast<Number>(*value);
    return kTaken;
  };
}

Take flag(bool& into) {
  return [&into](const toml::node& node) -> std::string {
    if (!node.is_boolean()) return "true or false";
    into = *node.value<bool>();
    return kTaken;
  };
}

Take text(std::string& into, std::size_t least = 0) {
  return [&into, least](const toml::node& node) -> std::string {
    const auto value = node.value<std::string>();
    if (!node.is_string() || value->size() < least || value->size() > 256) {
      return least > 0 ? "a text of 1 to 256 bytes" : "a text of at most 256 bytes";
    }
    into = *value;
    return kTaken;
  };
}

// A header's name; empty: none. HTTP/2 has them in lower case.
Take header(std::string& into) {
  return [&into](const toml::node& node) -> std::string {
    const auto value = node.value<std::string>();
    const auto good = [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    if (!node.is_string() || value->size() > 63 || !std::all_of(value->begin(), value->end(), good)) {
      return "a header's name in lower case of at most 63 letters, digits and hyphens, or empty for none";
    }
    into = *value;
    return kTaken;
  };
}

// A list whose elements `one` reads into a fresh value each.
template <class Value>
Take list(std::vector<Value>& into, std::function<Take(Value&)> one, const char* right) {
  return [&into, one = std::move(one), right](const toml::node& node) -> std::string {
    if (!node.is_array() || node.as_array()->size() > 1024) return right;
    std::vector<Value> all;
    for (const auto& element : *node.as_array()) {
      Value value{};
      if (!one(value)(element).empty()) return right;
      all.push_back(std::move(value));
    }
    into = std::move(all);
    return kTaken;
  };
}

Take endpoint(std::optional<boost::asio::ip::tcp::endpoint>& into) {
  return [&into](const toml::node& node) -> std::string {
    const char* right = "an IP address and a port, such as \"127.0.0.1:9002\"";
    const auto value = node.value<std::string>();
    if (!node.is_string()) return right;
    const auto colon = value->rfind(':');
    if (colon == std::string::npos || colon + 1 == value->size() || value->size() - colon > 6) return right;
    const auto port_text = value->substr(colon + 1);
    if (port_text.find_first_not_of("0123456789") != std::string::npos) return right;
    const int port = std::stoi(port_text);
    auto ip_text = value->substr(0, colon);
    if (ip_text.size() > 2 && ip_text.front() == '[' && ip_text.back() == ']') {
      ip_text = ip_text.substr(1, ip_text.size() - 2);
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(ip_text, error);
    if (error || port > 65535) return right;
    into.emplace(ip, static_cast<std::uint16_t>(port));
    return kTaken;
  };
}

Take repeats(extproc::ProxyRetries& into) {
  return [&into](const toml::node& node) -> std::string {
    const auto value = node.value<std::string>().value_or("");
    if (value != "never" && value != "marked") {
      return "\"never\" (the proxy calls once for a request) or \"marked\" (it calls for each try, with an "
             "attempt count)";
    }
    into = value == "never" ? extproc::ProxyRetries::kNever : extproc::ProxyRetries::kMarked;
    return kTaken;
  };
}

Take destination(extproc::DestinationFormat& into) {
  return [&into](const toml::node& node) -> std::string {
    const char* right = "a list of at least one of \"header\", \"metadata\" and \"original-dst\"";
    if (!node.is_array() || node.as_array()->empty()) return right;
    extproc::DestinationFormat chosen{false, false, false};
    for (const auto& element : *node.as_array()) {
      const auto way = element.value<std::string>().value_or("");
      if (way != "header" && way != "metadata" && way != "original-dst") return right;
      chosen.header = chosen.header || way == "header";
      chosen.metadata = chosen.metadata || way == "metadata";
      chosen.original_dst = chosen.original_dst || way == "original-dst";
    }
    into = chosen;
    return kTaken;
  };
}

std::string names_of(const Known& known) {
  std::string all;
  for (const auto& [name, value] : known) all += (all.empty() ? "" : ", ") + name;
  return all;
}

// `table` is empty for the file itself.
void read_table(const std::string& path, const std::string& table, const toml::table& values,
                const Known& known) {
  for (const auto& [key, node] : values) {
    const std::string name(key.str());
    const auto it = known.find(name);
    if (it == known.end()) {
      complain(path, key.source(),
               table.empty() ? "no table '" + name + "'; there are " + names_of(known)
                             : "[" + table + "] has no '" + name + "'; it has " + names_of(known));
    }
    if (const auto right = it->second(node); !right.empty()) {
      complain(path, node.source(),
               (table.empty() ? "'" : table + ".") + name + (table.empty() ? "'" : "") + " must be " + right);
    }
  }
}

// A table inside one; `sequence`, if given, takes its file and line.
Take inner(const std::string& path, const std::string& name, Known known, std::string* place = nullptr) {
  return [path, name, known = std::move(known), place](const toml::node& node) -> std::string {
    if (!node.is_table()) return "a table: [" + name + "]";
    if (place) *place = path + ":" + std::to_string(node.source().begin.line);
    read_table(path, name, *node.as_table(), known);
    return kTaken;
  };
}

Take method(std::string& into) {
  return [&into](const toml::node& node) -> std::string {
    const auto value = node.value<std::string>().value_or("");
    if (value.empty() || value.size() > 32 ||
        value.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != std::string::npos) {
      return "a method in capitals, such as \"GET\"";
    }
    into = value;
    return kTaken;
  };
}

Take path_pattern(std::string& into) {
  return [&into](const toml::node& node) -> std::string {
    const auto value = node.value<std::string>().value_or("");
    const auto star = value.find('*');
    if (value.empty() || value.front() != '/' || value.size() > 1024 ||
        value.find('?') != std::string::npos || (star != std::string::npos && star + 1 != value.size())) {
      return "a path that begins with / and has no query; a * may stand at its end";
    }
    into = value;
    return kTaken;
  };
}

// A number of any size, with its line: what is lawful is for the proof to say.
template <class Value>
Take said(std::optional<limits::SourceValue<Value>>& into) {
  return [&into](const toml::node& node) -> std::string {
    constexpr bool kFlag = std::is_same_v<Value, bool>;
    if (kFlag ? !node.is_boolean() : !node.is_number()) return kFlag ? "true or false" : "a number";
    into = {*node.value<Value>(), static_cast<int>(node.source().begin.line)};
    return kTaken;
  };
}

Known attempt_limits(limits::LimitEntry& e) {
  return {{"attempts", said(e.max_attempts)},
          {"attempt_ms", said(e.attempt_timeout_ms)},
          {"send_until_ms", said(e.retry_window_ms)},
          {"second_copies", said(e.hedging_allowed)}};
}

// [limits.class.NAME], one for each class that has limits of its own.
Take classes(const std::string& path, std::vector<limits::LimitEntry>& into) {
  return [path, &into](const toml::node& node) -> std::string {
    const char* right = "at most 1024 tables: [limits.class.NAME]";
    if (!node.is_table() || node.as_table()->size() > 1024) return right;
    for (const auto& [key, value] : *node.as_table()) {
      limits::LimitEntry e;
      e.class_name = key.str();
      e.line = static_cast<int>(key.source().begin.line);
      const std::string name = "limits.class." + e.class_name;
      if (!inner(path, name, attempt_limits(e))(value).empty()) return right;
      into.push_back(std::move(e));
    }
    return kTaken;
  };
}

Known limit_settings(const std::string& path, limits::LimitsFile& w) {
  return {
      {"network_ms",
       [&w](const toml::node& node) -> std::string {
         const char* right = "two numbers of milliseconds: the shortest and the longest way to a host";
         if (!node.is_array() || node.as_array()->size() != 2) return right;
         const auto& ends = *node.as_array();
         if (!ends[0].is_number() || !ends[1].is_number()) return right;
         w.network_delay = {*ends[0].value<double>(), *ends[1].value<double>()};
         w.network_delay_line = static_cast<int>(node.source().begin.line);
         return kTaken;
       }},
      {"clock_error_ms", number(w.clock_error_ms, 0, 3.6e6, "a number of milliseconds from 0 to 3600000")},
      {"class", classes(path, w.entries)}};
}

Take rules(const std::string& path, std::vector<extproc::RouteRule>& into,
           std::vector<limits::LimitEntry>& limited) {
  return [&path, &into, &limited](const toml::node& node) -> std::string {
    if (!node.is_array() || node.as_array()->size() > 1000) return "at most 1000 tables: [[extproc.rule]]";
    std::vector<extproc::RouteRule> all;
    for (const auto& element : *node.as_array()) {
      extproc::RouteRule rule;
      double units = 0;
      limits::LimitEntry limit;
      Known known{{"method", method(rule.method)},
                  {"path", path_pattern(rule.path)},
                  {"class", text(rule.class_name, 1)},
                  {"plan", text(rule.plan_name, 1)},
                  {"units", number(units, 1e-6, 1e9, "a number above 0")}};
      known.merge(attempt_limits(limit));
      if (const auto right = inner(path, "[extproc.rule]", known, &rule.source)(element); !right.empty()) {
        complain(path, element.source(), "extproc.rule must be " + right);
      }
      if (units > 0) rule.units = units;
      if (limit.has_limits()) {
        if (rule.class_name.empty())
          complain(path, element.source(), "a rule that limits attempts must name its class");
        limit.class_name = rule.class_name;
        limit.route = (rule.method.empty() ? "" : rule.method + " ") + (rule.path.empty() ? "*" : rule.path);
        limit.rule_index = all.size();
        limit.line = static_cast<int>(element.source().begin.line);
        limited.push_back(std::move(limit));
      }
      all.push_back(std::move(rule));
    }
    into = std::move(all);
    return kTaken;
  };
}

Known processor_settings(const std::string& path, OwnSettings& s) {
  auto& p = s.processor;
  auto& m = p.mapping;
  auto& http2 = s.grpc.calls.http2;
  const auto headers = [](std::vector<std::string>& into) {
    return list<std::string>(into, header, "a list of headers' names in lower case");
  };
  const auto figures = [](std::vector<std::string>& into) {
    return list<std::string>(
        into, [](std::string& one) { return text(one, 1); },
        "a list of figures' names, such as [\"named_metrics.queue\", \"cpu_utilization\"]");
  };
  const Known request{
      {"class_header", header(m.class_header)},
      {"plan_header", header(m.plan_header)},
      {"customer_header", header(m.customer_header)},
      {"units_header", header(m.units_header)},
      {"gateways_header", header(m.gateway_count_header)},
      {"key_header", header(m.key_header)},
      {"id_header", header(m.id_header)},
      {"attempt_header", header(m.attempt_header)},
      {"deadline_headers", headers(m.deadline_headers)},
      {"default_class", text(m.default_class)},
      {"default_plan", text(m.default_plan)},
      {"default_customer", text(m.default_customer)},
      {"default_units", number(m.default_units, 1e-6, 1e9, "a number above 0")},
      {"default_gateways", number(m.default_gateway_count, 0, 1e6, "a number from 0 (all) upward")}};
  const Known load{{"header", header(p.load.header)},
                   {"queue", figures(p.load.queue_length)},
                   {"in_flight", figures(p.load.in_flight)},
                   {"busy", figures(p.load.utilization)}};
  const char* bytes = "a whole number of bytes from 1024 to 67108864";
  const char* ms = "a number of milliseconds from 1 to 3600000";
  return {
      {"listen", endpoint(s.processor_at)},
      {"destination", destination(p.destination)},
      {"repeats", repeats(p.proxy_retries)},
      {"repeat_wait_ms", number(p.retry_wait_ms, 1, 60'000, "a number of milliseconds from 1 to 60000")},
      {"remembered", number(p.max_remembered_decisions, 0, 1e6, "a whole number from 0 to 1000000")},
      {"margin_ms", number(p.deadline_margin_ms, 0, 10'000, "a number of milliseconds from 0 to 10000")},
      {"mode_override", flag(p.mode_override)},
      {"not_run", list<int>(
                      p.not_executed_statuses, [](int& one) { return number(one, 400, 599, "a status"); },
                      "a list of statuses from 400 to 599")},
      {"connections", number(s.grpc.connections, 1, 10'000, "a whole number from 1 to 10000")},
      {"streams", number(http2.streams, 1, 100'000, "a whole number from 1 to 100000")},
      {"header_bytes", number(http2.header_bytes, 1024, 67'108'864, bytes)},
      {"message_bytes", number(s.grpc.calls.message_bytes, 1024, 67'108'864, bytes)},
      {"unread_bytes", number(s.grpc.calls.unread_bytes, 1024, 67'108'864, bytes)},
      {"unsent_bytes", number(http2.unsent, 1024, 67'108'864, bytes)},
      {"cheap_frames", number(http2.cheap_rate, 1, 1e6, "a number a second from 1 to 1000000")},
      {"cheap_frames_at_once", number(http2.cheap_burst, 10, 1e6, "a number from 10 to 1000000")},
      {"first_message_ms", number(s.grpc.calls.first_message, 1, 3.6e6, ms)},
      {"silent_ms", number(s.grpc.silent_ms, 1, 3.6e6, ms)},
      {"answer_ms", number(s.grpc.answer_ms, 1, 3.6e6, ms)},
      {"request", inner(path, "extproc.request", request, &m.source)},
      {"rule", rules(path, m.rules, s.limits.entries)},
      {"load", inner(path, "extproc.load", load)},
  };
}

Take datagram_endpoint(std::optional<boost::asio::ip::udp::endpoint>& into) {
  return [&into](const toml::node& node) -> std::string {
    std::optional<boost::asio::ip::tcp::endpoint> at;
    const std::string right = endpoint(at)(node);
    if (right.empty()) into.emplace(at->address(), at->port());
    return right;
  };
}

Take peer_address(std::string& into) {
  return [&into](const toml::node& node) -> std::string {
    std::optional<boost::asio::ip::tcp::endpoint> at;
    if (!endpoint(at)(node).empty() || at->port() == 0 || at->address().is_unspecified()) return "an address";
    into = *node.value<std::string>();
    return kTaken;
  };
}

Known peer_settings(PeerSettings& p) {
  auto& m = p.membership;
  const char* period = "a number of milliseconds from 20 to 10000";
  const char* watchers = "a whole number from 1 to 16";
  return {
      {"listen", datagram_endpoint(p.listen)},
      {"advertise", datagram_endpoint(p.advertise)},
      {"seeds",
       list<std::string>(p.seeds, peer_address,
                         "a list of at most 1024 addresses and ports, such as [\"127.0.0.1:7946\"]")},
      {"cluster",
       [&p](const toml::node& node) -> std::string {
         const auto name = node.value<std::string>().value_or("");
         if (!node.is_string() || name.empty() || name.size() > 32) return "a text of 1 to 32 bytes";
         p.cluster = name;
         return kTaken;
       }},
      {"period_ms", number(m.ping_interval_ms, 20, 10'000, period)},
      {"watchers", number(m.observers_per_member, 1, 16, watchers)},
      {"quorum", number(m.suspicion_quorum, 1, 16, watchers)},
      {"settle_ms", number(m.quorum_hold_ms, 0, 60'000, "a number of milliseconds from 0 to 60000")},
      {"patience_ms",
       number(m.unreachable_timeout_ms, 1000, 3.6e6, "a number of milliseconds from 1000 to 3600000")},
      {"forget_ms",
       number(m.tombstone_retention_ms, 10'000, 8.64e7, "a number of milliseconds from 10000 to 86400000")},
      {"members", number(m.max_members, 2, 100'000, "a whole number from 2 to 100000")},
      {"datagrams", number(m.max_datagrams_per_second, 10, 100'000, "a number a second from 10 to 100000")}};
}

// What must go together, once all is read.
void check(const std::string& path, int line, const PeerSettings& p) {
  const auto bad = [&](const std::string& what) {
    throw OwnSettingsError(path + ":" + std::to_string(line) + ": [peers]: " + what);
  };
  if (!p.listen) return;
  const auto& shown = p.advertise ? *p.advertise : *p.listen;
  if (shown.address().is_unspecified() || shown.port() == 0) {
    bad("'advertise' must say at which address and port others reach this gateway, as 'listen' does not");
  }
  if (p.membership.suspicion_quorum > p.membership.observers_per_member)
    bad("'quorum' must be at most 'watchers'");
  if (p.membership.unreachable_timeout_ms < 4 * p.membership.ping_interval_ms)
    bad("'patience_ms' must be at least four times 'period_ms'");
  if (p.membership.tombstone_retention_ms < 2 * p.membership.unreachable_timeout_ms)
    bad("'forget_ms' must be at least twice 'patience_ms'");
}

}  // namespace

OwnSettings read_own_settings(const std::string& path) {
  OwnSettings s;
  s.processor.mapping.source = s.limits.file = path;
  const Known hosts{
      {"rest_ms", number(s.rest_ms, 0, 10'000, "a number of milliseconds from 0 to 10000")},
      {"idle_per_host", number(s.idle_per_host, 0, 65'536, "a whole number from 0 to 65536")},
      {"per_host", number(s.per_host, 1, 65'536, "a whole number from 1 to 65536")},
      {"descriptors_share", number(s.descriptors_share, 0.05, 0.9, "a number from 0.05 to 0.9")}};
  toml::table file;
  try {
    file = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    complain(path, error.source(), "not TOML: " + std::string(error.description()));
  }
  read_table(path, "", file,
             {{"hosts", inner(path, "hosts", hosts)},
              {"log", inner(path, "log", {{"decisions", flag(s.decisions)}, {"requests", flag(s.requests)}})},
              {"limits", inner(path, "limits", limit_settings(path, s.limits))},
              {"peers", inner(path, "peers", peer_settings(s.peers))},
              {"extproc", inner(path, "extproc", processor_settings(path, s))}});
  if (const auto* peers = file.get("peers"))
    check(path, static_cast<int>(peers->source().begin.line), s.peers);
  return s;
}

}  // namespace cometfold::net
