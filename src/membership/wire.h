// Messages of members as datagrams, and back. Pure. Decoding any bytes ends, takes memory in proportion to
// them, and gives a message within the bounds of record.h or the reason why there is none.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "membership/record.h"

namespace cometfold::membership {

inline constexpr std::size_t kMaxDatagramBytes = 1200;

enum class DecodeError : std::uint8_t {
  kNone,
  kForeign,          // without this protocol's frame, or of another cluster
  kVersionMismatch,  // of another version of the frame
  kChecksumMismatch,
  kMalformed,  // intact, and no message: an unknown type, or a bound exceeded
};

// Upper bounds of encoded sizes, in bytes.
std::size_t encoded_size_bound(const MemberRecord& record);
std::size_t suspicion_size_bound(std::string_view name, std::string_view suspector);
inline constexpr std::size_t kMessageOverheadBytes = 40;  // of a message beside its sender and its lists
inline constexpr std::size_t kBucketDigestsBytes = 9 * kDigestBuckets;

// `cluster` is the name of the sender's cluster, which the receiver's has to equal.
std::string encode(const Message& message, std::string_view cluster);

// A message, or the reason why there is none.
struct DecodeResult {
  std::optional<Message> message;
  DecodeError error = DecodeError::kNone;
};

// `cluster` is the name of the receiver's cluster. Records and suspicions that exceed a bound are left out;
// they do not spoil the others.
DecodeResult decode(std::string_view datagram, std::string_view cluster);

}  // namespace cometfold::membership
