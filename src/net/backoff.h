// Backoff between connections to discovery. Without I/O.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cometfold::net {

// How a connection to discovery ended.
enum class WatchResult : std::uint8_t {
  kReceivedData,
  kFailed,    // nothing valid was received: discovery is down, silent or sends malformed data
  kRejected,  // discovery is up, but answered with a status other than 200 or closed without a response
};

// Exponential backoff that depends on how the last call ended and on how many gateways call the same
// discovery.
//
// Gateways that are rejected at the same time must spread their retries, or these exceed discovery's capacity
// again each time. So the delay before the first call and the delays after a rejection grow with the fleet.
// When discovery is down nothing is overloaded, so those delays stay short. All are bounded, as a change must
// reach each gateway within 6 s.
class Backoff {
 public:
  // `gateway_count`: how many gateways call the same discovery, this one included; limited to 1 to
  // `kMaxGateways`.
  explicit Backoff(double gateway_count = 1) : gateway_count_(std::clamp(gateway_count, 1.0, kMaxGateways)) {}

  // For a discovery agent on this machine that no other gateway calls: all delays are short.
  static Backoff for_local_agent() {
    Backoff backoff;
    backoff.local_agent_ = true;
    return backoff;
  }

  // Upper bound of the delay before the first call of a gateway that already has a list; the caller draws it
  // uniformly, from 0.
  std::chrono::milliseconds max_initial_delay() const {
    const double delay_ms = kInitialDelayPerGatewayMs * std::max(gateway_count_ - kSmallFleet, 0.0);
    return std::min(std::chrono::milliseconds(static_cast<long>(delay_ms)), kMaxInitialDelay);
  }

  // The mean of the next delay; the caller draws uniformly from half to one and a half of it.
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

  // Up to this number of gateways the first calls are not spread.
  static constexpr double kSmallFleet = 16;
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
