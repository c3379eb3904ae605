// The members that this gateway has records of, itself included, with the digests over them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/events.h"
#include "membership/gossip_queue.h"
#include "membership/member.h"
#include "membership/record.h"
#include "membership/settings.h"

namespace cometfold::membership {

class MemberTable {
 public:
  // All references outlive the table.
  MemberTable(const MembershipSettings& settings, MemberRecord self, GossipQueue& gossip, EventQueue& events)
      : settings_(settings), self_(std::move(self)), gossip_(gossip), events_(events) {}

  // The record of this process. While another process has its name, the table's entry of that name is the
  // other's.
  const MemberRecord& self() const { return self_; }
  MemberRecord& self() { return self_; }
  Member& local_member() { return members_[self_.name]; }

  // By name; addresses of members are stable.
  std::map<std::string, Member>& members() { return members_; }
  const std::map<std::string, Member>& members() const { return members_; }
  Member* find(const std::string& name);
  const Member* find(const std::string& name) const;
  // An empty entry for a name that is not in the table.
  Member& insert(const std::string& name);
  // Replaces a member's record, and starts its status and suspicions anew where the record says so.
  void set_record(Ms now, Member& member, const MemberRecord& record);
  // A member that was excluded locally counts again.
  void readmit(Ms now, Member& member);
  void exclude_locally(Ms now, Member& member);

  // A suspicion counts while it lasts and its observer is an active member of the same incarnation.
  bool is_current(Ms now, const StoredSuspicion& suspicion) const;
  std::size_t current_suspicions(Ms now, const Member& member) const;

  // Works out the state to show and reports it if it changed; `force` reports it in any case.
  void update_state(Ms now, Member& member, bool force = false);
  // Forgets members whose tombstones have expired. Half-way to it a tombstone leaves the digests, so that
  // gateways that forget it at slightly different times do not differ.
  void expire_tombstones(Ms now);
  // Silence before now is not held against members, as this process did not run for `pause` ms.
  void forgive_silence(Ms pause);
  // Removes all alive members but this gateway and returns their addresses.
  std::vector<std::string> remove_alive_members();

  // Alive records up to this incarnation are rejected where the name is not in the table: tombstones as high
  // have been forgotten.
  std::uint64_t incarnation_floor() const { return incarnation_floor_; }
  std::uint64_t digest() const { return digest_; }
  const std::vector<std::uint64_t>& bucket_digests() const { return bucket_digests_; }
  Ms digest_changed_at() const { return digest_changed_at_; }

  // Whether active members changed since observers were last assigned.
  bool observers_outdated() const { return observers_outdated_; }
  void set_observers_outdated(bool outdated) { observers_outdated_ = outdated; }

 private:
  void update_digest(Ms now, Member& member);

  const MembershipSettings& settings_;
  MemberRecord self_;
  GossipQueue& gossip_;
  EventQueue& events_;
  std::map<std::string, Member> members_;
  std::vector<std::uint64_t> bucket_digests_ = std::vector<std::uint64_t>(kDigestBuckets, 0);
  std::uint64_t digest_ = 0;
  Ms digest_changed_at_ = 0;
  std::uint64_t incarnation_floor_ = 0;
  bool observers_outdated_ = true;
};

}  // namespace cometfold::membership
