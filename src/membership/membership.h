// Cluster membership as seen by one gateway. Deterministic: the embedder passes in messages, the time and the
// source of random numbers, and takes messages and events out. No I/O, no clock.
//
// Each member is monitored by a few others, its observers (observer_rings.h). An observer that gets no
// answers suspects the member (failure_detector.h); a member suspected by a quorum of its observers is
// declared failed (reachability.h), which is final for its incarnation. Updates are piggybacked on pings and
// acks (gossip_queue.h), and anti-entropy repairs what gossip missed (anti_entropy.h). A process that was
// paused declares no others failed for a while, and one that is slow is slower to suspect them
// (local_health.h).
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

// All times must come from one monotonic clock, in milliseconds above 0.
class Membership {
 public:
  using Draw = membership::Draw;

  // `self` is this member's record: name, address, process nonce and an initial incarnation, which is raised
  // if others know a higher one. `seeds` are addresses; the member's own address is ignored.
  Membership(const MembershipSettings& settings, MemberRecord self, std::vector<std::string> seeds,
             Draw draw);
  // Not copyable: the components hold references to each other.
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Must be called once, before any other method.
  void start(Ms now);
  void receive(Ms now, const Message& message);
  // Must be called at `next_tick`; a call that is late by more than a ping interval counts as a pause.
  void tick(Ms now);
  Ms next_tick() const { return next_tick_; }
  // Announces that this gateway leaves. It still answers messages, but no longer monitors members.
  void leave(Ms now);

  std::vector<OutgoingMessage> take_messages() { return outbox_.take(); }
  std::vector<MembershipEvent> take_events() { return events_.take(); }

  const MemberRecord& self() const { return table_.self(); }
  ConnectivityState connectivity() const { return reachability_.connectivity().state(); }
  Ms connectivity_since() const { return reachability_.connectivity().since(); }
  // All members by name, including this one and excluding those that are excluded locally.
  std::vector<MemberView> members(Ms now) const;
  std::uint64_t digest() const { return table_.digest(); }
  const MembershipMetrics& metrics() const { return metrics_; }
  // The address of another process that uses this gateway's name; empty if there is no conflict.
  const std::string& conflicting_address() const { return conflict_.address(); }
  // Whether the silence of others may be due to a recent pause of this process.
  bool recently_paused(Ms now) const { return health_.recently_paused(now); }
  std::size_t memory_bytes() const;  // an estimate

 private:
  bool accepts(const Message& message);
  void receive_current(Ms now, Member& sender, const Message& message);
  void receive_stale(Ms now, const Message& message, const Member* sender);
  void receive_from_conflicting_process(Ms now, const Message& message);
  void merge_records(Ms now, const Message& message);
  void answer(Ms now, const Message& message);
  void correct(Ms now, const Message& message, Message correction);
  void check_for_pause(Ms now);
  void reset_after_long_pause(Ms now);
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
  // Set after a long pause, until the first answer to a message with a sequence above this one arrives; only
  // such an answer is accepted.
  std::optional<std::uint64_t> answer_sequence_floor_;
  Ms next_tick_ = 0;
  int corrections_left_ = 0;  // that may still be sent before the next tick
  int leave_announcements_left_ = 0;
};

}  // namespace cometfold::membership
