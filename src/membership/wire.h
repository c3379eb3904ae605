// Messages of members as datagrams, and back. Pure. Whatever bytes come, reading them ends, takes memory in
// proportion to them, and gives a message within the bounds of record.h or says why not.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "membership/record.h"

namespace cometfold::membership {

inline constexpr std::size_t kMaxDatagramBytes = 1200;

enum class DecodeError : std::uint8_t {
  kNone,
  kForeign,           // no frame of ours, or another cluster's
  kVersionMismatch,   // framed by another version
  kChecksumMismatch,  // the checksum differs
  kMalformed,         // whole, and not a message: an unknown type, a bound exceeded
};

std::string encode(const Message& message, std::string_view cluster);

// Nothing, with the reason in `description`, if it is not to be read.
std::optional<Message> decode(std::string_view datagram, std::string_view cluster, DecodeError& why);

}  // namespace cometfold::membership
