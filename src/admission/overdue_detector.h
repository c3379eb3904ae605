// Finds attempts whose answer will probably never come.
#pragma once

#include "admission/host_table.h"
#include "admission/pending_request.h"
#include "admission/slow_start.h"

namespace cometfold::admission {

// An attempt is overdue if attempts sent much later, to any host, were answered before it. It no longer
// counts towards its host's limit, the load or the host's silence, which it would fill until its deadline;
// later still it is a failure of its host. All referenced objects outlive this one.
class OverdueDetector {
 public:
  OverdueDetector(HostTable& hosts, const LatencyStatistics& latency, const SlowStart& slow_start)
      : hosts_(hosts), latency_(latency), slow_start_(slow_start) {}

  // Marks the attempt if it is overdue. True if it has just become a failure of its host.
  bool update(Attempt& attempt, const Request& request, Ms now) const;

 private:
  HostTable& hosts_;
  const LatencyStatistics& latency_;
  const SlowStart& slow_start_;
};

}  // namespace cometfold::admission
