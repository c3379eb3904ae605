#include "rules/rule_monitors.h"

#include <cstddef>
#include <utility>

#include "rules/at_most_once_monitor.h"
#include "rules/ceiling_monitor.h"
#include "rules/drain_monitor.h"
#include "rules/single_reply_monitor.h"
#include "rules/slow_start_monitor.h"

namespace cometfold::rules {

namespace {

constexpr std::size_t kMaxViolations = 100;

}  // namespace

RuleMonitors::RuleMonitors(const AdmissionSettings& settings, const Tolerances& tolerances) {
  monitors_.push_back(std::make_unique<SingleReplyMonitor>(tolerances.reply_slack_ms));
  monitors_.push_back(std::make_unique<AtMostOnceMonitor>(settings));
  monitors_.push_back(std::make_unique<DrainMonitor>(tolerances.drain_grace_ms));
  monitors_.push_back(std::make_unique<SlowStartMonitor>(settings, tolerances.warm_host_capacity));
  monitors_.push_back(std::make_unique<CeilingMonitor>(settings, tolerances.ceiling_slack_ms));
}

void RuleMonitors::record(std::optional<Violation> violation) {
  if (violation && violations_.size() < kMaxViolations) violations_.push_back(std::move(*violation));
}

void RuleMonitors::observe(const Event& event) {
  for (const auto& monitor : monitors_) record(monitor->observe(event));
}

void RuleMonitors::check_deadlines(Ms now) {
  for (const auto& monitor : monitors_) record(monitor->check_deadlines(now));
}

void RuleMonitors::digest(engine::Digest& into) const {
  for (const auto& monitor : monitors_) monitor->digest(into);
}

}  // namespace cometfold::rules
