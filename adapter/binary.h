// Reads and writes numbers at offsets of little-endian records.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>

#include "adapter/wire_error.h"

namespace cometfold::wire {

static_assert(std::endian::native == std::endian::little, "the wire protocol is little-endian");

using Bytes = std::span<const unsigned char>;

// Throws WireError if the number does not lie within `bytes`. `where` names the input in the error.
template <typename Number>
Number read_at(Bytes bytes, std::size_t offset, const char* where) {
  if (offset + sizeof(Number) > bytes.size()) {
    throw WireError(where, "truncated", "send as many bytes as its header specifies");
  }
  Number number;
  std::memcpy(&number, bytes.data() + offset, sizeof number);
  return number;
}

// The number must lie within the record.
template <typename Number>
void write_at(unsigned char* record, std::size_t offset, Number number) {
  std::memcpy(record + offset, &number, sizeof number);
}

}  // namespace cometfold::wire
