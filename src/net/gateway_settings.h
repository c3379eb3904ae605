// The gateway's own settings, in TOML: what the platform's configuration does not contain. Each has a
// default, which is the value used in production.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "cometfold/admission_controller.h"
#include "extproc/processor_settings.h"
#include "limits/attempt_limits.h"
#include "net/error.h"
#include "net/grpc_listener.h"
#include "net/peers.h"

namespace cometfold::net {

// A place in a settings file.
struct SettingsLocation {
  std::string file;
  int line = 0;  // from 1

  std::string to_text() const { return file + ":" + std::to_string(line); }
};

// An error in a settings file, as one line.
class GatewaySettingsError : public Error {
 public:
  // `key`: with its tables, such as hosts.rest_ms; empty if the error is not about a single one. `remedy`:
  // what would be valid, if `problem` does not say it.
  GatewaySettingsError(const SettingsLocation& location, std::string key, std::string problem,
                       std::string remedy = {});
  // `expected`: worded to follow "must be".
  static GatewaySettingsError invalid_value(const SettingsLocation& location, std::string key,
                                            const std::string& expected);

  const SettingsLocation& source() const { return source_; }
  const std::string& key() const { return key_; }

 private:
  GatewaySettingsError(const SettingsLocation& location, std::string key, const ErrorDetails& details,
                       const std::string& text);

  SettingsLocation source_;
  std::string key_;
};

struct GatewaySettings {
  // [hosts]
  Ms connection_reuse_delay_ms = 25;   // after a reply; surplus bytes that a host sends arrive in that time
  std::size_t max_idle_per_host = 16;  // idle connections; further ones are closed
  std::size_t max_connections_per_host = 96;
  double host_descriptor_share = 0.4;  // share of the descriptors for connections to hosts

  // [log]
  bool log_requests = false;   // logs a line for each step of each request
  bool log_decisions = false;  // logs a line for each request, with the decision on its arrival

  // [extproc]: the external processor; without an address there is none.
  std::optional<boost::asio::ip::tcp::endpoint> processor_address;
  extproc::ProcessorSettings processor;
  GrpcLimits grpc;

  // [peers]: the other gateways; without an address there are none.
  PeerSettings peers;

  // [limits], and the attempt limits in rules of the external processor; not checked yet (see
  // apply_attempt_limits).
  limits::LimitsFile limits;
};

// Throws GatewaySettingsError, also for unknown keys, so that a misspelt key does not go unnoticed.
GatewaySettings load_gateway_settings(const std::string& path);

}  // namespace cometfold::net
