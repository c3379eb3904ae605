// gRPC over HTTP/2 (grpc/doc/PROTOCOL-HTTP2.md): status codes, message framing and timeouts. No I/O.
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
  std::string message;  // any text: it is percent-encoded when it is sent
};

// Returns the trailers that carry `status`.
Headers trailers(const Status& status);

// Size of the prefix of each message: a compression flag (1 byte) and the length (4 bytes, big-endian).
constexpr std::size_t kPrefixBytes = 5;
void append_prefix(std::string& out, std::size_t message_bytes);

// Extracts messages from a stream's bytes, which may be split at any position.
class MessageReader {
 public:
  explicit MessageReader(std::size_t max_message_bytes) : max_message_bytes_(max_message_bytes) {}

  // Consumes `bytes` from the front. Returns true if `message` is a complete message; it is valid until the
  // next call and no longer than the memory behind `bytes`. Call again with the remaining bytes. Returns
  // false if all bytes are consumed or `status` is an error.
  bool next(std::string_view& bytes, std::string_view& message);
  const Status& status() const { return status_; }
  std::size_t buffered_bytes() const { return buffer_.size(); }
  // Whether no incomplete message is buffered.
  bool empty() const { return buffer_.empty(); }

 private:
  void drop_delivered();
  bool check_prefix(std::string_view prefix);
  bool next_unbuffered(std::string_view& bytes, std::string_view& message);
  bool next_buffered(std::string_view& bytes, std::string_view& message);
  bool fill_buffer(std::string_view& bytes, std::size_t size);

  std::size_t max_message_bytes_;
  std::string buffer_;      // prefix and message, until the message is complete
  bool delivered_ = false;  // `buffer_` was returned as a message
  Status status_;
};

// Parses the header `grpc-timeout`, such as 100m: up to eight digits and a unit. Returns nothing if it is
// malformed.
std::optional<Ms> parse_timeout(std::string_view text);

// Whether a content-type is that of gRPC: application/grpc, optionally followed by + or ; and any text.
bool is_grpc(std::string_view content_type);

}  // namespace cometfold::http2::grpc
