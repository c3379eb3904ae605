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
enum class Kind : std::uint8_t { kAlive, kFailed, kLeft };

// A member is a name. Each time that a process takes part under a name it does so with a start number, higher
// than all before; `life` tells processes apart that chose the same one.
struct Record {
  std::string name;     // 1 to 64 bytes
  std::string address;  // where others reach it: IP and port
  std::uint64_t start = 0;
  std::uint64_t life = 0;  // drawn when the process begins; a later process's is likely greater
  Kind kind = Kind::kAlive;
  // At the one that tells: since it failed or left; of an alive one, for how long it has not been heard. Not
  // part of the order.
  double age_ms = 0;
  std::string by;     // whose word made it failed or left; not part of the order
  std::string extra;  // fields of later versions, encoded; passed on as they came
};

// Start number and life before all else; for one start number failed and left outweigh alive.
inline std::tuple<std::uint64_t, std::uint64_t, Kind> order_of(const Record& r) {
  return {r.start, r.life, r.kind};
}
inline bool same_start(const Record& a, const Record& b) { return a.start == b.start && a.life == b.life; }

// What a watcher says of one that does not answer it. Only the watcher writes it: the higher version holds.
struct Accusation {
  std::string name;  // of the accused
  std::uint64_t start = 0, life = 0;
  std::string by;  // the watcher, and its start number
  std::uint64_t by_start = 0;
  std::uint64_t version = 0;
  double lasts_ms = 0;  // without another word; 0: withdrawn
};

// What goes from one member to another, in one datagram.
struct Message {
  enum Type : std::uint8_t {
    kPing = 1,  // wants an ack with the same `number`
    kAck,
    kSync,       // `buckets`: digests of what the sender knows; wants what differs
    kSyncReply,  // what differs, and own digests: wants the rest
    kSyncBack,   // the rest
    kTell,  // answers what has `number`: `records` holds what the sender believes of the one told, or `floor`
            // is above its start
  };
  Type type = kPing;
  Record sender;
  std::uint64_t number = 0;
  std::uint64_t digest = 0;        // of all that the sender knows
  std::uint64_t floor = 0;         // kTell: start numbers up to this one have been forgotten
  std::uint64_t displaced_by = 0;  // the start number of another process that has the sender's name
  std::vector<Record> records;
  std::vector<Accusation> accusations;
  std::vector<std::uint64_t> buckets;
};

inline constexpr std::size_t kBuckets = 32;
inline constexpr std::size_t kLargestName = 64;
inline constexpr std::size_t kLargestExtra = 128;     // longer ones are dropped
inline constexpr std::size_t kLargestMessage = 1150;  // bytes, as encoded; with its frame below 1,200

// Upper bounds of what these take when encoded, in bytes.
std::size_t size_of(const Record& record);
std::size_t size_of(const Accusation& accusation);

}  // namespace cometfold::membership
