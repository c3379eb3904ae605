// A ProcessingRequest parsed in place: the headers are views into the message, which is not copied. It is
// parsed with protobuf-lite's own primitives, as generated classes would make two strings of each header.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "http2/headers.h"

namespace cometfold::extproc {

using http2::HeaderView;

struct ProcessingRequest {
  enum Part : std::uint8_t {  // the published numbers of the oneof `request`
    kNone = 0,
    kRequestHeaders = 2,
    kResponseHeaders = 3,
    kRequestBody = 4,
    kResponseBody = 5,
    kRequestTrailers = 6,
    kResponseTrailers = 7
  };
  Part part = kNone;
  std::vector<HeaderView> headers;  // of either kind; of trailers they are not read
  std::string_view body;
  bool end_of_stream = false;
  bool observability_mode = false;
  int request_body_mode = 0;      // of protocol_config
  int response_body_mode = 0;     // of protocol_config
  std::string_view code_details;  // the attribute response.code_details
};

// False if the bytes are no such message. Unknown fields are skipped; of a oneof that is there twice the last
// one holds. `into` must be fresh or have been read into before; its views last as long as the bytes.
bool parse_processing_request(std::string_view bytes, ProcessingRequest& into);

}  // namespace cometfold::extproc
