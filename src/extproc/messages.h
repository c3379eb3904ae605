// Parses a ProcessingRequest in place: the headers are views into the message, which is not copied. The
// parser uses the primitives of protobuf-lite, as generated classes would allocate two strings for each
// header.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "http2/headers.h"

namespace cometfold::extproc {

using http2::HeaderView;

struct ProcessingRequest {
  enum Part : std::uint8_t {  // the field numbers of the oneof `request`
    kNone = 0,
    kRequestHeaders = 2,
    kResponseHeaders = 3,
    kRequestBody = 4,
    kResponseBody = 5,
    kRequestTrailers = 6,
    kResponseTrailers = 7
  };
  Part part = kNone;
  std::vector<HeaderView> headers;  // of the request or the response; trailers are not parsed
  std::string_view body;
  bool end_of_stream = false;
  bool observability_mode = false;
  int request_body_mode = 0;      // from protocol_config
  int response_body_mode = 0;     // from protocol_config
  std::string_view code_details;  // the attribute response.code_details
};

// Returns false if the bytes are not a valid ProcessingRequest. Unknown fields are skipped. If a oneof is set
// more than once, the last one counts. `into` may be reused; its views are valid as long as the bytes.
bool parse_processing_request(std::string_view bytes, ProcessingRequest& into);

}  // namespace cometfold::extproc
