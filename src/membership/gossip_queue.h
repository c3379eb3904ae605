// Records and suspicions that still have to spread by riding on pings and acks (piggybacking, as in Das et
// al., "SWIM", 2002).
#pragma once

#include <cstddef>
#include <deque>

#include "membership/member.h"
#include "membership/record.h"
#include "membership/settings.h"

namespace cometfold::membership {

// Refers to members by address: a member is removed before it is destroyed.
class GossipQueue {
 public:
  // `settings` and `draw` outlive the queue.
  GossipQueue(const MembershipSettings& settings, const Draw& draw) : settings_(settings), draw_(draw) {}

  void enqueue_record(Member& member);
  void enqueue_suspicions(Member& member);
  void remove(const Member& member);
  // Adds as much as fits into `message`, which has its sender and no records yet.
  void piggyback(Ms now, Message& message);
  std::size_t size() const { return queue_.size(); }

 private:
  int sends() const;
  void enqueue(Member& member);
  // These add what fits and return false once something does not.
  static bool add_record(Ms now, Member& member, Message& message, std::size_t& used_bytes);
  static bool add_suspicions(Ms now, Member& member, Message& message, std::size_t& used_bytes);

  const MembershipSettings& settings_;
  const Draw& draw_;
  std::deque<Member*> queue_;
};

}  // namespace cometfold::membership
