// What is known of a member, and the order of what is known: merging two copies takes the greater one, so
// that copies come to agree in whatever order they are merged, and however often. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cometfold::membership {

// As others are told. Failed and left are for good for that start number.
enum class MemberStatus : std::uint8_t { kAlive, kFailed, kLeft };

// A member is a name. Each time that a process takes part under a name it does so with a start number, higher
// than all before; `process_nonce` tells processes apart that chose the same one.
struct MemberRecord {
  std::string name;     // 1 to 64 bytes
  std::string address;  // where others reach it: IP and port
  std::uint64_t incarnation = 0;
  std::uint64_t process_nonce = 0;  // drawn when the process begins; a later process's is likely greater
  MemberStatus status = MemberStatus::kAlive;
  // At the one that tells: since it failed or left; of an alive one, for how long it has not been heard. Not
  // part of the order.
  double age_ms = 0;
  std::string reported_by;     // whose word made it failed or left; not part of the order
  std::string unknown_fields;  // fields of later versions, encoded; passed on as they came
};

// Start number and life before all else; for one start number failed and left outweigh alive.
inline std::tuple<std::uint64_t, std::uint64_t, MemberStatus> precedence_of(const MemberRecord& r) {
  return {r.incarnation, r.process_nonce, r.status};
}
inline bool same_incarnation(const MemberRecord& a, const MemberRecord& b) {
  return a.incarnation == b.incarnation && a.process_nonce == b.process_nonce;
}

// What a watcher says of one that does not answer it. Only the watcher writes it: the higher version holds.
struct Suspicion {
  std::string name;  // of the accused
  std::uint64_t incarnation = 0, process_nonce = 0;
  std::string suspector;  // the watcher, and its start number
  std::uint64_t suspector_incarnation = 0;
  std::uint64_t version = 0;
  double valid_for_ms = 0;  // without another word; 0: withdrawn
};

// What goes from one member to another, in one datagram.
struct Message {
  enum Type : std::uint8_t {
    kPing = 1,  // wants an ack with the same `sequence`
    kAck,
    kSyncRequest,  // `bucket_digests`: digests of what the sender knows; wants what differs
    kSyncReply,    // what differs, and own digests: wants the rest
    kSyncFinal,    // the rest
    kCorrection,  // answers what has `sequence`: `records` holds what the sender believes of the one told, or
                  // `incarnation_floor` is above its start
  };
  Type type = kPing;
  MemberRecord sender;
  std::uint64_t sequence = 0;
  std::uint64_t digest = 0;             // of all that the sender knows
  std::uint64_t incarnation_floor = 0;  // kTell: start numbers up to this one have been forgotten
  std::uint64_t displaced_by = 0;       // the start number of another process that has the sender's name
  std::vector<MemberRecord> records;
  std::vector<Suspicion> suspicions;
  std::vector<std::uint64_t> bucket_digests;
};

inline constexpr std::size_t kDigestBuckets = 32;
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxUnknownFieldBytes = 128;  // longer ones are dropped
inline constexpr std::size_t kMaxMessageBytes = 1150;      // bytes, as encoded; with its frame below 1,200

// Upper bounds of what these take when encoded, in bytes.
std::size_t encoded_size_bound(const MemberRecord& record);
std::size_t encoded_size_bound(const Suspicion& accusation);

}  // namespace cometfold::membership
