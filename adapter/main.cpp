// Reads batches from standard input and writes one reply for each to standard output.
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <exception>
#include <vector>

#include "adapter/codec.h"

int main() {
  using namespace cometfold::wire;
  Gateways gateways;
  std::vector<unsigned char> frame;
  try {
    for (;;) {
      frame.resize(kBatchHeader);
      const std::size_t got = std::fread(frame.data(), 1, kBatchHeader, stdin);
      if (got == 0) return 0;
      if (got < kBatchHeader) throw WireError("batch header: input ends inside it");
      std::uint32_t size = 0;
      std::memcpy(&size, frame.data(), sizeof size);
      if (size < kBatchHeader) throw WireError("batch header: length below the header's own");
      frame.resize(size);
      if (std::fread(frame.data() + kBatchHeader, 1, size - kBatchHeader, stdin) < size - kBatchHeader) {
        throw WireError("batch: input ends inside it");
      }
      const auto reply = gateways.play(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) < reply.size() || std::fflush(stdout) != 0) {
        throw WireError("reply: output closed");
      }
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "simulator_adapter: %s\n", error.what());
    return 1;
  }
}
