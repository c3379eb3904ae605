// Construction of the controller, and its timers, settings, host lists and hand-over.
#include "admission/controller_impl.h"

namespace cometfold {
namespace {

using admission::finite_or;

constexpr std::uint64_t kTickToken = ~std::uint64_t{0};
constexpr std::uint64_t kHostListToken = kTickToken - 1;
constexpr Ms kHostListRetryMs = 1000;   // delay after a failed call to discovery
constexpr Ms kStartToleranceMs = 1000;  // two gateways' values of a host's start time differ by at most this

}  // namespace

AdmissionController::Impl::Impl(const AdmissionSettings& settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      quotas_(settings_),
      overruns_(settings_),
      slow_start_(settings_),
      hosts_(settings_, latency_),
      outliers_(hosts_),
      limiter_(settings_, latency_, slow_start_, hosts_),
      overload_(settings_, hosts_),
      selector_({settings_, hosts_, latency_, outliers_, slow_start_, limiter_, overload_, random_}),
      shedder_({settings_, hosts_, latency_, limiter_, outliers_, overload_, random_}),
      retries_(settings_, latency_, retry_budget_),
      overdue_(hosts_, latency_, slow_start_) {
  resize_statistics();
}

void AdmissionController::Impl::resize_statistics() {
  latency_.resize(settings_.classes.size());
  shedder_.on_settings_changed();
  limiter_.on_settings_changed();
  overload_.on_settings_changed();
}

void AdmissionController::Impl::on_start(ActionSink& out) {
  quotas_.start(now_);
  shedder_.start(now_);
  if (settings_.host_watch_required) out.watch_hosts();
  out.poll_hosts();  // the cached list that a restarted gateway begins with may be outdated
  out.schedule_timer(admission::kTickIntervalMs, kTickToken);
}

void AdmissionController::Impl::on_settings(const AdmissionSettings& settings) {
  settings_ = settings;
  resize_statistics();
  quotas_.on_settings_changed(now_);
}

void AdmissionController::Impl::on_host_list(HostListUpdate kind, std::span<const HostEntry> entries,
                                             ActionSink& out) {
  if (kind == HostListUpdate::kFailed) {
    out.schedule_timer(kHostListRetryMs, kHostListToken);
    return;
  }
  hosts_.update(kind, entries, now_);
}

void AdmissionController::Impl::on_timer(std::uint64_t token, ActionSink& out) {
  if (token == kTickToken) {
    on_tick(out);
  } else if (token == kHostListToken && settings_.host_watch_required) {
    out.watch_hosts();
  } else if (token == kHostListToken) {
    out.poll_hosts();
  } else if (PendingRequest* pending = requests_.find(token)) {
    on_request_timer(*pending, out);
  }
}

void AdmissionController::Impl::on_tick(ActionSink& out) {
  quotas_.on_tick(now_);
  client_retries_.on_tick();
  find_overdue_attempts(out);
  hosts_.erase_departed(now_);
  out.schedule_timer(admission::kTickIntervalMs, kTickToken);
}

void AdmissionController::Impl::on_health_check_end(HostId id, bool ok, const LoadReport& load) {
  Host* host = hosts_.find(id);
  if (host != nullptr) hosts_.record_load(*host, ok ? load : LoadReport{}, true, now_);
}

std::size_t AdmissionController::Impl::excluded_host_count() const {
  return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& entry) {
    const Host& host = entry.second;
    return host.listed && (!host.is_usable() || outliers_.is_ejected(host, now_));
  }));
}

HandoverSnapshot AdmissionController::Impl::export_handover() {
  HandoverSnapshot snapshot;
  latency_.export_to(snapshot);
  quotas_.export_to(snapshot, now_);
  for (auto& [id, host] : hosts_) {
    if (!host.is_usable()) continue;
    hosts_.decay(host, now_);
    snapshot.hosts.push_back({.id = id,
                              .uptime_ms = host.uptime(now_),
                              .relative_latency = host.relative_latency,
                              .failure_rate = host.failure_rate,
                              .reported_load = host.reported_load,
                              .proven_rate = limiter_.proven_rate(host, now_),
                              .ejection_remaining_ms = std::max(host.ejected_until - now_, 0.0)});
  }
  return snapshot;
}

void AdmissionController::Impl::import_handover(const HandoverSnapshot& snapshot) {
  quotas_.import_from(snapshot, now_);
  latency_.import_from(snapshot, now_);
  import_hosts(snapshot);
}

// Skips hosts that have restarted since the export, as the statistics do not apply to the new process.
void AdmissionController::Impl::import_hosts(const HandoverSnapshot& snapshot) {
  for (const auto& imported : snapshot.hosts) {
    Host* host = hosts_.find(imported.id);
    if (host == nullptr || !host->is_usable()) continue;
    if (std::abs(host->uptime(now_) - imported.uptime_ms) > kStartToleranceMs) continue;
    hosts_.decay(*host, now_);
    host->relative_latency = finite_or(imported.relative_latency, 1);
    host->reported_load = finite_or(imported.reported_load, 0);
    limiter_.restore(*host, imported.proven_rate, now_);
    outliers_.restore(*host, imported.failure_rate, imported.ejection_remaining_ms, now_);
  }
}

}  // namespace cometfold
