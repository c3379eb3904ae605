#include "membership/observer_rings.h"

#include <algorithm>
#include <tuple>

#include "membership/hash.h"

namespace cometfold::membership {

void ObserverRings::assign(std::map<std::string, Member>& members) {
  for (std::size_t number = 0; number < rings_.size(); ++number) rings_[number] = build(members, number);
  for (auto& [name, member] : members) {
    member.observers.clear();
    if (is_active(member)) assign_observers(member);
  }
}

ObserverRings::Ring ObserverRings::build(std::map<std::string, Member>& members, std::size_t ring_number) {
  Ring ring;
  for (auto& [name, member] : members) {
    if (is_active(member)) ring.push_back({ring_hash(member.name_hash, ring_number), &member});
  }
  std::sort(ring.begin(), ring.end(), [](const RingPosition& one, const RingPosition& other) {
    return std::tie(one.hash, one.member->record.name) < std::tie(other.hash, other.member->record.name);
  });
  return ring;
}

void ObserverRings::assign_observers(Member& member) const {
  for (std::size_t number = 0; number < rings_.size(); ++number) {
    if (Member* observer = successor(rings_[number], number, member)) member.observers.push_back(observer);
  }
}

// The next member after `member` on the ring that does not observe it already.
Member* ObserverRings::successor(const Ring& ring, std::size_t ring_number, const Member& member) {
  const auto after =
      std::upper_bound(ring.begin(), ring.end(), ring_hash(member.name_hash, ring_number),
                       [](std::uint64_t hash, const RingPosition& position) { return hash < position.hash; });
  const auto first = static_cast<std::size_t>(after - ring.begin());
  for (std::size_t step = 0; step < ring.size(); ++step) {
    Member* candidate = ring[(first + step) % ring.size()].member;
    const auto& observers = member.observers;
    const bool taken = std::find(observers.begin(), observers.end(), candidate) != observers.end();
    if (candidate != &member && !taken) return candidate;
  }
  return nullptr;
}

}  // namespace cometfold::membership
