#include "admission/retry_observer.h"

namespace cometfold::admission {
namespace {

constexpr Ms kMemoryMs = 60'000;
constexpr double kSameGatewayFraction = 0.37;  // of retries, as a load balancer spreads them over gateways
constexpr double kPriorRetryFraction = 0.3;    // estimate before any first request was counted
constexpr double kPriorSamples = 6;            // weight of the prior, in first requests

}  // namespace

void RetryObserver::on_request(FirstRequest& first, bool starts_sequence, Ms return_window_ms, Ms now) {
  if (now - first.at < return_window_ms) group_of(first).returns += 1;
  first.at = -kInfiniteMs;
  if (!starts_sequence) return;
  first.at = now;
  first.admitted = false;
  rejected_.first_requests += 1;
}

void RetryObserver::on_admitted(FirstRequest& first, Ms now) {
  if (first.at != now || first.admitted) return;
  first.admitted = true;
  rejected_.first_requests -= 1;
  admitted_.first_requests += 1;
}

void RetryObserver::on_tick() {
  for (Group* group : {&rejected_, &admitted_}) {
    group->first_requests *= decay_factor(kTickIntervalMs, kMemoryMs);
    group->returns *= decay_factor(kTickIntervalMs, kMemoryMs);
  }
}

double RetryObserver::retry_fraction() const {
  const double after_rejection =
      (rejected_.returns + kPriorSamples * kPriorRetryFraction * kSameGatewayFraction) /
      (rejected_.first_requests + kPriorSamples);
  const double after_admission = admitted_.returns / (admitted_.first_requests + kPriorSamples);
  return std::clamp((after_rejection - after_admission) / kSameGatewayFraction, 0.0, 1.0);
}

}  // namespace cometfold::admission
