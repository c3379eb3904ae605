// Selects the host for each attempt and the hosts for health checks.
#pragma once

#include <optional>

#include "admission/concurrency_limiter.h"
#include "admission/outlier_detector.h"
#include "admission/overload_statistics.h"
#include "admission/pending_request.h"
#include "admission/random_source.h"

namespace cometfold::admission {

// All referenced objects must outlive this one.
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

  // Returns the host of least expected cost that the constraint allows and that is below its limit, or null.
  // Hosts that were already tried or are ejected are selected only if there is no other.
  Host* select(const PendingRequest& pending, const RetryConstraint<Attempt>& constraint, Ms now) const;

  // Returns a host that needs a health check now, if any: of two random hosts the one with the older load
  // report, unless it has answered recently.
  std::optional<HostId> select_for_health_check(Ms now) const;

  // Whether there is a usable host that the request was not sent to and that is not ejected.
  bool has_untried_host(const PendingRequest& pending, Ms now) const;

 private:
  struct Search {
    const PendingRequest& pending;
    const RetryConstraint<Attempt>& constraint;
    const Host* warming_up;  // the only warming-up host that may be selected; null if none
    Ms target_latency;
    Ms now;
  };
  Host* cheapest(const Search& search, bool last_resort) const;
  double expected_cost(Host& host, const Request& request, Ms now) const;

  Parts parts_;
};

}  // namespace cometfold::admission
