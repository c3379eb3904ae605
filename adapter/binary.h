// Numbers at offsets of little-endian records.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>

#include "adapter/wire_error.h"

namespace cometfold::wire {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

using Bytes = std::span<const unsigned char>;

// Throws WireError if the number is not inside `bytes`; `where` names them.
template <typename Number>
Number read_at(Bytes bytes, std::size_t offset, const char* where) {
  if (offset + sizeof(Number) > bytes.size()) {
    throw WireError(where, "cut short", "send it as long as its header says");
  }
  Number number;
  std::memcpy(&number, bytes.data() + offset, sizeof number);
  return number;
}

// The record is long enough.
template <typename Number>
void write_at(unsigned char* record, std::size_t offset, Number number) {
  std::memcpy(record + offset, &number, sizeof number);
}

}  // namespace cometfold::wire
