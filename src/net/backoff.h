// How long a caller of discovery waits before it calls again. Pure.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cometfold::net {

// What has become of a watch that is over.
enum class WatchEnd : std::uint8_t {
  kHeard,       // it had told something
  kBroken,      // it told nothing: not up, silent, not to be read
  kTurnedAway,  // the other side has said that it can't now
};

// Danger: a fleet that starts together and is turned away comes back together. With one bound for all, 48
// gateways made 27 calls a second for ever and none got through. One that was turned away therefore waits
// much longer each time; one whose agent is down does not, as the list is missed and nobody is pressed.
//
// Danger: discovery works on calls whose callers have gone, so a hundred that come at once leave it seconds
// behind, and all that come back before it has caught up make it seconds more: of 70 restarted together half
// knew nothing new for 16 s. So the first calls of a large fleet are spread, and who is turned away comes
// back after a time that grows with the fleet. Danger: a change counts as told 6 s after discovery had it; of
// 321 gateways some waited 24 s and sent to hosts that drain. So both times are bounded.
class Backoff {
 public:
  // `gateway_count` call the same discovery; from 1.
  explicit Backoff(double gateways = 1) : fleet_(std::clamp(gateways, 1.0, kMostGateways)) {}

  // Danger: what an agent on this machine has counts as told, and nobody else presses it: a gateway that
  // waits a second and more with its call sends to hosts that drain. So no pause is long, whatever the watch
  // died of.
  static Backoff for_agent() {
    Backoff backoff;
    backoff.agent_ = true;
    return backoff;
  }

  // The first call of one that has a list is drawn evenly from nothing to this.
  std::chrono::milliseconds spread() const {
    const double span = 60 * std::max(fleet_ - kFewGateways, 0.0);
    return std::min(std::chrono::milliseconds(static_cast<long>(span)), kLongestSpread);
  }

  // The pause is drawn evenly between half and one and a half of what this gives, in milliseconds.
  std::chrono::milliseconds next(WatchEnd end) {
    if (agent_) {
      pause_ = end == WatchEnd::kHeard ? kFirst : kLongestAgent;
    } else if (end == WatchEnd::kHeard) {
      pause_ = kFirst;
    } else if (end == WatchEnd::kTurnedAway) {
      const std::chrono::milliseconds turn(static_cast<long>(50 * fleet_));  // of the whole fleet
      pause_ = std::clamp(pause_ * 4, std::min(turn, kLongestAway), kLongestAway);
    } else {
      pause_ = std::min(pause_ * 2, kLongest);
    }
    return pause_;
  }

  static constexpr double kFewGateways = 16, kMostGateways = 1000;
  static constexpr std::chrono::milliseconds kFirst{50}, kLongest{1000}, kLongestAway{2400},
      kLongestSpread{3500}, kLongestAgent{100};

 private:
  double fleet_;
  bool agent_ = false;
  std::chrono::milliseconds pause_ = kFirst;
};

}  // namespace cometfold::net
