#include "admission/overload_statistics.h"

namespace cometfold::admission {
namespace {

constexpr double kFleetGain = 0.05;  // maximum weight of one attempt in the fleet's counts
constexpr double kHostGain = 0.5;  // weight of one attempt in its host's rate; two rejections are significant
constexpr double kMinAttempts = 0.1;  // lower bound of the denominator of a fraction

}  // namespace

void OverloadStatistics::on_settings_changed() {
  const std::size_t slots = settings_.plans.size() + settings_.classes.size();
  if (counts_.size() == slots) return;
  counts_.assign(slots, {});
  for (auto& [id, host] : hosts_) host.rejection_rates.clear();
}

// Repeated rejections by the same host count less, because they say nothing about the fleet: the host may be
// draining without this gateway knowing. Where hosts report their queues, a host without one is not
// overloaded.
void OverloadStatistics::record(Host& host, const Request& request, bool rejected, Ms now) {
  host.rejection_rates.resize(counts_.size());
  const double queueing = hosts_.reports_queue_length() ? std::min(1.0, hosts_.expected_load(host, now)) : 1;
  const double weight = kFleetGain * (1 - rejection_rate(host, request)) * queueing;
  for (auto& counts : counts_) {
    counts.rejected *= 1 - weight;
    counts.total *= 1 - weight;
  }
  const double sample = rejected ? 1 : 0;
  for (const std::size_t slot : {std::size_t{request.plan_index}, class_slot(request.class_index)}) {
    counts_[slot].total += weight;
    counts_[slot].rejected += sample * weight;
    host.rejection_rates[slot] += kHostGain * (sample - host.rejection_rates[slot]);
  }
}

double OverloadStatistics::fleet_rejection_fraction() const {
  const std::size_t plans = settings_.plans.size();
  const double by_plan = std::min(1.0, fraction_without_worst(0, plans));
  return std::min(by_plan, fraction_without_worst(plans, counts_.size()));
}

double OverloadStatistics::fraction_without_worst(std::size_t from, std::size_t to) const {
  Counts sum;
  Counts worst;
  for (std::size_t slot = from; slot < to; ++slot) {
    sum.rejected += counts_[slot].rejected;
    sum.total += counts_[slot].total;
    if (counts_[slot].rejected >= worst.rejected) worst = counts_[slot];
  }
  if (to - from > 1) {
    sum.rejected -= worst.rejected;
    sum.total -= worst.total;
  }
  return sum.rejected / std::max(sum.total, kMinAttempts);
}

}  // namespace cometfold::admission
