// Which members are reachable, directly or through others; the connectivity that follows from it; and which
// members are to be declared failed.
#pragma once

#include "membership/connectivity.h"
#include "membership/events.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/metrics.h"
#include "membership/settings.h"
#include "membership/suspicions.h"

namespace cometfold::membership {

class Reachability {
 public:
  // All references outlive this.
  Reachability(const MembershipSettings& settings, MemberTable& table, const Suspicions& suspicions,
               GossipQueue& gossip, EventQueue& events, MembershipMetrics& metrics);

  // `contact_window`: a member counts as reached directly for this long after a message of its own.
  // `local_fault`: unreachable members may be this process's own fault.
  void update(Ms now, Ms contact_window, bool local_fault);
  // Declares members failed that a quorum suspects or that are unreachable for too long. While this gateway
  // is partitioned it declares nothing and excludes the latter from its own view only.
  void declare_failures(Ms now);

  const ConnectivityTracker& connectivity() const { return connectivity_; }

 private:
  // Returns whether all active members are.
  bool update_direct(Ms now, Ms contact_window);
  void spread_through_observers(Ms now);
  bool reached_through_observers(Ms now, const Member& member) const;
  void declare_failed(Ms now, Member& member);

  const MembershipSettings& settings_;
  MemberTable& table_;
  const Suspicions& suspicions_;
  GossipQueue& gossip_;
  EventQueue& events_;
  MembershipMetrics& metrics_;
  ConnectivityTracker connectivity_;
};

}  // namespace cometfold::membership
