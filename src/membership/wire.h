// Encodes messages as datagrams and decodes them. Decoding accepts arbitrary bytes: it terminates, uses
// memory proportional to the input, and returns a message within the bounds of record.h or an error.
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
  kForeign,          // no frame of this protocol, or a message of another cluster
  kVersionMismatch,  // a frame of another version
  kChecksumMismatch,
  kMalformed,  // intact, but not a valid message: unknown type, invalid field or bound exceeded
};

// Upper bounds on encoded sizes, in bytes.
std::size_t encoded_size_bound(const MemberRecord& record);
std::size_t suspicion_size_bound(std::string_view name, std::string_view suspector);
inline constexpr std::size_t kMessageOverheadBytes = 40;  // of a message without its sender and lists
inline constexpr std::size_t kBucketDigestsBytes = 9 * kDigestBuckets;

// `cluster` is the name of the sender's cluster, which must equal the receiver's.
std::string encode(const Message& message, std::string_view cluster);

// A message, or the error that prevented decoding.
struct DecodeResult {
  std::optional<Message> message;
  DecodeError error = DecodeError::kNone;
};

// `cluster` is the name of the receiver's cluster. Invalid records and suspicions are skipped; the others are
// kept.
DecodeResult decode(std::string_view datagram, std::string_view cluster);

}  // namespace cometfold::membership
