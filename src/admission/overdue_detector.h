// Detects attempts that will probably never be answered.
#pragma once

#include "admission/host_table.h"
#include "admission/pending_request.h"
#include "admission/slow_start.h"

namespace cometfold::admission {

// An attempt is overdue if attempts that were sent much later, to any host, have already been answered. It no
// longer counts towards its host's limit, load and silence, which it would otherwise affect until its
// deadline. After a further delay it counts as a failure of its host. All referenced objects must outlive
// this one.
class OverdueDetector {
 public:
  OverdueDetector(HostTable& hosts, const LatencyStatistics& latency, const SlowStart& slow_start)
      : hosts_(hosts), latency_(latency), slow_start_(slow_start) {}

  // Marks the attempt if it is overdue. Returns true if it has just begun to count as a failure of its host.
  bool update(Attempt& attempt, const Request& request, Ms now) const;

 private:
  HostTable& hosts_;
  const LatencyStatistics& latency_;
  const SlowStart& slow_start_;
};

}  // namespace cometfold::admission
