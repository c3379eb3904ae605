// Hashes that all gateways must compute identically: record digests and positions on the observer rings.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "membership/record.h"

namespace cometfold::membership {

inline std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Never 0, because 0 marks a record that is not part of the digests.
inline std::uint64_t hash_of(const MemberRecord& record) {
  const std::uint64_t fields[] = {record.incarnation, record.process_nonce,
                                  static_cast<std::uint64_t>(record.status)};
  return hash_of({reinterpret_cast<const char*>(fields), sizeof fields}, hash_of(record.name)) | 1;
}

inline std::uint64_t ring_hash(std::uint64_t name_hash, std::size_t ring) {
  return XXH64(&name_hash, sizeof name_hash, ring + 1);
}

}  // namespace cometfold::membership
