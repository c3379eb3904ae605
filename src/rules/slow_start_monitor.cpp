#include "rules/slow_start_monitor.h"

#include <algorithm>
#include <string>

#include "rules/violation_text.h"

namespace cometfold::rules {

double SlowStartMonitor::weight(Ms age) const {
  const double progress = std::clamp(age / std::max(settings_.slow_start_duration_ms, 1.0), 0.0, 1.0);
  return settings_.slow_start_initial_weight + (1 - settings_.slow_start_initial_weight) * progress;
}

double SlowStartMonitor::capacity_between(Ms started_at, Ms from, Ms to) const {
  const Ms warm_at = std::min(to, started_at + settings_.slow_start_duration_ms);
  // The weight rises linearly, so its mean is its value in the middle of the interval.
  const double warming = from < warm_at ? weight((from + warm_at) / 2 - started_at) * (warm_at - from) : 0;
  const double warm = std::max(to - std::max(warm_at, from), 0.0);
  return warm_capacity_ * (warming + warm) / 1000;
}

void SlowStartMonitor::update_host(const HostEntry& entry) {
  if (entry.state == HostState::kReady) hosts_[entry.id].started_at = entry.started_at;
  if (entry.state == HostState::kRemoved) hosts_.erase(entry.id);
}

std::optional<Violation> SlowStartMonitor::observe(const Event& event) {
  if (event.kind == Event::kHostUpdate) update_host(event.entry);
  if (event.kind != Event::kAttemptWritten || warm_capacity_ <= 0) return {};
  const auto found = hosts_.find(event.host);
  if (found == hosts_.end() || found->second.started_at <= 0) return {};
  return check_attempt(event, found->second);
}

std::optional<Violation> SlowStartMonitor::check_attempt(const Event& event, Host& host) const {
  const Ms window = settings_.overload_window_ms;
  host.sent_at.push_back(event.at);
  while (host.sent_at.front() <= event.at - window) host.sent_at.pop_front();
  if (event.at >= host.started_at + settings_.slow_start_duration_ms + window) return {};
  const Ms from = std::max(host.started_at, event.at - window);
  const double bound = settings_.overload_factor * capacity_between(host.started_at, from, from + window);
  if (static_cast<double>(host.sent_at.size()) <= bound + kRoundingTolerance) return {};
  return Violation{"no cold host pushed over",
                   "host " + std::to_string(event.host) + ", started " +
                       format_number(event.at - host.started_at) + " ms ago, was sent " +
                       std::to_string(host.sent_at.size()) + " requests within " + format_number(window) +
                       " ms; the limit is " + format_number(bound)};
}

void SlowStartMonitor::digest(engine::Digest& into) const {
  if (warm_capacity_ <= 0) return;
  for (const auto& [id, host] : hosts_) {
    into.add(std::uint64_t{id});
    into.add(host.started_at);
    for (const Ms at : host.sent_at) into.add(at);
  }
}

}  // namespace cometfold::rules
