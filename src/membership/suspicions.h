// Stores which observers suspect a member. Each suspicion is issued by one observer only; the copy with the
// highest version replaces all others.
#pragma once

#include <cstdint>
#include <string>

#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/record.h"
#include "membership/settings.h"

namespace cometfold::membership {

class Suspicions {
 public:
  // All references must outlive this object.
  Suspicions(const MembershipSettings& settings, MemberTable& table, GossipQueue& gossip)
      : settings_(settings), table_(table), gossip_(gossip) {}

  // Stores a received suspicion of another observer.
  void receive(Ms now, const Suspicion& suspicion);
  // Issue and withdraw this gateway's own suspicion of `member`.
  void raise(Ms now, Member& member, Ms valid_for);
  void withdraw(Ms now, Member& member);

  // Whether `suspector` currently suspects `member`.
  bool is_suspected_by(Ms now, const std::string& suspector, const Member& member) const;
  // Whether enough observers currently suspect `member` to declare it failed.
  bool has_quorum(Ms now, const Member& member) const;

 private:
  void store(Ms now, Member& member, StoredSuspicion suspicion);

  const MembershipSettings& settings_;
  MemberTable& table_;
  GossipQueue& gossip_;
  std::uint64_t last_version_ = 0;  // of this gateway's own suspicions
};

// The longest validity of a suspicion that is not renewed.
inline constexpr Ms kMaxSuspicionMs = 15'000;

}  // namespace cometfold::membership
