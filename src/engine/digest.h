// A 64-bit fingerprint of a state, by which the model checker recognises visited states. The chance that any
// two of n different states have the same fingerprint is about n^2 / 2^65.
#pragma once

#include <bit>
#include <cstdint>
#include <string_view>

namespace cometfold::engine {

class Digest {
 public:
  void add(std::uint64_t word) {
    value_ ^= word;
    value_ *= 0x9fb21c651e98df25u;
    value_ ^= value_ >> 29;
    value_ *= 0xd6e8feb86659fd93u;
    value_ ^= value_ >> 32;
  }
  void add(double number) { add(std::bit_cast<std::uint64_t>(number)); }
  void add(std::string_view text) {
    add(std::uint64_t{text.size()});
    for (const char byte : text) add(std::uint64_t{static_cast<unsigned char>(byte)});
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0x243f6a8885a308d3u;
};

}  // namespace cometfold::engine
