// Builds the messages for the proxy: serialized envoy.service.ext_proc.v3.ProcessingResponse.
#pragma once

#include <string>
#include <string_view>

#include "extproc/processor_settings.h"

namespace cometfold::extproc {

// The host that a request is routed to.
struct RouteDecision {
  std::string_view endpoint;     // address and port
  Ms remaining_ms = 0;           // becomes the proxy's timeout
  bool proxy_may_retry = false;  // false: the proxy's own retries are disabled
  bool override_modes = false;   // asks for response headers, but no bodies or trailers
};
std::string route_response(const RouteDecision& route, const DestinationFormat& destination);

// A reply to the proxy's client.
struct ImmediateReply {
  int status = 503;
  int grpc_status = 14;   // for gRPC clients
  Ms retry_after_ms = 0;  // 0: unknown
  bool is_grpc = false;
  std::string_view details;  // for the proxy's access log
  std::string_view body;
};
std::string immediate_response(const ImmediateReply& reply);

// Lets the proxy continue with any message part other than the request headers.
enum class BodyPart { kResponseHeaders, kRequestBody, kResponseBody, kRequestTrailers, kResponseTrailers };
const std::string& continue_response(BodyPart part);
// Returns a chunk of a body unchanged, for the mode in which the proxy forwards only what it gets back.
std::string echo_response(BodyPart part, std::string_view body, bool end);

}  // namespace cometfold::extproc
