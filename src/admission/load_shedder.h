// Measures how loaded the hosts are, and sheds the requests of least value.
#pragma once

#include <deque>
#include <vector>

#include "admission/concurrency_limiter.h"
#include "admission/outlier_detector.h"
#include "admission/overload_statistics.h"
#include "admission/random_source.h"

namespace cometfold::admission {

// All referenced objects outlive this one.
class LoadShedder {
 public:
  struct Parts {
    const AdmissionSettings& settings;
    HostTable& hosts;
    const LatencyStatistics& latency;
    const ConcurrencyLimiter& limiter;
    const OutlierDetector& outliers;
    const OverloadStatistics& overload;
    RandomSource& random;
  };
  explicit LoadShedder(const Parts& parts) : parts_(parts) {}

  void start(Ms now) { measured_at_ = now; }
  void on_settings_changed() { class_units_.resize(parts_.settings.classes.size(), 1); }

  void record_request(const Request& request);
  // A request was answered in `latency` ms, against its latency objective in ms.
  void record_latency(Ms latency, Ms objective);
  // Measures the utilization when a request has come.
  void measure_utilization(Ms now);

  // Whether answers come too late on the whole, or the fleet rejects attempts.
  bool is_overloaded() const;
  // Whether hosts are so loaded that quotas bind: overloaded, or queueing takes a good part of the objective.
  bool is_pressed() const;

  // Host time that a unit of this class takes, in milliseconds.
  double work_per_unit(std::uint32_t class_index) const;
  // Whether to shed a request of this value for each ms of host time and this much host time (ms), by its
  // rank among the last requests.
  bool should_shed(double value_per_work, double work);

 private:
  struct RankedRequest {
    double value_per_work;
    double work;
  };
  double shed_fraction() const;
  double rank(double value_per_work, double tie_breaker) const;

  Parts parts_;
  std::vector<double> class_units_;          // mean units of a request, by class
  std::deque<RankedRequest> last_requests_;  // oldest first
  double relative_latency_ = 0;              // mean latency against the objectives
  double utilization_ = 0;                   // smoothed part of all limits in use
  Ms request_interval_ = 0;                  // mean time between requests
  Ms measured_at_ = 0;
};

}  // namespace cometfold::admission
