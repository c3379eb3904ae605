// How well a gateway is connected to its cluster, as concluded from the members that it reaches. Pure.
//
// No promise of a gateway to its clients may depend on another gateway's state: in each of these states it
// keeps serving by its own state. What each state implies:
//
//   connected    Nearly all known members are reachable, directly or through another one. A member that is
//                declared failed probably does not run or reaches no other. Nothing is certain about the
//                present state of other members.
//   degraded     A quarter or more are unreachable, or this process was itself paused or starved of late, or
//                another process has its name. Silent members probably fail, but part of the silence may be
//                this process's own.
//   partitioned  Less than half are reachable. This gateway declares no member failed: silent members stay
//                suspects, and after a long time are excluded from its own view alone. Others have probably
//                declared this one failed, so its incarnation may be over, and rights given to it may have
//                been taken back.
//   isolated     No other member is reachable, or none is known.
//
// A worse state takes effect at once, a better one only after it has lasted (hysteresis).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "cometfold/admission_controller.h"

namespace cometfold::membership {

// From best to worst.
enum class ConnectivityState : std::uint8_t { kConnected, kDegraded, kPartitioned, kIsolated };

struct ReachabilitySample {
  std::size_t known = 1, reachable = 1;  // members neither failed nor left, this one included
  bool local_fault = false;  // this process was paused or starved, or its name is in use elsewhere
};

class ConnectivityTracker {
 public:
  // `recovery_hold`: how long a better state has to last before it takes effect, in ms.
  explicit ConnectivityTracker(Ms recovery_hold) : recovery_hold_(recovery_hold) {}

  // The state that this sample alone implies.
  static ConnectivityState classify(const ReachabilitySample& sample);
  // Returns whether the state changed.
  bool update(Ms now, const ReachabilitySample& sample);
  ConnectivityState state() const { return state_; }
  Ms since() const { return since_; }
  // Whether this gateway may declare other members failed.
  bool may_declare_failed() const { return state_ <= ConnectivityState::kDegraded; }

 private:
  // A better state that has not lasted long enough yet.
  struct Recovery {
    Ms since;
    ConnectivityState worst;  // of the samples since then
  };

  bool enter(Ms now, ConnectivityState state);

  Ms recovery_hold_;
  ConnectivityState state_ = ConnectivityState::kIsolated;
  Ms since_ = 0;
  std::optional<Recovery> recovery_;
};

}  // namespace cometfold::membership
