#include "membership/suspicions.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "membership/faults.h"

namespace cometfold::membership {

namespace {

constexpr std::size_t kMaxSuspicionsPerMember = 16;
// A withdrawal is kept for as long as a late copy of the suspicion may still be valid.
constexpr Ms kWithdrawalRetentionMs = kMaxSuspicionMs;

}  // namespace

void Suspicions::receive(Ms now, const Suspicion& suspicion) {
  if (suspicion.suspector == table_.self().name) return;
  Member* member = table_.find(suspicion.name);
  const Member* suspector = table_.find(suspicion.suspector);
  if (!member || !suspector || !is_active(*member) || !is_active(*suspector)) return;
  const bool same_member = member->record.incarnation == suspicion.incarnation &&
                           member->record.process_nonce == suspicion.process_nonce;
  if (!same_member || suspector->record.incarnation != suspicion.suspector_incarnation) return;
  StoredSuspicion stored;
  stored.suspector = suspicion.suspector;
  stored.suspector_incarnation = suspicion.suspector_incarnation;
  stored.version = suspicion.version;
  stored.expires_at = now + std::min(suspicion.valid_for_ms, kMaxSuspicionMs);
  stored.withdrawn = suspicion.valid_for_ms <= 0;
  store(now, *member, std::move(stored));
}

void Suspicions::raise(Ms now, Member& member, Ms valid_for) {
  store(now, member,
        {table_.self().name, table_.self().incarnation, ++last_version_, now + valid_for, false});
}

void Suspicions::withdraw(Ms now, Member& member) {
  store(now, member, {table_.self().name, table_.self().incarnation, ++last_version_, now, true});
}

void Suspicions::store(Ms now, Member& member, StoredSuspicion suspicion) {
  if (suspicion.withdrawn) suspicion.expires_at = now + kWithdrawalRetentionMs;
  auto& stored = member.suspicions;
  const auto previous = std::find_if(stored.begin(), stored.end(), [&](const StoredSuspicion& other) {
    return other.suspector == suspicion.suspector;
  });
  if (previous == stored.end()) {
    // If gateways that have forgotten the suspicion stored its withdrawal, the withdrawal would circulate
    // forever.
    if (suspicion.withdrawn) return;
    if (stored.size() >= kMaxSuspicionsPerMember) stored.erase(stored.begin());
    stored.push_back(std::move(suspicion));
  } else {
    const auto order = [](const StoredSuspicion& one) {
      return std::pair{one.suspector_incarnation, one.version};
    };
    if (order(*previous) >= order(suspicion)) return;
    *previous = std::move(suspicion);
  }
  gossip_.enqueue_suspicions(member);
  table_.update_state(now, member);
}

bool Suspicions::is_suspected_by(Ms now, const std::string& suspector, const Member& member) const {
  return std::any_of(member.suspicions.begin(), member.suspicions.end(),
                     [&](const StoredSuspicion& suspicion) {
                       return suspicion.suspector == suspector && table_.is_current(now, suspicion);
                     });
}

bool Suspicions::has_quorum(Ms now, const Member& member) const {
  const std::size_t count = table_.current_suspicions(now, member);
  if (mutant(Mutant::kNoSuspicionQuorum)) return count > 0;
  const std::size_t majority = member.observers.size() / 2 + 1;
  return !member.observers.empty() && count >= std::min(settings_.suspicion_quorum, majority);
}

}  // namespace cometfold::membership
