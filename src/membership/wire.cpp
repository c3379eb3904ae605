#include "membership/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cmath>
#include <cstring>
#include <utility>

#include "peer_messages.pb.h"

namespace cometfold::membership {

namespace {

namespace pb = ::cometfold::peers;

constexpr char kMagic[] = {'C', 'F', 'M'};
constexpr char kFrameVersion = 1;
constexpr std::size_t kVersionOffset = sizeof kMagic;
constexpr std::size_t kChecksumOffset = kVersionOffset + 1;
constexpr std::size_t kFrameBytes = kChecksumOffset + sizeof(std::uint64_t);
constexpr std::size_t kMaxAddressBytes = 64;
constexpr int kMaxRecords = 64;
constexpr int kMaxSuspicions = 64;
constexpr double kMaxAgeMs = 1e12;

std::uint64_t whole_ms(double ms) {
  return static_cast<std::uint64_t>(std::llround(std::clamp(ms, 0.0, kMaxAgeMs)));
}

void encode_record(const MemberRecord& record, pb::Record& to) {
  // Merged first, so that the known fields set below override them.
  if (!record.unknown_fields.empty()) to.MergeFromString(record.unknown_fields);
  to.set_name(record.name);
  to.set_address(record.address);
  to.set_start(record.incarnation);
  to.set_life(record.process_nonce);
  to.set_kind(static_cast<std::uint32_t>(record.status));
  to.set_age_ms(whole_ms(record.age_ms));
  to.set_by(record.reported_by);
}

void encode_suspicion(const Suspicion& suspicion, pb::Accusation& to) {
  to.set_name(suspicion.name);
  to.set_start(suspicion.incarnation);
  to.set_life(suspicion.process_nonce);
  to.set_by(suspicion.suspector);
  to.set_by_start(suspicion.suspector_incarnation);
  to.set_version(suspicion.version);
  to.set_lasts_ms(static_cast<std::uint32_t>(whole_ms(std::ceil(suspicion.valid_for_ms))));
}

bool is_valid(const pb::Record& record) {
  return !record.name().empty() && record.name().size() <= kMaxNameBytes &&
         record.kind() <= static_cast<std::uint32_t>(MemberStatus::kLeft) && !record.address().empty() &&
         record.address().size() <= kMaxAddressBytes && record.by().size() <= kMaxNameBytes;
}

// The encoded fields that this version does not know. Clearing the known ones is the only access to them in
// the lite runtime.
std::string unknown_fields_of(pb::Record record) {
  record.clear_name();
  record.clear_address();
  record.clear_start();
  record.clear_life();
  record.clear_kind();
  record.clear_age_ms();
  record.clear_by();
  std::string unknown = record.SerializeAsString();
  if (unknown.size() > kMaxUnknownFieldBytes) unknown.clear();
  return unknown;
}

std::optional<MemberRecord> decode_record(const pb::Record& from) {
  if (!is_valid(from)) return std::nullopt;
  MemberRecord record;
  record.name = from.name();
  record.address = from.address();
  record.incarnation = from.start();
  record.process_nonce = from.life();
  record.status = static_cast<MemberStatus>(from.kind());
  record.age_ms = static_cast<double>(from.age_ms());
  record.reported_by = from.by();
  record.unknown_fields = unknown_fields_of(from);
  return record;
}

std::optional<Suspicion> decode_suspicion(const pb::Accusation& from) {
  if (from.name().size() > kMaxNameBytes || from.by().size() > kMaxNameBytes) return std::nullopt;
  Suspicion suspicion;
  suspicion.name = from.name();
  suspicion.incarnation = from.start();
  suspicion.process_nonce = from.life();
  suspicion.suspector = from.by();
  suspicion.suspector_incarnation = from.by_start();
  suspicion.version = from.version();
  suspicion.valid_for_ms = static_cast<double>(from.lasts_ms());
  return suspicion;
}

// Checks the frame and sets `body`.
DecodeError unframe(std::string_view datagram, std::string_view& body) {
  if (datagram.size() < kFrameBytes || std::memcmp(datagram.data(), kMagic, sizeof kMagic) != 0) {
    return DecodeError::kForeign;
  }
  if (datagram[kVersionOffset] != kFrameVersion) return DecodeError::kVersionMismatch;
  std::uint64_t checksum;
  std::memcpy(&checksum, datagram.data() + kChecksumOffset, sizeof checksum);
  body = datagram.substr(kFrameBytes);
  if (boost::endian::little_to_native(checksum) != XXH3_64bits(body.data(), body.size())) {
    return DecodeError::kChecksumMismatch;
  }
  return datagram.size() > kMaxDatagramBytes ? DecodeError::kMalformed : DecodeError::kNone;
}

bool is_valid(const pb::Datagram& datagram) {
  return datagram.type() >= Message::kPing && datagram.type() <= Message::kCorrection &&
         datagram.records_size() <= kMaxRecords && datagram.accusations_size() <= kMaxSuspicions &&
         (datagram.buckets_size() == 0 || datagram.buckets_size() == static_cast<int>(kDigestBuckets)) &&
         is_valid(datagram.sender());
}

Message decode_message(const pb::Datagram& from) {
  Message message;
  message.type = static_cast<Message::Type>(from.type());
  message.sender = decode_record(from.sender()).value();
  message.sequence = from.number();
  message.digest = from.digest();
  message.incarnation_floor = from.floor();
  message.displaced_by = from.displaced_by();
  for (const auto& one : from.records()) {
    if (auto record = decode_record(one)) message.records.push_back(std::move(*record));
  }
  for (const auto& one : from.accusations()) {
    if (auto suspicion = decode_suspicion(one)) message.suspicions.push_back(std::move(*suspicion));
  }
  message.bucket_digests.assign(from.buckets().begin(), from.buckets().end());
  return message;
}

}  // namespace

std::size_t encoded_size_bound(const MemberRecord& record) {
  constexpr std::size_t kFixedFieldBytes = 64;
  return kFixedFieldBytes + record.name.size() + record.address.size() + record.reported_by.size() +
         record.unknown_fields.size();
}

std::size_t suspicion_size_bound(std::string_view name, std::string_view suspector) {
  constexpr std::size_t kFixedFieldBytes = 56;
  return kFixedFieldBytes + name.size() + suspector.size();
}

std::string encode(const Message& message, std::string_view cluster) {
  pb::Datagram datagram;
  datagram.set_cluster(std::string(cluster));
  datagram.set_type(message.type);
  encode_record(message.sender, *datagram.mutable_sender());
  datagram.set_number(message.sequence);
  datagram.set_digest(message.digest);
  datagram.set_floor(message.incarnation_floor);
  datagram.set_displaced_by(message.displaced_by);
  for (const auto& record : message.records) encode_record(record, *datagram.add_records());
  for (const auto& suspicion : message.suspicions) encode_suspicion(suspicion, *datagram.add_accusations());
  for (const auto digest : message.bucket_digests) datagram.add_buckets(digest);
  std::string bytes(kFrameBytes, '\0');
  datagram.AppendToString(&bytes);
  const std::uint64_t checksum =
      boost::endian::native_to_little(XXH3_64bits(bytes.data() + kFrameBytes, bytes.size() - kFrameBytes));
  std::memcpy(bytes.data(), kMagic, sizeof kMagic);
  bytes[kVersionOffset] = kFrameVersion;
  std::memcpy(bytes.data() + kChecksumOffset, &checksum, sizeof checksum);
  return bytes;
}

DecodeResult decode(std::string_view datagram, std::string_view cluster) {
  std::string_view body;
  const DecodeError frame_error = unframe(datagram, body);
  if (frame_error != DecodeError::kNone) return {std::nullopt, frame_error};
  pb::Datagram parsed;
  const bool is_parsed = parsed.ParseFromArray(body.data(), static_cast<int>(body.size()));
  if (is_parsed && parsed.cluster() != cluster) return {std::nullopt, DecodeError::kForeign};
  if (!is_parsed || !is_valid(parsed)) return {std::nullopt, DecodeError::kMalformed};
  return {decode_message(parsed), DecodeError::kNone};
}

}  // namespace cometfold::membership
