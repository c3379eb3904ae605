// gRPC over HTTP/2 as published (grpc/doc/PROTOCOL-HTTP2.md): statuses, message framing, timeouts. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http2/session.h"

namespace cometfold::http2::grpc {

// grpc/doc/statuscodes.md
enum class Code : int {
  kOk = 0,
  kCancelled = 1,
  kUnknown = 2,
  kInvalidArgument = 3,
  kDeadlineExceeded = 4,
  kNotFound = 5,
  kPermissionDenied = 7,
  kResourceExhausted = 8,
  kFailedPrecondition = 9,
  kAborted = 10,
  kUnimplemented = 12,
  kInternal = 13,
  kUnavailable = 14,
};

struct Status {
  Code code = Code::kOk;
  std::string message;  // any text: it is percent-encoded on its way out
};

// The trailers that carry it.
Headers trailers(const Status& status);

// Five bytes before each message: a flag and the length.
constexpr std::size_t kPrefix = 5;
void append_prefix(std::string& out, std::size_t message_bytes);

// Takes messages out of the bytes of a stream, wherever those are split.
class MessageReader {
 public:
  explicit MessageReader(std::size_t max_message_bytes) : max_message_bytes_(max_message_bytes) {}

  // Consumes `bytes` from the front. True: `message` is one complete message, valid until the next call and
  // for as long as the memory of `bytes`; call again with the rest. False: all is consumed, or `status` is an
  // error.
  bool next(std::string_view& bytes, std::string_view& message);
  const Status& status() const { return status_; }
  std::size_t buffered_bytes() const { return buffer_.size(); }
  // No message is incomplete.
  bool empty() const { return buffer_.empty(); }

 private:
  void drop_delivered();
  bool check_prefix(std::string_view prefix);
  bool next_unbuffered(std::string_view& bytes, std::string_view& message);
  bool next_buffered(std::string_view& bytes, std::string_view& message);
  bool fill_buffer(std::string_view& bytes, std::size_t size);

  std::size_t max_message_bytes_;
  std::string buffer_;      // prefix and message, until complete
  bool delivered_ = false;  // `buffer_` was given out as a message
  Status status_;
};

// The value of the header `grpc-timeout`, such as 100m: up to eight digits and a unit. Empty if it is
// malformed.
std::optional<Ms> parse_timeout(std::string_view text);

// Whether this is the content-type of gRPC: application/grpc, with anything after + or ;
bool is_grpc(std::string_view content_type);

}  // namespace cometfold::http2::grpc
