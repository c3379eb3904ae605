// The incarnation under which this gateway takes part, and conflicts over its name.
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

// Why this gateway takes a higher incarnation.
enum class IncarnationReason : std::uint8_t {
  kDeclaredFailed,
  kDeclaredLeft,
  kOtherProcessOver,   // the process that had displaced this one has ended
  kPredecessorHigher,  // an earlier process of this name, which is over, had a higher one
  kNameInUse,          // another process has this name
  kNameKnownHigher,    // the name is known with a higher one, perhaps of a predecessor
  kForgottenByOthers,  // others reject incarnations up to a floor
  kPausedTooLong,      // others may have forgotten what happened during the pause
};

class LocalIdentity {
 public:
  // All references outlive this.
  LocalIdentity(MemberTable& table, GossipQueue& gossip, FailureDetector& detector, NameConflict& conflict,
                EventQueue& events, MembershipMetrics& metrics);

  // What others say of this gateway's name.
  void merge(Ms now, const MemberRecord& record);
  // What another process with this name says of itself.
  void receive_from_namesake(Ms now, const Message& message);
  // Takes an incarnation above `incarnation`, unless this gateway has left.
  void rejoin_above(Ms now, std::uint64_t incarnation, IncarnationReason reason);
  // The others reject incarnations up to `floor`.
  void apply_floor(Ms now, std::uint64_t floor);
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
  std::unordered_map<std::uint64_t, int> claims_;  // by process nonce: how often it had this name
  bool left_ = false;
};

}  // namespace cometfold::membership
