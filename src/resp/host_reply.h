// Interprets the complete reply of a host. The keywords of replies are defined only here. Pure functions.
#pragma once

#include <cstdint>
#include <string_view>

#include "cometfold/admission_controller.h"
#include "resp/resp_reader.h"

namespace cometfold::resp {

enum class ReplyError : std::uint8_t {
  kNone,
  kMalformedArray,  // other elements than a value, the usage and a load report
  kUnexpectedType,  // neither an array nor an error line with a known keyword
};
// Text for logs.
std::string_view text_of(ReplyError error);

// The texts point into the frame.
struct HostReply {
  ReplyError error = ReplyError::kNone;
  Outcome outcome = Outcome::kError;
  std::string_view value = {};        // with `kOk`; empty if the value was streamed
  std::string_view load_report = {};  // unparsed, or empty
};
HostReply read_host_reply(const Frame& frame);

inline constexpr std::size_t kHostReplyElements = 3;  // value, usage, load report

}  // namespace cometfold::resp
