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

// The trailers that say it.
Headers trailers(const Status& status);

// Five bytes before each message: a flag and the length.
constexpr std::size_t kPrefix = 5;
void append_prefix(std::string& out, std::size_t message_bytes);

// Takes messages out of a stream's bytes, wherever those are cut.
class MessageReader {
 public:
  explicit MessageReader(std::size_t most) : most_(most) {}

  // Takes from `bytes` what it can use. True: `message` is one whole message, which lasts until the next call
  // or the end of `bytes`; call again with what is left. False: all is taken, or `status` says what is wrong.
  bool next(std::string_view& bytes, std::string_view& message);
  const Status& status() const { return status_; }
  std::size_t held() const { return held_.size(); }
  // Nothing is half read.
  bool clean() const { return held_.empty(); }

 private:
  std::size_t most_;
  std::string held_;
  bool taken_ = false;  // `held_` was given out as a message
  Status status_;
};

// The header `grpc-timeout`, such as 100m: up to eight digits and a unit. Nothing if it is none.
std::optional<Ms> parse_timeout(std::string_view text);

// Is this the content-type of gRPC: application/grpc, with anything behind + or ;
bool is_grpc(std::string_view content_type);

}  // namespace cometfold::http2::grpc
