// Measures the load of the hosts and sheds the requests of least value.
#pragma once

#include <deque>
#include <vector>

#include "admission/concurrency_limiter.h"
#include "admission/outlier_detector.h"
#include "admission/overload_statistics.h"
#include "admission/random_source.h"

namespace cometfold::admission {

// All referenced objects must outlive this one.
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
  // Records the latency of an answered request and its latency objective, both in milliseconds.
  void record_latency(Ms latency, Ms objective);
  // Samples the utilization. Called when a request arrives.
  void measure_utilization(Ms now);

  // Whether the mean latency is too close to the objectives, or the fleet rejects attempts.
  bool is_overloaded() const;
  // Whether hosts are loaded enough to enforce quotas: the fleet is overloaded, or the expected latency takes
  // a significant part of the objective.
  bool is_under_pressure() const;

  // Host time per unit of this class, in milliseconds.
  double work_per_unit(std::uint32_t class_index) const;
  // Whether to shed a request, by its rank among the last requests. `value_per_work` is its value per ms of
  // host time, `work` its host time in ms.
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
  double relative_latency_ = 0;              // mean latency relative to the objectives
  double utilization_ = 0;                   // smoothed fraction of the hosts' limits in use
  Ms request_interval_ = 0;                  // mean time between requests
  Ms measured_at_ = 0;
};

}  // namespace cometfold::admission
