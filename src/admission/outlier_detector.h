// Ejects hosts that fail most of their attempts.
#pragma once

#include "admission/host_table.h"

namespace cometfold::admission {

// The hosts outlive the object.
class OutlierDetector {
 public:
  explicit OutlierDetector(HostTable& hosts) : hosts_(hosts) {}

  // Records the outcome of an attempt; true if the host is ejected for it.
  bool record(Host& host, bool failed, Ms now);

  // After the ejection one attempt at a time is sent until the failure rate has fallen.
  bool is_ejected(const Host& host, Ms now) const {
    if (now < host.ejected_until) return true;
    const bool on_trial = host.ejected_until > 0 && host.failure_rate > kRecoveredFailureRate;
    return on_trial && host.live_attempts() >= 1;
  }

  // What another gateway knew of the host. `ejection_remaining`: not above the longest ejection.
  void restore(Host& host, double failure_rate, Ms ejection_remaining, Ms now) const;

 private:
  static constexpr double kEjectionFailureRate = 0.6;
  static constexpr double kRecoveredFailureRate = kEjectionFailureRate / 2;

  bool may_eject_one_more(const Host& host, Ms now) const;

  HostTable& hosts_;
};

}  // namespace cometfold::admission
