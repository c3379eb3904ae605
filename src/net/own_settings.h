// The gateway's own settings, in TOML: what the platform's configuration does not speak of. All have a value
// if the file is not there, and those are the ones in service.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>

#include "cometfold/admission_controller.h"
#include "extproc/processor_settings.h"
#include "limits/attempt_limits.h"
#include "net/grpc_listener.h"
#include "net/peers.h"

namespace cometfold::net {

// One line: the file, the line, what is wrong and what would be right.
struct OwnSettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct OwnSettings {
  // [hosts]
  Ms rest_ms = 25;                 // of a connection after an answer: noise behind it comes in that time
  std::size_t idle_per_host = 16;  // connections kept for a host beyond what is out; more are closed
  std::size_t per_host = 96;       // connections to one host
  double descriptors_share = 0.4;  // of the descriptors, for connections to hosts

  // [log]
  bool requests = false;   // a line for each step of each request
  bool decisions = false;  // a line for each request: what was decided on its arrival

  // [extproc]: the external processor; without an address there is none.
  std::optional<boost::asio::ip::tcp::endpoint> processor_at;
  extproc::ProcessorSettings processor;
  GrpcLimits grpc;

  // [peers]: the other gateways; without an address there are none.
  PeerSettings peers;

  // [limits], and what rules of the external processor say of attempts; not proved yet (see use_limits).
  limits::LimitsFile limits;
};

// Throws OwnSettingsError. Names that are not known are errors: a slip of the pen must not go unnoticed.
OwnSettings read_own_settings(const std::string& path);

}  // namespace cometfold::net
