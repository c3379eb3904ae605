#include "admission/host_table.h"

namespace cometfold::admission {
namespace {

constexpr Ms kDepartedMemoryMs = 10'000;
constexpr Ms kFailureHalfLifeMs = 4000;      // so that a recovered host is tried again
constexpr Ms kRejectionHalfLifeMs = 10'000;  // longer, as limits on a plan last and are observed less often
constexpr Ms kReportMemoryMs = 4000;         // queues change faster, but slow hosts stay slow for longer
constexpr double kReportGain = 0.1;          // weight of one report in the fleet's mean

}  // namespace

void HostTable::update(HostListUpdate kind, std::span<const HostEntry> entries, Ms now) {
  if (kind != HostListUpdate::kDelta) {
    for (auto& [id, host] : hosts_) host.listed = false;
  }
  for (const auto& entry : entries) {
    if (entry.state == HostState::kRemoved) {
      remove(entry.id);
    } else {
      list_host(entry, now);
    }
  }
}

void HostTable::list_host(const HostEntry& entry, Ms now) {
  Host& host = hosts_[entry.id];
  const bool restarted = host.entry.started_at != entry.started_at;
  if (restarted) {  // the statistics of the former process do not apply to the new one
    Host fresh;
    fresh.attempts_in_flight = host.attempts_in_flight;
    fresh.overdue_attempts = host.overdue_attempts;
    fresh.silent_since = now;
    host = fresh;
  }
  host.entry = entry;
  host.listed = true;
  host.departing = entry.state != HostState::kReady;
}

void HostTable::remove(HostId id) {
  Host* host = find(id);
  if (host == nullptr) return;
  host->listed = false;
  host->departing = true;
}

void HostTable::erase_departed(Ms now) {
  std::erase_if(hosts_, [&](const auto& entry) {
    const Host& host = entry.second;
    return !host.listed && host.attempts_in_flight <= 0 && now - host.decayed_at > kDepartedMemoryMs;
  });
}

Host* HostTable::find(HostId id) {
  const auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : &it->second;
}

bool HostTable::any_usable() const {
  return std::any_of(hosts_.begin(), hosts_.end(),
                     [](const auto& entry) { return entry.second.is_usable(); });
}

void HostTable::decay_by(Host& host, Ms elapsed, Ms now) {
  const double failures_kept = std::exp2(-elapsed / kFailureHalfLifeMs);
  const double rejections_kept = std::exp2(-elapsed / kRejectionHalfLifeMs);
  const double kind_latency = latency_.kind_relative_latency(host.entry.kind);
  host.failure_rate *= failures_kept;
  for (auto& rate : host.rejection_rates) rate *= rejections_kept;
  host.relative_latency = kind_latency + (host.relative_latency - kind_latency) * failures_kept;
  host.completion_rate *= decay_factor(elapsed, kThroughputMemoryMs);
  host.decayed_at = now;
}

void HostTable::record_answer(Host& host, Ms sent_at, Ms now) {
  host.silent_since = now;
  host.newest_answered_sent_at = std::max(host.newest_answered_sent_at, sent_at);
  newest_answered_sent_at_ = std::max(newest_answered_sent_at_, sent_at);
}

void HostTable::record_load(Host& host, const LoadReport& report, bool required, Ms now) {
  if (!report.queue_length && !report.in_flight && !report.utilization) {
    if (!required) return;
    host.reported_load = std::max(host.reported_load, mean_reported_load_) + 1;
  } else {
    const double waiting = report.queue_length.value_or(report.in_flight.value_or(0));
    host.reported_load = finite_or(waiting, 0) + finite_or(report.utilization.value_or(0), 0);
    mean_reported_load_ += kReportGain * (host.reported_load - mean_reported_load_);
  }
  host.reported_at = now;
}

double HostTable::expected_load(const Host& host, Ms now) const {
  const double freshness = decay_factor(now - host.reported_at, kReportMemoryMs);
  return freshness * host.reported_load + (1 - freshness) * mean_reported_load_;
}

bool HostTable::reports_queue_length() const {
  const auto& fields = settings_.load_report_fields;
  return std::find(fields.begin(), fields.end(), LoadField::kQueueLength) != fields.end();
}

}  // namespace cometfold::admission
