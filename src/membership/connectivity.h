// Classifies a gateway's connectivity to its cluster by the members that it reaches. No I/O, no clock.
//
// No guarantee of a gateway to its clients may depend on another gateway's state: in every connectivity state
// the gateway keeps serving by its local state. What each connectivity state implies:
//
//   connected    More than three quarters of the known members are reachable, directly or through another
//                member. A member that is declared failed probably does not run or reaches no other member.
//                Nothing is certain about the current state of other members.
//   degraded     A quarter or more are unreachable, or this process was recently paused or starved of CPU, or
//                another process uses its name. Silent members have probably failed, but some may only seem
//                silent because of a fault of this process.
//   partitioned  Less than half are reachable. This gateway declares no member failed: silent members stay
//                suspects, and after a long time are excluded from the local view only. Others have probably
//                declared this gateway failed, so its incarnation may have ended, and rights given to it may
//                have been revoked.
//   isolated     No other member is reachable, or none is known.
//
// A worse state takes effect at once, a better one only after it has lasted for a while (hysteresis).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "cometfold/admission_controller.h"

namespace cometfold::membership {

// From best to worst.
enum class ConnectivityState : std::uint8_t { kConnected, kDegraded, kPartitioned, kIsolated };

struct ReachabilitySample {
  std::size_t known = 1, reachable = 1;  // members neither failed nor left, including this gateway
  bool local_fault = false;  // this process was paused or starved of CPU, or another one uses its name
};

class ConnectivityTracker {
 public:
  // `recovery_hold`: how long a better state has to last before it takes effect, in ms.
  explicit ConnectivityTracker(Ms recovery_hold) : recovery_hold_(recovery_hold) {}

  // The state that this sample implies on its own, without hysteresis.
  static ConnectivityState classify(const ReachabilitySample& sample);
  // Takes a new sample. Returns whether the state changed.
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
