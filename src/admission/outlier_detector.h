// Ejects hosts that fail most of their attempts.
#pragma once

#include "admission/host_table.h"

namespace cometfold::admission {

// The hosts must outlive the object.
class OutlierDetector {
 public:
  explicit OutlierDetector(HostTable& hosts) : hosts_(hosts) {}

  // Records the outcome of an attempt. Returns true if the host is ejected because of it.
  bool record(Host& host, bool failed, Ms now);

  // After an ejection only one attempt at a time is sent until the failure rate has recovered.
  bool is_ejected(const Host& host, Ms now) const {
    if (now < host.ejected_until) return true;
    const bool on_trial = host.ejected_until > 0 && host.failure_rate > kRecoveredFailureRate;
    return on_trial && host.live_attempts() >= 1;
  }

  // Restores the state that the predecessor handed over. `ejection_remaining` is limited to the maximum
  // ejection time.
  void restore(Host& host, double failure_rate, Ms ejection_remaining, Ms now) const;

 private:
  static constexpr double kEjectionFailureRate = 0.6;
  static constexpr double kRecoveredFailureRate = kEjectionFailureRate / 2;

  bool may_eject_one_more(const Host& host, Ms now) const;

  HostTable& hosts_;
};

}  // namespace cometfold::admission
