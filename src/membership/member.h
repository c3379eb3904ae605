// The state that a gateway stores for each member.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"
#include "membership/member_view.h"
#include "membership/record.h"

namespace cometfold::membership {

// A time that is not set.
inline constexpr Ms kUnset = -1;
inline constexpr Ms kLongAgo = -1e12;

// The latest suspicion raised by one observer against the member that stores this entry.
struct StoredSuspicion {
  std::string suspector;
  std::uint64_t suspector_incarnation = 0;
  std::uint64_t version = 0;
  Ms expires_at = 0;
  bool withdrawn = false;
};

struct Member {
  MemberRecord record;
  Ms status_since = 0;
  Ms last_contact_at = kLongAgo;  // when the member's last message arrived
  bool reachable = true;          // directly or through another member, as last evaluated
  Ms unreachable_since = kUnset;
  Ms quorum_since = kUnset;  // since when a quorum of observers has suspected it
  // The member was unreachable for too long while this gateway was partitioned, so this gateway no longer
  // counts it. Local: other gateways are not told.
  bool excluded_locally = false;
  MemberState state = MemberState::kAlive;  // as last reported
  Ms state_since = 0;
  std::vector<StoredSuspicion> suspicions;
  std::vector<Member*> observers;
  int record_sends_left = 0, suspicion_sends_left = 0;  // remaining sends by gossip
  bool queued_for_gossip = false;
  std::uint64_t name_hash = 0;
  std::uint64_t digest = 0;  // its contribution to the table's digests; 0: none
};

// Whether this gateway counts `member` as a current member of the cluster.
inline bool is_active(const Member& member) {
  return member.record.status == MemberStatus::kAlive && !member.excluded_locally;
}

// The member's record as this gateway sends it, with its age.
inline MemberRecord advertised_record(Ms now, const Member& member) {
  MemberRecord record = member.record;
  if (record.status != MemberStatus::kAlive) {
    record.age_ms = std::max(0.0, now - member.status_since);
  } else if (member.unreachable_since < 0) {
    record.age_ms = 0;
  } else {
    record.age_ms = std::max(1.0, now - member.unreachable_since);
  }
  return record;
}

}  // namespace cometfold::membership
