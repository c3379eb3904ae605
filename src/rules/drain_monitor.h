// Rule "drains kept": once a gateway was notified that a host drains or is removed, it sends the host nothing
// new after a grace period.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "rules/monitor.h"

namespace cometfold::rules {

class DrainMonitor : public Monitor {
 public:
  // `grace`: milliseconds; 0 in simulated time, where a notification takes effect at once.
  explicit DrainMonitor(Ms grace) : grace_(grace) {}
  std::optional<Violation> observe(const Event& event) override;
  void digest(engine::Digest& into) const override;

 private:
  void update_host(const Event& event);

  Ms grace_;
  std::map<std::pair<GatewayId, HostId>, Ms> notified_at_;  // the first notification of the host's drain
};

}  // namespace cometfold::rules
