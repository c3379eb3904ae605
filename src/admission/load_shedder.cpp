#include "admission/load_shedder.h"

#include "admission/fleet_size.h"

namespace cometfold::admission {
namespace {

constexpr double kUnitsGain = 0.1;          // weight of one request in its class's mean units
constexpr double kLatencyGain = 0.05;       // weight of one latency in the mean
constexpr double kOverloadedLatency = 0.5;  // mean latency relative to the objective
constexpr double kPressureLatency = 0.18;   // expected mean latency relative to the shortest objective
constexpr double kShedUtilization = 0.5;    // requests are shed above this utilization
// Lower in large fleets, where requests beyond a quota are hard to recognize.
constexpr double kLargeFleetShedUtilization = 0.2;
constexpr double kMaxShedFraction = 0.85;   // the remaining requests keep the statistics up to date
constexpr Ms kUtilizationMemoryMs = 300;    // smooths out random clusters of requests
constexpr double kUtilizationSamples = 10;  // minimum memory in requests, where requests are rare
constexpr std::size_t kRankedRequests = 512;

}  // namespace

void LoadShedder::record_request(const Request& request) {
  double& units = class_units_[request.class_index];
  units += kUnitsGain * (request.units - units);
}

void LoadShedder::record_latency(Ms latency, Ms objective) {
  relative_latency_ += kLatencyGain * (latency / std::max(objective, 1.0) - relative_latency_);
}

// The minimum is applied to the sum of the limits. Applied to each host, it would add up the random maxima of
// hosts with few completions and overestimate the capacity.
void LoadShedder::measure_utilization(Ms now) {
  const Ms target_latency = parts_.limiter.target_latency();
  const double min_in_flight = parts_.limiter.min_in_flight();
  double in_use = 0;
  double min_capacity = 0;
  double capacity = 0;
  for (auto& [id, host] : parts_.hosts) {
    if (!host.is_usable() || parts_.outliers.is_ejected(host, now)) continue;
    in_use += host.live_attempts();
    parts_.hosts.decay(host, now);
    min_capacity += min_in_flight;
    capacity += host.completion_rate * target_latency / 1000;
  }
  capacity = std::max(capacity, min_capacity);
  const Ms elapsed = now - measured_at_;
  request_interval_ += (elapsed - request_interval_) / kUtilizationSamples;
  const Ms memory = std::max(kUtilizationMemoryMs, kUtilizationSamples * request_interval_);
  const double kept = decay_factor(elapsed, memory);
  measured_at_ = now;
  utilization_ = kept * utilization_ + (1 - kept) * (capacity > 0 ? in_use / capacity : 1);
}

bool LoadShedder::is_overloaded() const {
  return relative_latency_ > kOverloadedLatency ||
         parts_.overload.fleet_rejection_fraction() > OverloadStatistics::kOverloadedFraction;
}

bool LoadShedder::is_under_pressure() const {
  return is_overloaded() || utilization_ * parts_.limiter.target_latency() >
                                kPressureLatency * parts_.limiter.shortest_objective();
}

double LoadShedder::work_per_unit(std::uint32_t class_index) const {
  return parts_.latency.class_latency(class_index) / std::max(class_units_[class_index], kEpsilon);
}

double LoadShedder::shed_fraction() const {
  const double threshold =
      is_large_fleet(parts_.settings.gateway_count) ? kLargeFleetShedUtilization : kShedUtilization;
  const double by_utilization = (utilization_ - threshold) / (1 - threshold);
  const double by_latency = (relative_latency_ - kOverloadedLatency) / (1 - kOverloadedLatency);
  const double by_rejections = parts_.overload.fleet_rejection_fraction();
  return std::clamp(std::max({by_utilization, by_latency, by_rejections}), 0.0, kMaxShedFraction);
}

bool LoadShedder::should_shed(double value_per_work, double work) {
  const double fraction = shed_fraction();
  const double tie_breaker = parts_.random.uniform();
  const bool shed = fraction > 0 && rank(value_per_work, tie_breaker) < fraction;
  last_requests_.push_back({value_per_work, work});
  if (last_requests_.size() > kRankedRequests) last_requests_.pop_front();
  return shed;
}

// Returns the fraction of the last requests' work that has a lower value; 1 before the first request. Work of
// equal value counts with the fraction `tie_breaker`.
double LoadShedder::rank(double value_per_work, double tie_breaker) const {
  double below = 0;
  double total = 0;
  for (const auto& [value, work] : last_requests_) {
    total += work;
    if (value < value_per_work) {
      below += work;
    } else if (value == value_per_work) {
      below += work * tie_breaker;
    }
  }
  return total > 0 ? below / total : 1;
}

}  // namespace cometfold::admission
