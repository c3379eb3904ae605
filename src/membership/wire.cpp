#include "membership/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cmath>
#include <cstring>

#include "peer_messages.pb.h"

namespace cometfold::membership {

namespace {

namespace pb = ::cometfold::peers;

constexpr char kMagic[] = {'C', 'F', 'M'};
constexpr char kVersion = 1;
constexpr std::size_t kFrame = sizeof kMagic + 1 + sizeof(std::uint64_t);
constexpr std::size_t kLargestAddress = 64;
constexpr int kMostRecords = 64, kMostAccusations = 64;
constexpr double kLongestAge = 1e12;

std::uint64_t whole_ms(double ms) {
  return static_cast<std::uint64_t>(std::llround(std::clamp(ms, 0.0, kLongestAge)));
}

void put(pb::Record& to, const MemberRecord& r) {
  if (!r.unknown_fields.empty())
    to.MergeFromString(r.unknown_fields);  // first, so that what is known here holds
  to.set_name(r.name);
  to.set_address(r.address);
  to.set_start(r.incarnation);
  to.set_life(r.process_nonce);
  to.set_kind(static_cast<std::uint32_t>(r.status));
  to.set_age_ms(whole_ms(r.age_ms));
  to.set_by(r.reported_by);
}

bool take(const pb::Record& from, MemberRecord& r) {
  const bool good = !from.name().empty() && from.name().size() <= kMaxNameBytes && from.kind() <= 2 &&
                    from.address().size() <= kLargestAddress && !from.address().empty() &&
                    from.by().size() <= kMaxNameBytes;
  if (!good) return false;
  pb::Record rest = from;  // but for what is known here: the lite library shows unknown fields no other way
  rest.clear_name(), rest.clear_address(), rest.clear_start(), rest.clear_life();
  rest.clear_kind(), rest.clear_age_ms(), rest.clear_by();
  r = {from.name(),
       from.address(),
       from.start(),
       from.life(),
       static_cast<MemberStatus>(from.kind()),
       static_cast<double>(from.age_ms()),
       from.by(),
       rest.SerializeAsString()};
  if (r.unknown_fields.size() > kMaxUnknownFieldBytes) r.unknown_fields.clear();
  return true;
}

}  // namespace

std::string encode(const Message& m, std::string_view cluster) {
  pb::Datagram d;
  d.set_cluster(std::string(cluster));
  d.set_type(m.type);
  put(*d.mutable_sender(), m.sender);
  d.set_number(m.sequence);
  d.set_digest(m.digest);
  d.set_floor(m.incarnation_floor);
  d.set_displaced_by(m.displaced_by);
  for (const auto& r : m.records) put(*d.add_records(), r);
  for (const auto& a : m.suspicions) {
    auto& to = *d.add_accusations();
    to.set_name(a.name);
    to.set_start(a.incarnation);
    to.set_life(a.process_nonce);
    to.set_by(a.suspector);
    to.set_by_start(a.suspector_incarnation);
    to.set_version(a.version);
    to.set_lasts_ms(static_cast<std::uint32_t>(whole_ms(std::ceil(a.valid_for_ms))));
  }
  for (const auto b : m.bucket_digests) d.add_buckets(b);
  std::string out(kFrame, '\0');
  d.AppendToString(&out);
  const std::uint64_t sum =
      boost::endian::native_to_little(XXH3_64bits(out.data() + kFrame, out.size() - kFrame));
  std::memcpy(out.data(), kMagic, sizeof kMagic);
  out[sizeof kMagic] = kVersion;
  std::memcpy(out.data() + sizeof kMagic + 1, &sum, sizeof sum);
  return out;
}

std::optional<Message> decode(std::string_view bytes, std::string_view cluster, DecodeError& why) {
  const auto unread = [&why](DecodeError reason) -> std::optional<Message> {
    why = reason;
    return {};
  };
  if (bytes.size() < kFrame || std::memcmp(bytes.data(), kMagic, sizeof kMagic) != 0) {
    return unread(DecodeError::kForeign);
  }
  if (bytes[sizeof kMagic] != kVersion) return unread(DecodeError::kVersionMismatch);
  std::uint64_t sum;
  std::memcpy(&sum, bytes.data() + sizeof kMagic + 1, sizeof sum);
  const auto body = bytes.substr(kFrame);
  if (boost::endian::little_to_native(sum) != XXH3_64bits(body.data(), body.size())) {
    return unread(DecodeError::kChecksumMismatch);
  }
  pb::Datagram d;
  if (bytes.size() > kMaxDatagramBytes || !d.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return unread(DecodeError::kMalformed);
  }
  if (d.cluster() != cluster) return unread(DecodeError::kForeign);
  Message m;
  const bool good = d.type() >= Message::kPing && d.type() <= Message::kCorrection &&
                    d.records_size() <= kMostRecords && d.accusations_size() <= kMostAccusations &&
                    (d.buckets_size() == 0 || d.buckets_size() == static_cast<int>(kDigestBuckets)) &&
                    take(d.sender(), m.sender);
  if (!good) return unread(DecodeError::kMalformed);
  m.type = static_cast<Message::Type>(d.type());
  m.sequence = d.number();
  m.digest = d.digest();
  m.incarnation_floor = d.floor();
  m.displaced_by = d.displaced_by();
  for (const auto& from : d.records()) {
    if (MemberRecord r; take(from, r))
      m.records.push_back(std::move(r));  // one that can't be read spoils no other
  }
  for (const auto& from : d.accusations()) {
    if (from.name().size() > kMaxNameBytes || from.by().size() > kMaxNameBytes) continue;
    m.suspicions.push_back({from.name(), from.start(), from.life(), from.by(), from.by_start(),
                            from.version(), static_cast<double>(from.lasts_ms())});
  }
  m.bucket_digests.assign(d.buckets().begin(), d.buckets().end());
  why = DecodeError::kNone;
  return m;
}

}  // namespace cometfold::membership
