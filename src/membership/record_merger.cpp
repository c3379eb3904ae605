#include "membership/record_merger.h"

#include <algorithm>

#include "membership/faults.h"

namespace cometfold::membership {

RecordMerger::RecordMerger(const MembershipSettings& settings, MemberTable& table, GossipQueue& gossip,
                           Suspicions& suspicions, LocalIdentity& identity, MembershipMetrics& metrics)
    : settings_(settings),
      table_(table),
      gossip_(gossip),
      suspicions_(suspicions),
      identity_(identity),
      metrics_(metrics) {}

void RecordMerger::merge(Ms now, const MemberRecord& record, RecordSource source) {
  if (record.name == table_.self().name) {
    if (source == RecordSource::kThirdParty) identity_.merge(now, record);
    return;
  }
  if (record.name.empty() || record.name.size() > kMaxNameBytes || record.address.empty()) {
    ++metrics_.rejected_members;
    return;
  }
  if (Member* member = table_.find(record.name)) {
    merge_known(now, *member, record, source);
  } else {
    merge_unknown(now, record, source);
  }
}

void RecordMerger::merge_known(Ms now, Member& member, const MemberRecord& record, RecordSource source) {
  const bool greater = precedence_of(record) > precedence_of(member.record);
  const bool alive = record.status == MemberStatus::kAlive;
  const bool third_party = source == RecordSource::kThirdParty;
  if (member.excluded_locally && third_party && alive && !greater) {
    merge_excluded(now, member, record);
    return;
  }
  if (greater || mutant(Mutant::kLastRecordWins)) {
    table_.set_record(now, member, record);
    gossip_.enqueue_record(member);
    return;
  }
  // Gossips the record again if another gateway still reports an ended member as alive: the tombstone may be
  // too old for the digests to show the difference.
  const bool ended = member.record.status != MemberStatus::kAlive;
  if (ended && alive && third_party && member.record_sends_left == 0) gossip_.enqueue_record(member);
}

void RecordMerger::merge_unknown(Ms now, const MemberRecord& record, RecordSource source) {
  if (is_outdated(record, source)) return;
  if (table_.members().size() >= settings_.max_members) {
    ++metrics_.rejected_members;
    return;
  }
  Member& member = table_.insert(record.name);
  table_.set_record(now, member, record);
  gossip_.enqueue_record(member);
}

// An alive record of a member that is not in the table is accepted only from gateways that reach the member:
// others may hold an old copy.
bool RecordMerger::is_outdated(const MemberRecord& record, RecordSource source) const {
  if (record.status != MemberStatus::kAlive) return record.age_ms >= settings_.tombstone_retention_ms;
  if (record.incarnation <= table_.incarnation_floor()) return true;
  return source == RecordSource::kThirdParty && record.age_ms > 0 &&
         !mutant(Mutant::kTrustsSecondHandRecords);
}

// A record readmits an excluded member only if its sender reaches the member itself. Another sender may count
// the member merely because this gateway, as one of its observers, does not suspect it: this gateway
// therefore raises a suspicion.
void RecordMerger::merge_excluded(Ms now, Member& member, const MemberRecord& record) {
  const bool reached_by_sender = record.age_ms <= 0 || mutant(Mutant::kTrustsSecondHandRecords);
  if (reached_by_sender && same_incarnation(record, member.record)) {
    readmit(now, member);
    return;
  }
  if (member.record_sends_left == 0) gossip_.enqueue_record(member);
  suspicions_.raise(now, member, kMaxSuspicionMs);
}

void RecordMerger::observe_contact(Ms now, Member& member) {
  member.last_contact_at = now;
  if (member.excluded_locally) readmit(now, member);
}

void RecordMerger::readmit(Ms now, Member& member) {
  const bool suspected_here =
      std::any_of(member.suspicions.begin(), member.suspicions.end(),
                  [&](const StoredSuspicion& stored) { return stored.suspector == table_.self().name; });
  table_.readmit(now, member);
  if (suspected_here) suspicions_.withdraw(now, member);
  gossip_.enqueue_record(member);
}

}  // namespace cometfold::membership
