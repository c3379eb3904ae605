// The messages that go to the proxy, as bytes of envoy.service.ext_proc.v3.ProcessingResponse.
#pragma once

#include <string>
#include <string_view>

#include "extproc/processor_settings.h"

namespace cometfold::extproc {

// Where a request goes.
struct Route {
  std::string_view endpoint;  // address and port
  Ms left = 0;                // for the proxy's timeout
  bool keep_retries = false;  // false: the proxy must not repeat it by itself
  bool override_modes = false;
};
std::string route_response(const Route& route, const Destination& destination);

// An answer to the client.
struct Immediate {
  int status = 503;
  int grpc_status = 14;  // for callers that speak gRPC
  Ms retry_after = 0;    // 0: not known
  bool grpc = false;
  std::string_view details;  // for the proxy's access log
  std::string_view body;
};
std::string immediate_response(const Immediate& immediate);

// 'Go on' for what else the proxy sends.
enum class Part { kResponseHeaders, kRequestBody, kResponseBody, kRequestTrailers, kResponseTrailers };
const std::string& continue_response(Part part);
// A piece of a body in the mode in which the proxy sends on only what it gets back.
std::string echo_response(Part part, std::string_view body, bool end);

}  // namespace cometfold::extproc
