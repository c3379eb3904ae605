// Rule "drains kept": after a gateway is notified that a host drains or is removed, and a grace period, it
// starts no new attempts at the host.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "rules/monitor.h"

namespace cometfold::rules {

class DrainMonitor : public Monitor {
 public:
  // `grace`: in milliseconds; 0 in simulated time, where a notification takes effect at once.
  explicit DrainMonitor(Ms grace) : grace_(grace) {}
  std::optional<Violation> observe(const Event& event) override;
  void digest(engine::Digest& into) const override;

 private:
  void update_host(const Event& event);

  Ms grace_;
  std::map<std::pair<GatewayId, HostId>, Ms> notified_at_;  // first notification of a drain or removal
};

}  // namespace cometfold::rules
