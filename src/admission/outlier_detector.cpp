#include "admission/outlier_detector.h"

namespace cometfold::admission {
namespace {

constexpr double kFailureGain = 0.2;         // weight of one outcome in a host's failure rate
constexpr double kMaxEjectedFraction = 0.5;  // of the hosts; if more fail, the cause is elsewhere
constexpr Ms kMaxEjectionMs = 8000;          // each ejection is twice as long as the previous one, up to this

}  // namespace

bool OutlierDetector::record(Host& host, bool failed, Ms now) {
  hosts_.decay(host, now);
  host.failure_rate += kFailureGain * ((failed ? 1 : 0) - host.failure_rate);
  if (!failed) {
    if (host.failure_rate < kRecoveredFailureRate) {
      host.ejected_until = 0;
      host.next_ejection_ms = kFirstEjectionMs;
    }
    return false;
  }
  if (host.failure_rate < kEjectionFailureRate || now < host.ejected_until) return false;
  if (!may_eject_one_more(host, now)) return false;
  host.ejected_until = now + host.next_ejection_ms;
  host.next_ejection_ms = std::min(host.next_ejection_ms * 2, kMaxEjectionMs);
  return true;
}

bool OutlierDetector::may_eject_one_more(const Host& host, Ms now) const {
  double usable = 1;
  double ejected = 1;
  for (const auto& [id, other] : hosts_) {
    if (!other.is_usable()) continue;
    usable += 1;
    if (&other != &host && now < other.ejected_until) ejected += 1;
  }
  return ejected <= kMaxEjectedFraction * usable;
}

void OutlierDetector::restore(Host& host, double failure_rate, Ms ejection_remaining, Ms now) const {
  host.failure_rate = std::min(finite_or(failure_rate, 0), 1.0);
  const Ms remaining = std::min(finite_or(ejection_remaining, 0), kMaxEjectionMs);
  if (remaining > 0) host.ejected_until = now + remaining;
}

}  // namespace cometfold::admission
