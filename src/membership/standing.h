// What a gateway may conclude from whom it hears. Pure.
//
// For whoever builds on this: nothing that a gateway owes its clients may depend on another's state. In every
// standing a gateway serves on by what is its own. What holds and what is only likely:
//
//   together   Of those it knows, nearly all are heard, by itself or by one that it hears. Likely: whoever is
//              called failed does not run or reaches nobody. Sure: nothing about the others' present.
//   doubtful   A quarter or more are not heard, or this process was itself stopped or starved of late, or
//              another has its name. Likely: the silent ones fail, but some of the silence may be its own.
//   cut off    Less than half are heard. Nobody is called failed on its word: the silent stay suspects, and
//              are dropped from its view after long, which binds nobody else. Likely: others have called this
//              one failed. Sure: its start number may be over, so rights given to it may have been taken
//              back.
//   alone      Nobody is heard, or nobody is known.
//
// Getting worse shows at once, getting better only after it has lasted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::membership {

enum class ConnectivityState : std::uint8_t { kConnected, kDegraded, kPartitioned, kIsolated };

constexpr std::string_view name_of(ConnectivityState s) {
  constexpr std::string_view kNames[] = {"together", "doubtful", "cut-off", "alone"};
  return kNames[static_cast<std::size_t>(s)];
}

struct ReachabilitySample {
  std::size_t known = 1, reachable = 1;  // members neither failed nor left, this one included
  bool local_fault = false;              // it was stopped or starved, or its name is another's
};

class ConnectivityTracker {
 public:
  explicit ConnectivityTracker(Ms better_after) : better_after_(better_after) {}

  // What this hearing alone says.
  static ConnectivityState classify(const ReachabilitySample& hearing);
  // True if the standing changed.
  bool update(Ms now, const ReachabilitySample& hearing);
  ConnectivityState state() const { return now_; }
  Ms since() const { return since_; }
  // May this one's word make another failed?
  bool may_declare_failed() const { return now_ <= ConnectivityState::kDegraded; }

 private:
  Ms better_after_;
  ConnectivityState now_ = ConnectivityState::kIsolated;
  Ms since_ = 0;
  Ms better_since_ = -1;  // less than 0: it is not better than it stands
  ConnectivityState worst_lately_ = ConnectivityState::kConnected;
};

}  // namespace cometfold::membership
