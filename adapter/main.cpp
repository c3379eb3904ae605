// Reads batches of events from standard input and writes a reply to each to standard output.
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <exception>
#include <optional>
#include <vector>

#include "adapter/gateway_instances.h"

namespace {

using cometfold::wire::kBatchHeaderSize;
using cometfold::wire::WireError;

// Returns the next batch including its header, or nothing at the end of the input.
std::optional<std::vector<unsigned char>> read_frame(std::FILE* input) {
  std::vector<unsigned char> frame(kBatchHeaderSize);
  const std::size_t header_size = std::fread(frame.data(), 1, kBatchHeaderSize, input);
  if (header_size == 0) return {};
  if (header_size < kBatchHeaderSize) {
    throw WireError("batch header", "unexpected end of input", "send complete batches");
  }
  std::uint32_t size = 0;
  std::memcpy(&size, frame.data(), sizeof size);
  if (size < kBatchHeaderSize) {
    throw WireError("batch header", "length is less than that of the header",
                    "set the length to that of the whole batch");
  }
  frame.resize(size);
  const std::size_t body_size = size - kBatchHeaderSize;
  if (std::fread(frame.data() + kBatchHeaderSize, 1, body_size, input) < body_size) {
    throw WireError("batch", "unexpected end of input", "send complete batches");
  }
  return frame;
}

void write_reply(const std::string& reply, std::FILE* output) {
  if (std::fwrite(reply.data(), 1, reply.size(), output) < reply.size() || std::fflush(output) != 0) {
    throw WireError("reply", "cannot be written to standard output",
                    "read replies until the end of the input");
  }
}

}  // namespace

int main() {
  try {
    cometfold::wire::GatewayInstances instances;
    while (const auto frame = read_frame(stdin)) write_reply(instances.handle_batch(*frame), stdout);
    return 0;
  } catch (const WireError& error) {
    std::fprintf(stderr, "simulator_adapter: %s (%s)\n", error.what(), error.remedy().c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "simulator_adapter: %s\n", error.what());
  }
  return 1;
}
