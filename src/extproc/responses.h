// The messages that go to the proxy, as bytes of envoy.service.ext_proc.v3.ProcessingResponse.
#pragma once

#include <string>
#include <string_view>

#include "extproc/processor_settings.h"

namespace cometfold::extproc {

// Where a request goes.
struct RouteDecision {
  std::string_view endpoint;     // address and port
  Ms remaining_ms = 0;           // for the proxy's timeout
  bool proxy_may_retry = false;  // false: the proxy must not retry by itself
  bool override_modes = false;
};
std::string route_response(const RouteDecision& route, const DestinationFormat& destination);

// A reply to the proxy's client.
struct ImmediateReply {
  int status = 503;
  int grpc_status = 14;   // for clients that speak gRPC
  Ms retry_after_ms = 0;  // 0: not known
  bool is_grpc = false;
  std::string_view details;  // for the proxy's access log
  std::string_view body;
};
std::string immediate_response(const ImmediateReply& reply);

// Lets the proxy continue with any other part that it sends.
enum class BodyPart { kResponseHeaders, kRequestBody, kResponseBody, kRequestTrailers, kResponseTrailers };
const std::string& continue_response(BodyPart part);
// A chunk of a body in the mode in which the proxy forwards only what it gets back.
std::string echo_response(BodyPart part, std::string_view body, bool end);

}  // namespace cometfold::extproc
