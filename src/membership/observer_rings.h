// Which members monitor which, so that all gateways that know the same members choose the same observers:
// rings of consistent hashes as in Suresh et al., "Stable and Consistent Membership at Scale with Rapid",
// 2018.
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
  // One ring, and up to one observer of each member, for each of `count`.
  explicit ObserverRings(std::size_t count) : rings_(count) {}

  // Sets the observers of all members anew; members that are not active have none.
  void assign(std::map<std::string, Member>& members);
  // To be called before members are destroyed.
  void clear() { rings_.assign(rings_.size(), {}); }
  std::size_t memory_bytes_per_member() const { return rings_.size() * sizeof(Place); }

 private:
  struct Place {
    std::uint64_t hash;
    Member* member;
  };
  using Ring = std::vector<Place>;

  static Ring build(std::map<std::string, Member>& members, std::size_t ring_number);
  static Member* successor(const Ring& ring, std::size_t ring_number, const Member& member);
  void assign_observers(Member& member) const;

  std::vector<Ring> rings_;
};

}  // namespace cometfold::membership
