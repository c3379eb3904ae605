// How long a caller of discovery waits before it calls again. Pure.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace thistlepond::net {

// What has become of a watch that is over.
enum class WatchEnd : std::uint8_t {
  kHeard,       // it had told something
  kBroken,      // it told nothing: not up, silent, not to be read
  kTurnedAway,  // the other side has said that it can't now
};

// Danger: a fleet that starts together and is turned away comes back together. With one bound for all, 48
// gateways made 27 calls a second for ever and none got through. One that was turned away therefore waits
// much longer each time; one whose agent is down does not, as the list is missed and nobody is pressed.
class Backoff {
 public:
  // The pause is drawn evenly between half and one and a half of what this gives, in milliseconds.
  std::chrono::milliseconds next(WatchEnd end) {
    if (end == WatchEnd::kHeard) {
      pause_ = kFirst;
    } else if (end == WatchEnd::kTurnedAway) {
      pause_ = std::min(pause_ * 4, kLongestAway);
    } else {
      pause_ = std::min(pause_ * 2, kLongest);
    }
    return pause_;
  }

  static constexpr std::chrono::milliseconds kFirst{50}, kLongest{1000}, kLongestAway{6000};

 private:
  std::chrono::milliseconds pause_ = kFirst;
};

}  // namespace thistlepond::net
