// Mean latency of classes and host kinds, and of all requests without queueing.
#pragma once

#include <map>
#include <vector>

#include "admission/host.h"

namespace cometfold::admission {

class LatencyStatistics {
 public:
  // Sets the number of classes; the statistics of existing classes are kept.
  void resize(std::size_t class_count);

  // Records the latency of a successful request of this class.
  void record(Host& host, std::uint32_t class_index, Ms latency, Ms now);

  // Mean latency of a class, at least 1 ms.
  Ms class_latency(std::uint32_t class_index) const { return std::max(class_latency_[class_index], 1.0); }
  // Mean latency of hosts of this kind relative to that of the class; 1 if unknown.
  double kind_relative_latency(std::uint32_t kind) { return kind_latency(kind); }
  // Mean latency without queueing; 0 if unknown.
  Ms unloaded_latency() const { return unloaded_latency_; }

  void export_to(HandoverSnapshot& snapshot) const;
  void import_from(const HandoverSnapshot& snapshot, Ms now);

 private:
  double& kind_latency(std::uint32_t kind) { return kind_latency_.try_emplace(kind, 1.0).first->second; }
  void record_unloaded(Ms latency, Ms now);

  std::vector<Ms> class_latency_;
  std::vector<double> class_samples_;
  std::map<std::uint32_t, double> kind_latency_;
  Ms recent_latency_ = 0;  // mean of all classes
  double recent_samples_ = 0;
  Ms unloaded_latency_ = 0;
  Ms unloaded_at_ = 0;
};

}  // namespace cometfold::admission
