// How long a caller of discovery waits before it calls again. Without I/O.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cometfold::net {

// How a connection to discovery ended.
enum class WatchResult : std::uint8_t {
  kReceivedData,
  kFailed,    // nothing was received: discovery is down, silent or not to be understood
  kRejected,  // discovery is up and does not answer now
};

// Exponential backoff that depends on how the last call ended and on how many gateways call the same
// discovery.
//
// A fleet that is rejected together must spread out, or its calls exceed what discovery takes each time: the
// first calls of a large fleet and the delays after a rejection grow with the fleet. Where discovery is down
// nobody is overloaded, so those delays stay short. All are bounded, as a change must reach each gateway
// within 6 s.
class Backoff {
 public:
  // `gateway_count`: that call the same discovery, from 1.
  explicit Backoff(double gateway_count = 1) : gateway_count_(std::clamp(gateway_count, 1.0, kMaxGateways)) {}

  // For an agent on this machine, which no other gateway calls: all delays are short.
  static Backoff for_local_agent() {
    Backoff backoff;
    backoff.local_agent_ = true;
    return backoff;
  }

  // The first call of a gateway that has a list already is made after a time drawn evenly from 0 to this.
  std::chrono::milliseconds max_initial_delay() const {
    const double delay_ms = kInitialDelayPerGatewayMs * std::max(gateway_count_ - kSmallFleet, 0.0);
    return std::min(std::chrono::milliseconds(static_cast<long>(delay_ms)), kMaxInitialDelay);
  }

  // The mean of the next delay, which is drawn evenly between half and one and a half of it.
  std::chrono::milliseconds next_delay(WatchResult result) {
    if (local_agent_) {
      delay_ = result == WatchResult::kReceivedData ? kMinDelay : kMaxLocalAgentDelay;
    } else if (result == WatchResult::kReceivedData) {
      delay_ = kMinDelay;
    } else if (result == WatchResult::kRejected) {
      delay_ = std::clamp(delay_ * kRejectedGrowth, min_rejected_delay(), kMaxRejectedDelay);
    } else {
      delay_ = std::min(delay_ * kFailedGrowth, kMaxDelay);
    }
    return delay_;
  }

  static constexpr double kSmallFleet = 16;  // gateways; up to so many need not spread their first calls
  static constexpr double kMaxGateways = 1000;
  static constexpr std::chrono::milliseconds kMinDelay{50};
  static constexpr std::chrono::milliseconds kMaxDelay{1000};
  static constexpr std::chrono::milliseconds kMaxRejectedDelay{2400};
  static constexpr std::chrono::milliseconds kMaxInitialDelay{3500};
  static constexpr std::chrono::milliseconds kMaxLocalAgentDelay{100};

 private:
  static constexpr double kInitialDelayPerGatewayMs = 60;
  static constexpr double kRejectedDelayPerGatewayMs = 50;
  static constexpr int kRejectedGrowth = 4;
  static constexpr int kFailedGrowth = 2;

  std::chrono::milliseconds min_rejected_delay() const {
    const std::chrono::milliseconds whole_fleet(
        static_cast<long>(kRejectedDelayPerGatewayMs * gateway_count_));
    return std::min(whole_fleet, kMaxRejectedDelay);
  }

  double gateway_count_;
  bool local_agent_ = false;
  std::chrono::milliseconds delay_ = kMinDelay;
};

}  // namespace cometfold::net
