// Assigns the observers of each member by consistent hashing on several rings, so that gateways that know the
// same members assign the same observers (Suresh et al., "Stable and Consistent Membership at Scale with
// Rapid", 2018).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/member.h"

namespace cometfold::membership {

class ObserverRings {
 public:
  // `count` is the number of rings; each ring assigns at most one observer to each member.
  explicit ObserverRings(std::size_t count) : rings_(count) {}

  // Reassigns the observers of all members. Inactive members get none.
  void assign(std::map<std::string, Member>& members);
  // Drops the rings' pointers to members. Must be called before active members are destroyed.
  void clear() { rings_.assign(rings_.size(), {}); }
  std::size_t memory_bytes_per_member() const { return rings_.size() * sizeof(RingPosition); }

 private:
  struct RingPosition {
    std::uint64_t hash;
    Member* member;
  };
  using Ring = std::vector<RingPosition>;

  static Ring build(std::map<std::string, Member>& members, std::size_t ring_number);
  static Member* successor(const Ring& ring, std::size_t ring_number, const Member& member);
  void assign_observers(Member& member) const;

  std::vector<Ring> rings_;
};

}  // namespace cometfold::membership
