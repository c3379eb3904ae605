#include "rules/drain_monitor.h"

#include <string>

#include "rules/violation_text.h"

namespace cometfold::rules {

void DrainMonitor::update_host(const Event& event) {
  if (event.entry.state == HostState::kReady) {
    notified_at_.erase({event.gateway, event.entry.id});
  } else {
    notified_at_.try_emplace({event.gateway, event.entry.id}, event.at);
  }
}

std::optional<Violation> DrainMonitor::observe(const Event& event) {
  if (event.kind == Event::kGatewayCrashed) {  // the gateway has lost its host list
    std::erase_if(notified_at_, [&](const auto& entry) { return entry.first.first == event.gateway; });
  }
  if (event.kind == Event::kHostUpdate) update_host(event);
  if (event.kind != Event::kAttemptFirstByte) return {};
  const auto found = notified_at_.find({event.gateway, event.host});
  // Without a grace period, an attempt at the time of the notification is already too late.
  const Ms tolerance = grace_ > 0 ? 0 : kRoundingTolerance;
  if (found == notified_at_.end() || event.at <= found->second + grace_ - tolerance) return {};
  return Violation{"drains kept", format_request(event.request) + " was sent to host " +
                                      std::to_string(event.host) + " " +
                                      format_number(event.at - found->second) +
                                      " ms after the gateway was notified of its drain or removal"};
}

void DrainMonitor::digest(engine::Digest& into) const {
  for (const auto& [key, at] : notified_at_) {
    into.add(std::uint64_t{key.first} << 32 | key.second);
    into.add(at);
  }
}

}  // namespace cometfold::rules
