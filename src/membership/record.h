// The data that gateways of a cluster exchange: member records, suspicions and messages. Records are ordered
// and a merge takes the greater one. Merging is therefore commutative, associative and idempotent, and all
// gateways converge whatever the order and number of copies they receive.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace cometfold::membership {

// Failed and left are final for an incarnation. Later values take precedence over earlier ones.
enum class MemberStatus : std::uint8_t { kAlive, kFailed, kLeft };

// What is known of a member. The name identifies the member. Each process that joins under a name takes a
// higher incarnation than all before it; `process_nonce` distinguishes processes that took the same one.
struct MemberRecord {
  std::string name;     // 1 to 64 bytes
  std::string address;  // IP and port at which other members reach it
  std::uint64_t incarnation = 0;
  std::uint64_t process_nonce = 0;  // chosen at process start; probably greater for later processes
  MemberStatus status = MemberStatus::kAlive;
  // In ms, as seen by the sender: time since the member failed or left, or for how long an alive member has
  // been unreachable (0: it is reachable). Not part of the order.
  double age_ms = 0;
  std::string reported_by;     // the member that declared the status; not part of the order
  std::string unknown_fields;  // encoded fields of later versions, forwarded unchanged
};

// The order of records: by incarnation, then process nonce, then status.
inline std::tuple<std::uint64_t, std::uint64_t, MemberStatus> precedence_of(const MemberRecord& record) {
  return {record.incarnation, record.process_nonce, record.status};
}
inline bool same_incarnation(const MemberRecord& one, const MemberRecord& other) {
  return one.incarnation == other.incarnation && one.process_nonce == other.process_nonce;
}

// An observer's suspicion that a member has failed. Only that observer issues and renews it; a higher version
// replaces a lower one.
struct Suspicion {
  std::string name;  // of the suspected member, as are the next two fields
  std::uint64_t incarnation = 0, process_nonce = 0;
  std::string suspector;  // the observer
  std::uint64_t suspector_incarnation = 0;
  std::uint64_t version = 0;
  double valid_for_ms = 0;  // unless renewed; 0: withdrawn
};

// The content of one datagram from one member to another.
struct Message {
  enum Type : std::uint8_t {
    kPing = 1,  // requests an ack with the same `sequence`
    kAck,
    kSyncRequest,  // `bucket_digests` of the sender; requests the records that differ
    kSyncReply,    // those records, and the replier's `bucket_digests`, which request the requester's records
    kSyncFinal,    // the requester's records that differ
    // The receiver, or a record that it sent, is outdated: `records` holds the sender's newer records, or
    // `incarnation_floor` is at or above the receiver's incarnation.
    kCorrection,
  };
  Type type = kPing;
  MemberRecord sender;
  std::uint64_t sequence = 0;
  std::uint64_t digest = 0;             // of all records of the sender
  std::uint64_t incarnation_floor = 0;  // kCorrection: tombstones up to this incarnation were forgotten
  std::uint64_t displaced_by = 0;       // the incarnation of the process that displaces the sender; 0: none
  std::vector<MemberRecord> records;
  std::vector<Suspicion> suspicions;
  std::vector<std::uint64_t> bucket_digests;  // empty or kDigestBuckets long
};

inline constexpr std::size_t kDigestBuckets = 32;
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxUnknownFieldBytes = 128;  // longer ones are dropped
inline constexpr std::size_t kMaxMessageBytes = 1150;      // encoded, without the frame

}  // namespace cometfold::membership
