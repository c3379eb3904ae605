// What gateways of a cluster send each other: records of members, suspicions and messages. Records have an
// order: merging two copies takes the greater one, so that all gateways come to agree in whatever order and
// however often copies are merged. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace cometfold::membership {

// Failed and left are final for an incarnation. The order is that of precedence.
enum class MemberStatus : std::uint8_t { kAlive, kFailed, kLeft };

// A member is identified by its name. Each time that a process joins under a name it takes a higher
// incarnation than all before; `process_nonce` distinguishes processes that took the same one.
struct MemberRecord {
  std::string name;     // 1 to 64 bytes
  std::string address;  // IP and port at which other members reach it
  std::uint64_t incarnation = 0;
  std::uint64_t process_nonce = 0;  // drawn when the process starts; a later process's is probably greater
  MemberStatus status = MemberStatus::kAlive;
  // At the sender, in ms: since the member failed or left, or for how long an alive member has been
  // unreachable (0: it is reachable). Not part of the order.
  double age_ms = 0;
  std::string reported_by;     // the member that declared the status; not part of the order
  std::string unknown_fields;  // encoded fields of later versions, passed on unchanged
};

// Incarnation and process come first; within one incarnation failed and left outweigh alive.
inline std::tuple<std::uint64_t, std::uint64_t, MemberStatus> precedence_of(const MemberRecord& record) {
  return {record.incarnation, record.process_nonce, record.status};
}
inline bool same_incarnation(const MemberRecord& one, const MemberRecord& other) {
  return one.incarnation == other.incarnation && one.process_nonce == other.process_nonce;
}

// An observer's suspicion of a member that does not answer it. Only that observer writes it: the higher
// version replaces the lower.
struct Suspicion {
  std::string name;  // of the suspected member, which the next two belong to
  std::uint64_t incarnation = 0, process_nonce = 0;
  std::string suspector;  // the observer
  std::uint64_t suspector_incarnation = 0;
  std::uint64_t version = 0;
  double valid_for_ms = 0;  // unless renewed; 0: withdrawn
};

// What one member sends another in one datagram.
struct Message {
  enum Type : std::uint8_t {
    kPing = 1,  // requests an ack with the same `sequence`
    kAck,
    kSyncRequest,  // `bucket_digests` of the sender; requests the records that differ
    kSyncReply,    // those records, and the replier's `bucket_digests`, which request the rest
    kSyncFinal,    // the rest
    // The receiver, or a record that it sent, is outdated: `records` holds the sender's view of it, or
    // `incarnation_floor` is not below its incarnation.
    kCorrection,
  };
  Type type = kPing;
  MemberRecord sender;
  std::uint64_t sequence = 0;
  std::uint64_t digest = 0;             // of all records of the sender
  std::uint64_t incarnation_floor = 0;  // kCorrection: incarnations up to this one have been forgotten
  std::uint64_t displaced_by = 0;       // the incarnation of another process that has the sender's name
  std::vector<MemberRecord> records;
  std::vector<Suspicion> suspicions;
  std::vector<std::uint64_t> bucket_digests;  // empty or kDigestBuckets long
};

inline constexpr std::size_t kDigestBuckets = 32;
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxUnknownFieldBytes = 128;  // longer ones are dropped
inline constexpr std::size_t kMaxMessageBytes = 1150;      // as encoded, without its frame

}  // namespace cometfold::membership
