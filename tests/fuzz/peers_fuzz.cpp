// libFuzzer target: feeds arbitrary bytes as datagrams from other gateways through the decoder into
// membership. Checks that there is no crash and no sanitizer report, that the number of members stays within
// its limit, and that outgoing datagrams stay within the size limit and can be decoded.
//
// Input format: each datagram is preceded by two bytes. The first contains a flag for raw bytes (0x80), a
// flag for a long pause (0x40) and the upper three bits of the length, the second the lower eight bits.
// Unless the raw flag is set, the target adds the frame and checksum.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

#include "membership/membership.h"
#include "membership/wire.h"

using namespace cometfold::membership;

namespace {

constexpr std::uint8_t kRawFlag = 0x80;
constexpr std::uint8_t kPauseFlag = 0x40;
constexpr std::uint8_t kLengthMask = 7;
constexpr std::size_t kHeaderBytes = 2;
constexpr cometfold::Ms kPauseMs = 3000;
constexpr cometfold::Ms kStepMs = 100;

std::string framed(const std::string& body) {
  const std::uint64_t checksum = XXH3_64bits(body.data(), body.size());
  return std::string("CFM\1") + std::string(reinterpret_cast<const char*>(&checksum), sizeof checksum) + body;
}

void check_output(Membership& member) {
  for (const auto& outgoing : member.take_messages()) {
    const std::string datagram = encode(outgoing.message, "fuzz");
    if (datagram.size() > kMaxDatagramBytes || !decode(datagram, "fuzz").message) std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  MembershipSettings settings;
  settings.max_members = 40;
  settings.tombstone_retention_ms = 5000;
  settings.unreachable_timeout_ms = 1000;
  std::mt19937_64 random(1);
  Membership member(settings, {"g0", "10.0.0.1:1", 5, 9, MemberStatus::kAlive, 0, "", ""}, {"10.0.0.2:1"},
                    [&random](std::uint64_t below) { return random() % below; });
  cometfold::Ms now = 1000;
  member.start(now);
  while (size >= kHeaderBytes) {
    const std::uint8_t flags = data[0];
    const std::size_t length =
        std::min<std::size_t>(size - kHeaderBytes, data[1] | (flags & kLengthMask) << 8);
    const std::string body(reinterpret_cast<const char*>(data + kHeaderBytes), length);
    data += kHeaderBytes + length;
    size -= kHeaderBytes + length;
    now += (flags & kPauseFlag) != 0 ? kPauseMs : kStepMs;
    const std::string datagram = (flags & kRawFlag) != 0 ? body : framed(body);
    if (const auto message = decode(datagram, "fuzz").message) member.receive(now, *message);
    while (member.next_tick() <= now) member.tick(now);
    member.take_events();
    check_output(member);
    if (member.members(now).size() > settings.max_members) std::abort();
  }
  return 0;
}
