// The members of one cluster of gateways as one of them sees them. Pure: messages and time go in, messages
// and events come out; no I/O, no clock, and random numbers are drawn from outside.
//
// Each member is monitored by a few others, its observers (observer_rings.h). An observer that gets no
// answers suspects it (failure_detector.h); a member that a quorum of its observers suspects is declared
// failed (reachability.h), and that is final for its incarnation. Updates ride on pings and acks
// (gossip_queue.h), and digests find what was missed (anti_entropy.h). A process that was paused or starved
// does not judge others (local_health.h).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership/anti_entropy.h"
#include "membership/connectivity.h"
#include "membership/events.h"
#include "membership/failure_detector.h"
#include "membership/gossip_queue.h"
#include "membership/local_health.h"
#include "membership/local_identity.h"
#include "membership/member_table.h"
#include "membership/member_view.h"
#include "membership/metrics.h"
#include "membership/name_conflict.h"
#include "membership/observer_rings.h"
#include "membership/outbox.h"
#include "membership/reachability.h"
#include "membership/record.h"
#include "membership/record_merger.h"
#include "membership/rejoiner.h"
#include "membership/settings.h"
#include "membership/state_names.h"
#include "membership/suspicions.h"

namespace cometfold::membership {

// Times are those of one clock that never goes back, in milliseconds above 0.
class Membership {
 public:
  using Draw = membership::Draw;

  // `self` names this member and its address, with a first incarnation (a hint: it is raised where others
  // know a higher one) and a process nonce. `seeds` are addresses; its own among them does no harm.
  Membership(const MembershipSettings& settings, MemberRecord self, std::vector<std::string> seeds,
             Draw draw);
  // The parts refer to each other.
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // To be called once, before any other call.
  void start(Ms now);
  void receive(Ms now, const Message& message);
  // To be called at `next_tick`; a late call counts as a pause of this process.
  void tick(Ms now);
  Ms next_tick() const { return next_tick_; }
  // Announces that this gateway leaves. It still answers, and takes part no more.
  void leave(Ms now);

  std::vector<OutgoingMessage> take_messages() { return outbox_.take(); }
  std::vector<MembershipEvent> take_events() { return events_.take(); }

  const MemberRecord& self() const { return table_.self(); }
  ConnectivityState connectivity() const { return reachability_.connectivity().state(); }
  Ms connectivity_since() const { return reachability_.connectivity().since(); }
  // All members by name, this one included.
  std::vector<MemberView> members(Ms now) const;
  std::uint64_t digest() const { return table_.digest(); }
  const MembershipMetrics& metrics() const { return metrics_; }
  // The address of another process that has this one's name; empty if there was none of late.
  const std::string& conflicting_address() const { return conflict_.address(); }
  // Whether the silence of others is likely this process's own fault, as it was paused or starved.
  bool recently_paused(Ms now) const { return health_.recently_paused(now); }
  std::size_t memory_bytes() const;  // an estimate

 private:
  bool accepts(const Message& message);
  void receive_current(Ms now, Member& sender, const Message& message);
  void receive_stale(Ms now, const Message& message, const Member* sender);
  void receive_from_namesake(Ms now, const Message& message);
  void merge_records(Ms now, const Message& message);
  void answer(Ms now, const Message& message);
  void correct(Ms now, const Message& message, Message correction);
  void check_for_pause(Ms now);
  void start_over(Ms now);
  void update_observers(Ms now);
  void send_leave_announcement(Ms now);

  MembershipSettings settings_;
  Draw draw_;
  MembershipMetrics metrics_;
  EventQueue events_;
  GossipQueue gossip_;
  MemberTable table_;
  NameConflict conflict_;
  Outbox outbox_;
  LocalHealth health_;
  Suspicions suspicions_;
  FailureDetector detector_;
  LocalIdentity identity_;
  RecordMerger merger_;
  AntiEntropy anti_entropy_;
  Reachability reachability_;
  Rejoiner rejoiner_;
  ObserverRings rings_;
  // After a long pause only answers to messages with a sequence above this one count, until the first of
  // them.
  std::optional<std::uint64_t> answers_only_above_;
  Ms next_tick_ = 0;
  int corrections_left_ = 0;  // until the next tick
  int leave_announcements_left_ = 0;
};

}  // namespace cometfold::membership
