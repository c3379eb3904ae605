// Manages the incarnation under which this gateway participates, and conflicts over its name.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "membership/events.h"
#include "membership/failure_detector.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/metrics.h"
#include "membership/name_conflict.h"
#include "membership/record.h"

namespace cometfold::membership {

// Why this gateway takes a new, higher incarnation.
enum class IncarnationReason : std::uint8_t {
  kDeclaredFailed,
  kDeclaredLeft,
  kOtherProcessEnded,  // the process that had displaced this one has ended
  kPredecessorHigher,  // an earlier process with this name, which has ended, had a higher incarnation
  kNameInUse,          // another process uses this name
  kNameKnownHigher,    // others know the name with a higher incarnation, perhaps that of a predecessor
  kForgottenByOthers,  // others reject incarnations up to a floor
  kPausedTooLong,      // others may have forgotten tombstones of the time of the pause
};

class LocalIdentity {
 public:
  // All references must outlive this object.
  LocalIdentity(MemberTable& table, GossipQueue& gossip, FailureDetector& detector, NameConflict& conflict,
                EventQueue& events, MembershipMetrics& metrics);

  // Merges a record of this gateway's name.
  void merge(Ms now, const MemberRecord& record);
  // Handles a message of another process with this gateway's name.
  void receive_from_conflicting_process(Ms now, const Message& message);
  // Takes the incarnation after `incarnation`, unless this gateway has left.
  void rejoin_above(Ms now, std::uint64_t incarnation, IncarnationReason reason);
  // Takes an incarnation above `floor` if its own is not: others reject incarnations up to `floor`.
  void apply_floor(Ms now, std::uint64_t floor);
  // Ends a name conflict of which nothing has been observed for a while.
  void expire_conflict(Ms now);

  void set_left() { left_ = true; }
  bool has_left() const { return left_; }

 private:
  void merge_alive(Ms now, const MemberRecord& record);
  void yield_to(Ms now, const MemberRecord& record);
  void observe_conflict(Ms now, const MemberRecord& record);

  MemberTable& table_;
  GossipQueue& gossip_;
  FailureDetector& detector_;
  NameConflict& conflict_;
  EventQueue& events_;
  MembershipMetrics& metrics_;
  // By process nonce: how many greater alive records with this name have arrived from that process.
  std::unordered_map<std::uint64_t, int> claims_;
  bool left_ = false;
};

}  // namespace cometfold::membership
