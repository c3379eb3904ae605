// The members that this gateway has records of, including itself, and the digests over those records.
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
  // All references must outlive the table.
  MemberTable(const MembershipSettings& settings, MemberRecord self, GossipQueue& gossip, EventQueue& events)
      : settings_(settings), self_(std::move(self)), gossip_(gossip), events_(events) {}

  // The record of this process. While another process displaces it, the table's entry for its name holds the
  // other process's record.
  const MemberRecord& self() const { return self_; }
  MemberRecord& self() { return self_; }
  Member& local_member() { return members_[self_.name]; }

  // Members by name. Pointers to members stay valid until they are removed.
  std::map<std::string, Member>& members() { return members_; }
  const std::map<std::string, Member>& members() const { return members_; }
  Member* find(const std::string& name);
  const Member* find(const std::string& name) const;
  // Adds an empty entry for a name that is not in the table.
  Member& insert(const std::string& name);
  // Replaces a member's record. Resets its suspicions and contact time as the new incarnation or status
  // requires.
  void set_record(Ms now, Member& member, const MemberRecord& record);
  // Counts a member again that was excluded locally.
  void readmit(Ms now, Member& member);
  void exclude_locally(Ms now, Member& member);

  // A suspicion counts until it expires or is withdrawn, while its observer is an active member with the same
  // incarnation.
  bool is_current(Ms now, const StoredSuspicion& suspicion) const;
  std::size_t current_suspicions(Ms now, const Member& member) const;

  // Recomputes the state shown to operators and reports it if it changed or if `force` is set. A locally
  // excluded member is never reported.
  void update_state(Ms now, Member& member, bool force = false);
  // Forgets members whose tombstones have expired. A tombstone leaves the digests after half of its
  // retention, so that digests do not differ when gateways forget it at slightly different times.
  void expire_tombstones(Ms now);
  // Discounts a pause of this process by `pause` ms: no member counts as silent because of it.
  void discount_pause(Ms pause);
  // Removes all alive members except this gateway and returns their addresses.
  std::vector<std::string> remove_alive_members();

  // Alive records of unknown names are rejected up to this incarnation, as tombstones with incarnations up to
  // it have been forgotten.
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
