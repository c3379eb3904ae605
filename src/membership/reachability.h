// Determines which members are reachable, directly or through others, derives the gateway's connectivity from
// that, and declares members failed.
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
  // All references must outlive this object.
  Reachability(const MembershipSettings& settings, MemberTable& table, const Suspicions& suspicions,
               GossipQueue& gossip, EventQueue& events, MembershipMetrics& metrics);

  // Re-evaluates reachability and connectivity. A member counts as directly reachable only within
  // `contact_window` after its last message. `local_fault`: members may seem unreachable because of a fault
  // of this process.
  void update(Ms now, Ms contact_window, bool local_fault);
  // Declares members failed that a quorum has suspected, or that have been unreachable, for too long. While
  // this gateway is partitioned or isolated, it declares none and only excludes the unreachable ones locally.
  void declare_failures(Ms now);

  const ConnectivityTracker& connectivity() const { return connectivity_; }

 private:
  // Determines which active members are directly reachable. Returns whether all are.
  bool update_direct(Ms now, Ms contact_window);
  // Marks the members reachable that are reachable through their observers.
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
