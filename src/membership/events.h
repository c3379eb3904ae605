// Events that membership reports to its embedder: changes of members, of connectivity and of the local
// identity.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "membership/member_view.h"

namespace cometfold::membership {

struct MembershipEvent {
  enum Kind : std::uint8_t {
    kMemberChanged,        // `name` at `incarnation` entered `state`; no event when a member is forgotten
    kConnectivityChanged,  // `detail` is the name of the new state
    kNewIncarnation,       // this gateway has taken a new incarnation; `detail` is the reason
    kNameConflict,         // another process uses this gateway's name; `detail` is its address
    kNameConflictResolved,
    kProcessPaused,  // this process was paused for `detail` milliseconds
  };
  Kind kind = kMemberChanged;
  std::string name;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  std::string detail;
};

// Holds events until the embedder takes them. Events beyond `capacity` are dropped.
class EventQueue {
 public:
  explicit EventQueue(std::size_t capacity) : capacity_(capacity) {}

  void push(MembershipEvent event) {
    if (events_.size() < capacity_) events_.push_back(std::move(event));
  }
  std::vector<MembershipEvent> take() { return std::exchange(events_, {}); }

 private:
  std::size_t capacity_;
  std::vector<MembershipEvent> events_;
};

}  // namespace cometfold::membership
