// Which observers suspect a member. Each suspicion has one author, its observer, and versions: the highest
// version replaces all others.
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
  // All references outlive this.
  Suspicions(const MembershipSettings& settings, MemberTable& table, GossipQueue& gossip)
      : settings_(settings), table_(table), gossip_(gossip) {}

  // A suspicion of another observer, as it arrived.
  void receive(Ms now, const Suspicion& suspicion);
  // This gateway's own.
  void raise(Ms now, Member& member, Ms valid_for);
  void withdraw(Ms now, Member& member);

  // Whether the suspicion of this member by that observer stands.
  bool is_suspected_by(Ms now, const std::string& suspector, const Member& member) const;
  bool has_quorum(Ms now, const Member& member) const;

 private:
  void store(Ms now, Member& member, StoredSuspicion suspicion);

  const MembershipSettings& settings_;
  MemberTable& table_;
  GossipQueue& gossip_;
  std::uint64_t last_version_ = 0;  // of this gateway's own
};

// The longest that a suspicion is valid without being renewed.
inline constexpr Ms kMaxSuspicionMs = 15'000;

}  // namespace cometfold::membership
