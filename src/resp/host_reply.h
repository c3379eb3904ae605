// What a host's whole reply says. The words of replies stand here only. Pure.
#pragma once

#include <cstdint>
#include <string_view>

#include "cometfold/admission_controller.h"
#include "resp/resp_reader.h"

namespace cometfold::resp {

enum class ReplyError : std::uint8_t {
  kNone,
  kMalformedArray,  // not a value, the usage and a load report
  kUnexpectedType,  // neither an array nor an error line that a host may send
};
// For logs.
std::string_view text_of(ReplyError error);

// Its texts lie in the frame.
struct HostReply {
  ReplyError error = ReplyError::kNone;
  Outcome outcome = Outcome::kError;
  std::string_view value = {};        // with `kOk`; empty if the value was streamed
  std::string_view load_report = {};  // as it came, or empty
};
HostReply read_host_reply(const Frame& frame);

inline constexpr std::size_t kHostReplyElements = 3;  // value, usage, load report

}  // namespace cometfold::resp
