// Chooses the host of each attempt, and hosts for health checks.
#pragma once

#include <optional>

#include "admission/concurrency_limiter.h"
#include "admission/outlier_detector.h"
#include "admission/overload_statistics.h"
#include "admission/pending_request.h"
#include "admission/random_source.h"

namespace cometfold::admission {

// All referenced objects outlive this one.
class HostSelector {
 public:
  struct Parts {
    const AdmissionSettings& settings;
    HostTable& hosts;
    const LatencyStatistics& latency;
    const OutlierDetector& outliers;
    const SlowStart& slow_start;
    const ConcurrencyLimiter& limiter;
    const OverloadStatistics& overload;
    RandomSource& random;
  };
  explicit HostSelector(const Parts& parts) : parts_(parts) {}

  // The host of least expected cost that the constraint allows and that is below its limit; null if there is
  // none. Hosts that were tried or are ejected are taken only where no other is left.
  Host* select(const PendingRequest& pending, const RetryConstraint<Attempt>& constraint, Ms now) const;

  // A host whose load should be asked for now, if any: the one of two random hosts whose report is older, if
  // it has not answered lately either.
  std::optional<HostId> select_for_health_check(Ms now) const;

  // Whether the request could go to a usable host where it was not sent.
  bool has_untried_host(const PendingRequest& pending, Ms now) const;

 private:
  struct Search {
    const PendingRequest& pending;
    const RetryConstraint<Attempt>& constraint;
    const Host* warming_up;  // the only one of those that warm up that may be taken
    Ms target_latency;
    Ms now;
  };
  Host* cheapest(const Search& search, bool last_resort) const;
  double expected_cost(Host& host, const Request& request, Ms now) const;

  Parts parts_;
};

}  // namespace cometfold::admission
