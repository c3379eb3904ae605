// Joins the cluster and rejoins it after a partition or a pause, by contacting seeds and silent members.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "membership/anti_entropy.h"
#include "membership/member_table.h"
#include "membership/name_conflict.h"
#include "membership/outbox.h"
#include "membership/settings.h"

namespace cometfold::membership {

class Rejoiner {
 public:
  // All references must outlive this object. `seeds` are addresses.
  Rejoiner(const Draw& draw, const MemberTable& table, const NameConflict& conflict,
           AntiEntropy& anti_entropy, Outbox& outbox, std::vector<std::string> seeds);

  void start(Ms now);
  // Must be called at each tick. `isolated`: this gateway reaches no other member.
  void tick(Ms now, bool isolated);
  // For a number of ticks, contacts seeds and silent members at each tick while this gateway is isolated.
  void start_fast_rejoin();
  // Adds a seed address, up to a bound.
  void add_seed(const std::string& address);

 private:
  void ping_silent_member(Ms now);
  void contact_unreached_seed(Ms now);
  void check_conflict(Ms now);

  const Draw& draw_;
  const MemberTable& table_;
  const NameConflict& conflict_;
  AntiEntropy& anti_entropy_;
  Outbox& outbox_;
  std::vector<std::string> seeds_;
  std::uint64_t ticks_ = 0;
  int fast_ticks_left_ = 0;
};

}  // namespace cometfold::membership
