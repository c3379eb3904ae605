#include "membership/reachability.h"

#include <cstddef>
#include <string>

#include "membership/faults.h"
#include "membership/state_names.h"

namespace cometfold::membership {

Reachability::Reachability(const MembershipSettings& settings, MemberTable& table,
                           const Suspicions& suspicions, GossipQueue& gossip, EventQueue& events,
                           MembershipMetrics& metrics)
    : settings_(settings),
      table_(table),
      suspicions_(suspicions),
      gossip_(gossip),
      events_(events),
      metrics_(metrics),
      connectivity_(settings.recovery_hold_ms) {}

void Reachability::update(Ms now, Ms contact_window, bool local_fault) {
  if (!update_direct(now, contact_window)) spread_through_observers(now);
  ReachabilitySample sample{0, 0, local_fault};
  for (auto& [name, member] : table_.members()) {
    if (!is_active(member)) continue;
    ++sample.known;
    sample.reachable += member.reachable;
    if (member.reachable) {
      member.unreachable_since = kUnset;
    } else if (member.unreachable_since < 0) {
      member.unreachable_since = now;
    }
    table_.update_state(now, member);
  }
  if (!connectivity_.update(now, sample)) return;
  events_.push({MembershipEvent::kConnectivityChanged, table_.self().name, table_.self().incarnation,
                MemberState::kAlive, std::string(name_of(connectivity_.state()))});
}

bool Reachability::update_direct(Ms now, Ms contact_window) {
  const std::string& self = table_.self().name;
  bool all = true;
  for (auto& [name, member] : table_.members()) {
    if (!is_active(member)) continue;
    std::erase_if(member.suspicions, [&](const StoredSuspicion& stored) { return stored.expires_at <= now; });
    member.reachable = name == self || (now - member.last_contact_at <= contact_window &&
                                        !suspicions_.is_suspected_by(now, self, member) &&
                                        !suspicions_.has_quorum(now, member));
    all &= member.reachable;
  }
  return all;
}

void Reachability::spread_through_observers(Ms now) {
  bool changed = true;
  while (changed) {
    changed = false;
    for (auto& [name, member] : table_.members()) {
      if (!is_active(member) || member.reachable || suspicions_.has_quorum(now, member)) continue;
      member.reachable = reached_through_observers(now, member);
      changed |= member.reachable;
    }
  }
}

// A member is reachable through its reachable observers if at most half of them suspect it. One observer that
// does not suspect it is not enough: a single suspicion that has not arrived yet would make a whole side of a
// partition seem reachable, from observer to observer.
bool Reachability::reached_through_observers(Ms now, const Member& member) const {
  std::size_t supporting = 0;
  std::size_t suspecting = 0;
  for (const Member* observer : member.observers) {
    if (!observer->reachable) continue;
    const bool suspects = suspicions_.is_suspected_by(now, observer->record.name, member);
    ++(suspects ? suspecting : supporting);
  }
  return supporting > 0 && supporting >= suspecting;
}

void Reachability::declare_failures(Ms now) {
  const bool may_declare =
      connectivity_.may_declare_failed() || mutant(Mutant::kDeclaresFailuresWhilePartitioned);
  for (auto& [name, member] : table_.members()) {
    if (!is_active(member) || name == table_.self().name) continue;
    if (!suspicions_.has_quorum(now, member)) {
      member.quorum_since = kUnset;
    } else if (member.quorum_since < 0) {
      member.quorum_since = now;
    }
    const bool quorum_holds =
        member.quorum_since >= 0 && now - member.quorum_since >= settings_.quorum_hold_ms;
    const bool timed_out =
        member.unreachable_since >= 0 && now - member.unreachable_since >= settings_.unreachable_timeout_ms;
    if ((quorum_holds || timed_out) && may_declare) {
      declare_failed(now, member);
    } else if (timed_out) {
      table_.exclude_locally(now, member);
    }
  }
}

void Reachability::declare_failed(Ms now, Member& member) {
  ++metrics_.members_failed;
  MemberRecord failed = member.record;
  failed.status = MemberStatus::kFailed;
  failed.age_ms = 0;
  failed.reported_by = table_.self().name;
  table_.set_record(now, member, failed);
  gossip_.enqueue_record(member);
}

}  // namespace cometfold::membership
