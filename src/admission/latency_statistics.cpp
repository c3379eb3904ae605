#include "admission/latency_statistics.h"

namespace cometfold::admission {
namespace {

constexpr double kClassGain = 0.025;      // minimum weight of one latency in its class's mean
constexpr double kHostGain = 0.2;         // weight in its host's mean
constexpr double kKindGain = 0.05;        // weight in the mean of its host's kind
constexpr double kSamples = 40;           // completions that a mean is taken over
constexpr Ms kUnloadedMemoryMs = 60'000;  // longer than load peaks and slowdowns of hosts last

}  // namespace

void LatencyStatistics::resize(std::size_t class_count) {
  class_latency_.resize(class_count, 0);
  class_samples_.resize(class_count, 0);
}

void LatencyStatistics::record(Host& host, std::uint32_t class_index, Ms latency, Ms now) {
  Ms& class_mean = class_latency_[class_index];
  class_samples_[class_index] += 1;
  class_mean += std::max(kClassGain, 1 / class_samples_[class_index]) * (latency - class_mean);
  const double relative = latency / class_latency(class_index);
  host.relative_latency += kHostGain * (relative - host.relative_latency);
  double& kind_mean = kind_latency(host.entry.kind);
  kind_mean += kKindGain * (relative - kind_mean);
  record_unloaded(latency, now);
}

// The unloaded latency follows the recent mean down immediately and up slowly.
void LatencyStatistics::record_unloaded(Ms latency, Ms now) {
  recent_samples_ = std::min(recent_samples_ + 1, kSamples);
  recent_latency_ += (latency - recent_latency_) / recent_samples_;
  const bool follow = recent_samples_ < kSamples || recent_latency_ < unloaded_latency_;
  const double kept = follow ? 0 : decay_factor(now - unloaded_at_, kUnloadedMemoryMs);
  unloaded_latency_ = recent_latency_ + (unloaded_latency_ - recent_latency_) * kept;
  unloaded_at_ = now;
}

void LatencyStatistics::export_to(HandoverSnapshot& snapshot) const {
  snapshot.class_latency_ms = class_latency_;
  snapshot.unloaded_latency_ms = unloaded_latency_;
}

void LatencyStatistics::import_from(const HandoverSnapshot& snapshot, Ms now) {
  const std::size_t class_count = std::min(class_latency_.size(), snapshot.class_latency_ms.size());
  for (std::size_t i = 0; i < class_count; ++i) {
    class_latency_[i] = finite_or(snapshot.class_latency_ms[i], 0);
    class_samples_[i] = class_latency_[i] > 0 ? kSamples : 0;
  }
  unloaded_latency_ = finite_or(snapshot.unloaded_latency_ms, 0);
  unloaded_at_ = now;
  if (unloaded_latency_ > 0) {
    recent_samples_ = kSamples;
    recent_latency_ = unloaded_latency_;
  }
}

}  // namespace cometfold::admission
