// Queue of the records and suspicions that still have to be disseminated, piggybacked on pings and acks (Das
// et al., "SWIM", 2002).
#pragma once

#include <cstddef>
#include <deque>

#include "membership/member.h"
#include "membership/record.h"
#include "membership/settings.h"

namespace cometfold::membership {

// Holds pointers to members: a member must be removed from the queue before it is destroyed.
class GossipQueue {
 public:
  // `settings` and `draw` must outlive the queue.
  GossipQueue(const MembershipSettings& settings, const Draw& draw) : settings_(settings), draw_(draw) {}

  void enqueue_record(Member& member);
  void enqueue_suspicions(Member& member);
  void remove(const Member& member);
  // Adds as many updates as fit to `message`, which must have its sender and no records yet.
  void piggyback(Ms now, Message& message);
  std::size_t size() const { return queue_.size(); }

 private:
  int sends() const;
  void enqueue(Member& member);
  // Add the member's pending update, if any, to `message`. Return false if it does not fit.
  static bool add_record(Ms now, Member& member, Message& message, std::size_t& used_bytes);
  static bool add_suspicions(Ms now, Member& member, Message& message, std::size_t& used_bytes);

  const MembershipSettings& settings_;
  const Draw& draw_;
  std::deque<Member*> queue_;
};

}  // namespace cometfold::membership
