// What one gateway stores of a member.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"
#include "membership/member_view.h"
#include "membership/record.h"

namespace cometfold::membership {

// A point in time or the start of a span that is not set.
inline constexpr Ms kUnset = -1;
inline constexpr Ms kLongAgo = -1e12;

// The latest suspicion that one observer has of the member that holds this entry.
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
  Ms last_contact_at = kLongAgo;  // when a message of its own last arrived here
  bool reachable = true;          // directly or through another member, as last evaluated
  Ms unreachable_since = kUnset;
  Ms quorum_since = kUnset;  // since when a quorum suspects it
  // It was unreachable for too long while this gateway was partitioned: it no longer counts here. This
  // is not sent to other gateways.
  bool excluded_locally = false;
  MemberState state = MemberState::kAlive;  // as last reported
  Ms state_since = 0;
  std::vector<StoredSuspicion> suspicions;
  std::vector<Member*> observers;
  int record_sends_left = 0, suspicion_sends_left = 0;  // how often gossip still carries them
  bool queued_for_gossip = false;
  std::uint64_t name_hash = 0;
  std::uint64_t digest = 0;  // what it contributes to the digests; 0: nothing
};

// Whether this gateway counts it as a member of the cluster.
inline bool is_active(const Member& member) {
  return member.record.status == MemberStatus::kAlive && !member.excluded_locally;
}

// The record as this gateway sends it, with its age.
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
