// libFuzzer: any bytes as datagrams of other gateways, with the real reader and the real membership behind
// it. What must hold: no crash, no sanitizer report; members stay within their bound; what goes out stays
// below its bound and can be read.
//
// Each datagram has two bytes of length before it. The frame with its checksum is put round it here, unless
// the highest bit of the length says that the bytes come as they are.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdlib>
#include <cstring>
#include <random>
#include <string>

#include "membership/membership.h"
#include "membership/wire.h"

using namespace cometfold::membership;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Settings settings;
  settings.most = 40;
  settings.forget = 5000;
  settings.patience = 1000;
  std::mt19937_64 random(1);
  Membership member(settings, {"g0", "10.0.0.1:1", 5, 9, Kind::kAlive, 0, "", ""}, {"10.0.0.2:1"},
                    [&random](std::uint64_t below) { return random() % below; });
  double now = 1000;
  member.start(now);
  while (size >= 2) {
    const bool raw = (data[0] & 0x80) != 0;
    const std::size_t n = std::min<std::size_t>(size - 2, data[1] | (data[0] & 7) << 8);
    const std::string body(reinterpret_cast<const char*>(data + 2), n);
    std::string datagram = body;
    if (!raw) {
      const std::uint64_t sum = XXH3_64bits(body.data(), body.size());
      datagram = std::string("CFM\1") + std::string(reinterpret_cast<const char*>(&sum), sizeof sum) + body;
    }
    now += data[0] & 0x40 ? 3000 : 100;
    data += 2 + n;
    size -= 2 + n;
    Unread why;
    if (const auto message = decode(datagram, "fuzz", why)) member.receive(now, *message);
    while (member.next_due() <= now) member.tick(now);
    member.take_changes();
    for (const auto& envelope : member.take_messages()) {
      const std::string out = encode(envelope.message, "fuzz");
      if (out.size() > kLargestDatagram || !decode(out, "fuzz", why)) std::abort();
    }
    if (member.members(now).size() > settings.most) std::abort();
  }
  return 0;
}
