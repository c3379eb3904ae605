#include "membership/local_identity.h"

#include <cstddef>
#include <string_view>

#include "membership/faults.h"

namespace cometfold::membership {

namespace {

constexpr std::size_t kMaxClaims = 64;

// Text for the log, in the order of IncarnationReason.
constexpr std::string_view text_of(IncarnationReason reason) {
  constexpr std::string_view kTexts[] = {"other members declared this gateway failed",
                                         "other members recorded that this gateway left",
                                         "the other process with this name has ended",
                                         "an earlier process with this name had a higher incarnation",
                                         "another process uses this name",
                                         "this name is known with a higher incarnation",
                                         "other members reject incarnations this low",
                                         "the pause may have outlasted others' tombstones"};
  return kTexts[static_cast<std::size_t>(reason)];
}

}  // namespace

LocalIdentity::LocalIdentity(MemberTable& table, GossipQueue& gossip, FailureDetector& detector,
                             NameConflict& conflict, EventQueue& events, MembershipMetrics& metrics)
    : table_(table),
      gossip_(gossip),
      detector_(detector),
      conflict_(conflict),
      events_(events),
      metrics_(metrics) {}

void LocalIdentity::merge(Ms now, const MemberRecord& record) {
  if (left_ || precedence_of(record) <= precedence_of(table_.self())) return;
  if (same_incarnation(record, table_.self())) {
    if (mutant(Mutant::kIgnoresOwnFailure)) return;
    ++metrics_.incarnations_raised;
    const bool declared_left = record.status == MemberStatus::kLeft;
    rejoin_above(now, record.incarnation,
                 declared_left ? IncarnationReason::kDeclaredLeft : IncarnationReason::kDeclaredFailed);
  } else if (record.status != MemberStatus::kAlive) {
    rejoin_above(now, record.incarnation,
                 conflict_.displaced() ? IncarnationReason::kOtherProcessEnded
                                       : IncarnationReason::kPredecessorHigher);
  } else {
    merge_alive(now, record);
  }
}

// The first such record may be left from this gateway's predecessor, if the others do not know yet that it
// has ended. A process that has ended cannot raise its incarnation: if it outbids this gateway's new
// incarnation again, it is running.
void LocalIdentity::merge_alive(Ms now, const MemberRecord& record) {
  if (conflict_.displaced()) {
    yield_to(now, record);
    return;
  }
  if (claims_.size() >= kMaxClaims) claims_.clear();
  const bool in_use = ++claims_[record.process_nonce] > 1;
  if (!in_use) {
    rejoin_above(now, record.incarnation, IncarnationReason::kNameKnownHigher);
    return;
  }
  // The process that started later keeps the name; its nonce is probably the greater one.
  if (record.process_nonce > table_.self().process_nonce && !mutant(Mutant::kNeverYieldsName)) {
    yield_to(now, record);
    return;
  }
  observe_conflict(now, record);
  rejoin_above(now, record.incarnation, IncarnationReason::kNameInUse);
}

// This process does not participate until the other one has ended.
void LocalIdentity::yield_to(Ms now, const MemberRecord& record) {
  if (!conflict_.displaced()) detector_.clear_subjects();
  conflict_.set_displaced(true);
  observe_conflict(now, record);
  table_.set_record(now, table_.local_member(), record);
}

void LocalIdentity::observe_conflict(Ms now, const MemberRecord& record) {
  if (!conflict_.observe(now, record.address, record.incarnation)) return;
  events_.push({MembershipEvent::kNameConflict, table_.self().name, record.incarnation, MemberState::kAlive,
                record.address});
}

// The other process's own record proves no conflict, as the message may be old. A message that carries this
// process's current incarnation does prove one.
void LocalIdentity::receive_from_conflicting_process(Ms now, const Message& message) {
  const MemberRecord& self = table_.self();
  if (message.displaced_by == self.incarnation && !conflict_.displaced()) {
    observe_conflict(now, message.sender);
  }
  for (const auto& record : message.records) {
    if (record.name == self.name) merge(now, record);
  }
}

void LocalIdentity::rejoin_above(Ms now, std::uint64_t incarnation, IncarnationReason reason) {
  if (left_) return;
  table_.self().incarnation = incarnation + 1;
  conflict_.set_displaced(false);
  Member& member = table_.local_member();
  table_.set_record(now, member, table_.self());
  gossip_.enqueue_record(member);
  events_.push({MembershipEvent::kNewIncarnation, table_.self().name, table_.self().incarnation,
                MemberState::kAlive, std::string(text_of(reason))});
}

void LocalIdentity::apply_floor(Ms now, std::uint64_t floor) {
  if (floor >= table_.self().incarnation) rejoin_above(now, floor, IncarnationReason::kForgottenByOthers);
}

void LocalIdentity::expire_conflict(Ms now) {
  if (!conflict_.is_expired(now)) return;
  events_.push({MembershipEvent::kNameConflictResolved, table_.self().name, conflict_.incarnation(),
                MemberState::kAlive, conflict_.address()});
  conflict_.clear();
}

}  // namespace cometfold::membership
