#include "membership/member_table.h"

#include <algorithm>
#include <iterator>

#include "membership/faults.h"
#include "membership/hash.h"

namespace cometfold::membership {

namespace {

MemberState state_of(const Member& member, bool suspected) {
  if (member.record.status == MemberStatus::kLeft) return MemberState::kLeft;
  if (member.record.status == MemberStatus::kFailed) return MemberState::kFailed;
  return suspected ? MemberState::kSuspect : MemberState::kAlive;
}

}  // namespace

Member* MemberTable::find(const std::string& name) {
  const auto entry = members_.find(name);
  return entry == members_.end() ? nullptr : &entry->second;
}

const Member* MemberTable::find(const std::string& name) const {
  const auto entry = members_.find(name);
  return entry == members_.end() ? nullptr : &entry->second;
}

Member& MemberTable::insert(const std::string& name) {
  Member& member = members_[name];
  member.name_hash = hash_of(name);
  return member;
}

void MemberTable::set_record(Ms now, Member& member, const MemberRecord& record) {
  const bool alive = record.status == MemberStatus::kAlive;
  const bool same = same_incarnation(member.record, record) && !member.record.name.empty();
  member.record = record;
  member.record.age_ms = 0;
  member.status_since = now - (alive ? 0 : record.age_ms);
  member.excluded_locally = false;
  member.unreachable_since = kUnset;
  member.quorum_since = kUnset;
  if (!same || !alive) member.suspicions.clear();
  if (!same && (!alive || record.age_ms <= 0)) {
    member.last_contact_at = now;  // gives a new incarnation time to send its first message
    member.reachable = true;
  }
  observers_outdated_ = true;
  update_digest(now, member);
  update_state(now, member, !same);
}

void MemberTable::readmit(Ms now, Member& member) {
  member.excluded_locally = false;
  member.unreachable_since = kUnset;
  member.quorum_since = kUnset;
  member.last_contact_at = now;
  member.reachable = true;
  member.suspicions.clear();
  observers_outdated_ = true;
  update_digest(now, member);
  update_state(now, member);
}

void MemberTable::exclude_locally(Ms now, Member& member) {
  member.excluded_locally = true;
  observers_outdated_ = true;
  update_digest(now, member);
}

bool MemberTable::is_current(Ms now, const StoredSuspicion& suspicion) const {
  if (suspicion.withdrawn || suspicion.expires_at <= now) return false;
  const Member* suspector = find(suspicion.suspector);
  return suspector && is_active(*suspector) &&
         suspector->record.incarnation == suspicion.suspector_incarnation;
}

std::size_t MemberTable::current_suspicions(Ms now, const Member& member) const {
  const auto count = std::count_if(member.suspicions.begin(), member.suspicions.end(),
                                   [&](const auto& suspicion) { return is_current(now, suspicion); });
  return static_cast<std::size_t>(count);
}

void MemberTable::update_state(Ms now, Member& member, bool force) {
  const bool suspected = !member.reachable || current_suspicions(now, member) > 0;
  const MemberState state = state_of(member, suspected);
  if (member.excluded_locally || (state == member.state && !force)) return;
  member.state = state;
  member.state_since = state >= MemberState::kFailed ? member.status_since : now;
  events_.push({MembershipEvent::kMemberChanged, member.record.name, member.record.incarnation, state,
                member.record.reported_by});
}

void MemberTable::update_digest(Ms now, Member& member) {
  const bool expiring = member.record.status != MemberStatus::kAlive &&
                        now - member.status_since >= settings_.tombstone_retention_ms / 2;
  const std::uint64_t digest = member.excluded_locally || expiring ? 0 : hash_of(member.record);
  if (digest == member.digest) return;
  bucket_digests_[member.name_hash % kDigestBuckets] ^= member.digest ^ digest;
  digest_ ^= member.digest ^ digest;
  member.digest = digest;
  digest_changed_at_ = now;
}

void MemberTable::expire_tombstones(Ms now) {
  const bool at_once = mutant(Mutant::kForgetsTombstonesAtOnce);
  for (auto next = members_.begin(); next != members_.end();) {
    const auto entry = next++;
    Member& member = entry->second;
    if (is_active(member) || member.record.name == self_.name) continue;
    const Ms age = now - (member.excluded_locally ? member.unreachable_since : member.status_since);
    if (age < settings_.tombstone_retention_ms / 2 && !at_once) continue;
    update_digest(now, member);
    if (age < settings_.tombstone_retention_ms && !at_once) continue;
    if (!member.excluded_locally && !at_once) {
      incarnation_floor_ = std::max(incarnation_floor_, member.record.incarnation);
    }
    gossip_.remove(member);
    members_.erase(entry);
  }
}

void MemberTable::discount_pause(Ms pause) {
  for (auto& [name, member] : members_) {
    member.last_contact_at += pause;
    member.unreachable_since = kUnset;
    member.quorum_since = kUnset;
  }
}

std::vector<std::string> MemberTable::remove_alive_members() {
  std::vector<std::string> addresses;
  for (auto next = members_.begin(); next != members_.end();) {
    const auto entry = next++;
    Member& member = entry->second;
    member.observers.clear();
    if (member.record.name == self_.name || member.record.status != MemberStatus::kAlive) continue;
    addresses.push_back(member.record.address);
    bucket_digests_[member.name_hash % kDigestBuckets] ^= member.digest;
    digest_ ^= member.digest;
    gossip_.remove(member);
    members_.erase(entry);
  }
  return addresses;
}

}  // namespace cometfold::membership
