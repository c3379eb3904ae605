#include "net/gateway_settings.h"

#include <utility>

#include "net/settings_tables.h"
#include "net/toml_table.h"

namespace cometfold::net {

using toml_table::flag;
using toml_table::nested;
using toml_table::number;
using toml_table::Table;

namespace {

// A member becomes unreachable only after several pings, and is forgotten only after it has failed.
constexpr double kMinPingsBeforeUnreachable = 4;
constexpr double kMinRetentionPerUnreachableTimeout = 2;

// Conditions that involve several keys of [peers].
void check_peers(const SettingsLocation& location, const PeerSettings& peers) {
  const auto fail = [&](const char* key, const std::string& problem) {
    throw GatewaySettingsError(location, std::string("peers.") + key, "[peers]: " + problem);
  };
  if (!peers.listen) return;
  const auto& advertised = peers.advertise ? *peers.advertise : *peers.listen;
  const auto& membership = peers.membership;
  if (advertised.address().is_unspecified() || advertised.port() == 0) {
    fail("advertise",
         "'advertise' must be the address and port at which others reach this gateway, unless 'listen' is");
  }
  if (membership.suspicion_quorum > membership.observers_per_member) {
    fail("quorum", "'quorum' must be at most 'watchers'");
  }
  if (membership.unreachable_timeout_ms < kMinPingsBeforeUnreachable * membership.ping_interval_ms) {
    fail("patience_ms", "'patience_ms' must be at least four times 'period_ms'");
  }
  if (membership.tombstone_retention_ms <
      kMinRetentionPerUnreachableTimeout * membership.unreachable_timeout_ms) {
    fail("forget_ms", "'forget_ms' must be at least twice 'patience_ms'");
  }
}

toml::table parse_file(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    throw GatewaySettingsError(toml_table::location_of(path, error.source()), {},
                               "not TOML: " + std::string(error.description()));
  }
}

}  // namespace

GatewaySettingsError::GatewaySettingsError(const SettingsLocation& location, std::string key,
                                           std::string problem, std::string remedy)
    : Error({location.to_text(), std::move(problem), std::move(remedy)}),
      source_(location),
      key_(std::move(key)) {}

GatewaySettingsError::GatewaySettingsError(const SettingsLocation& location, std::string key,
                                           const ErrorDetails& details, const std::string& text)
    : Error(details, text), source_(location), key_(std::move(key)) {}

GatewaySettingsError GatewaySettingsError::invalid_value(const SettingsLocation& location, std::string key,
                                                         const std::string& expected) {
  const bool is_top_level = key.find('.') == std::string::npos;
  const std::string shown_key = is_top_level ? "'" + key + "'" : key;
  const ErrorDetails details{location.to_text(), shown_key + " has an invalid value", expected};
  const std::string text = details.location + ": " + shown_key + " must be " + expected;
  return {location, std::move(key), details, text};
}

Table hosts_table(GatewaySettings& settings) {
  return {
      {"rest_ms",
       number(settings.connection_reuse_delay_ms, 0, 10'000, "a number of milliseconds from 0 to 10000")},
      {"idle_per_host", number(settings.max_idle_per_host, 0, 65'536, "a whole number from 0 to 65536")},
      {"per_host", number(settings.max_connections_per_host, 1, 65'536, "a whole number from 1 to 65536")},
      {"descriptors_share", number(settings.host_descriptor_share, 0.05, 0.9, "a number from 0.05 to 0.9")}};
}

Table log_table(GatewaySettings& settings) {
  return {{"decisions", flag(settings.log_decisions)}, {"requests", flag(settings.log_requests)}};
}

GatewaySettings load_gateway_settings(const std::string& path) {
  GatewaySettings settings;
  settings.processor.mapping.source = path;
  settings.limits.path = path;
  const toml::table file = parse_file(path);
  toml_table::read(path, "", file,
                   {{"hosts", nested(path, "hosts", hosts_table(settings))},
                    {"log", nested(path, "log", log_table(settings))},
                    {"limits", nested(path, "limits", limits_table(path, settings.limits))},
                    {"peers", nested(path, "peers", peers_table(settings.peers))},
                    {"extproc", nested(path, "extproc", processor_table(path, settings))}});
  if (const auto* peers = file.get("peers")) {
    check_peers(toml_table::location_of(path, peers->source()), settings.peers);
  }
  return settings;
}

}  // namespace cometfold::net
