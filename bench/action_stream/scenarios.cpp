#include "scenarios.h"

#include <utility>

namespace action_stream {
namespace {

using namespace cometfold;

ClassSettings request_class(Idempotency repeat, IdempotencyScope group, double worth) {
  return {300, 2000, worth, 0.3, repeat, group, 1500};
}

// Four gateways with all optional features enabled; the first fingerprints were taken with these settings.
AdmissionSettings four_gateways() {
  AdmissionSettings s;
  s.classes.push_back(request_class(Idempotency::kIdempotent, IdempotencyScope::kNone, 1));
  s.classes.push_back(request_class(Idempotency::kIdempotencyKey, IdempotencyScope::kZone, 2));
  s.classes.push_back(request_class(Idempotency::kNonIdempotent, IdempotencyScope::kNone, 3));
  s.plans.push_back({40, 60, 1, 0.5, 0.2, 0, 0, 0, 0});
  s.plans.push_back({30, 50, 2, 1, 0, 40, 65, 7, 12});
  s.gateway_count = 4;
  s.max_request_units = 4;
  s.actual_units_reported = s.hedging_allowed = s.cancellation_allowed = s.health_checks_allowed =
      s.retry_after_allowed = s.host_watch_required = true;
  s.max_attempts = 4;
  s.max_retry_after_ms = 1000;
  s.min_event_interval_ms = 4;
  s.slow_start_initial_weight = 0.16;
  s.slow_start_duration_ms = 16'000;
  s.overload_factor = 2;
  s.overload_window_ms = 1000;
  return s;
}

AdmissionSettings with_key_group(AdmissionSettings s, IdempotencyScope group) {
  s.classes[1].idempotency_scope = group;
  return s;
}

AdmissionSettings with_gateways(AdmissionSettings s, double gateways) {
  s.gateway_count = gateways;
  return s;
}

AdmissionSettings without_cancelling_or_hedging(AdmissionSettings s) {
  s.hedging_allowed = s.cancellation_allowed = false;
  return s;
}

Scenario twenty_gateways() {
  AdmissionSettings s = with_key_group(with_gateways(four_gateways(), 20), IdempotencyScope::kAll);
  s.hedging_allowed = s.health_checks_allowed = s.host_watch_required = false;
  s.load_report_fields = {LoadField::kQueueLength, LoadField::kUtilization};
  s.plans[0].max_concurrent_attempts = 6;
  Surroundings around;
  around.hosts = 30;
  around.gateways_per_customer = 20;
  around.cancelling_ends_attempts = true;
  around.list_fails = 0.1;
  return {"twenty gateways", s, around};
}

Scenario three_hundred_gateways() {
  AdmissionSettings s = with_key_group(with_gateways(four_gateways(), 300), IdempotencyScope::kCell);
  s.retry_after_allowed = false;
  s.classes[0].late_value_fraction = 0;
  s.classes[1].latency_objective_ms = 0;
  s.plans[0].quota_rate = 400;
  s.plans[0].quota_burst = 300;
  Surroundings around;
  around.hosts = 90;
  around.customers = 300;
  around.gateways_per_customer = 300;
  around.request_gap_ms = 60;
  around.list_is_snapshot = 0.2;
  return {"three hundred gateways", s, around};
}

Scenario large_sets_with_costly_overruns() {
  AdmissionSettings s = with_gateways(four_gateways(), 300);
  s.plans[0].over_quota_cost = 0.9;
  s.plans[0].over_quota_value = 0;
  s.plans[0].quota_burst = 600;
  Surroundings around;
  around.customers = 200;
  around.gateways_per_customer = 40;
  around.client_retries = 0.4;
  return {"large sets, costly overruns", s, around};
}

Scenario no_quotas() {
  AdmissionSettings s = without_cancelling_or_hedging(with_gateways(four_gateways(), 1));
  s.plans[0] = {};
  s.plans[1].quota_rate = 0;
  s.plans[1].max_concurrent_attempts = 3;
  s.plans[1].ceiling_rate = 4;
  s.plans[1].ceiling_burst = 8;
  s.actual_units_reported = false;
  Surroundings around;
  around.gateways_per_customer = 1;
  around.client_disconnects = 0.1;
  around.cancelling_ends_attempts = true;
  return {"one gateway, ceilings and open limits", s, around};
}

Scenario no_hedging() {
  AdmissionSettings s = four_gateways();
  s.hedging_allowed = false;
  Surroundings around;
  around.cancelling_ends_attempts = true;
  around.silent_hosts = 0.2;
  around.request_gap_ms = 60;
  return {"cancelling, no hedging, silent hosts", s, around};
}

Scenario hosts_full_for_one_class() {
  Surroundings around;
  around.overloaded_by_class = true;
  around.overloaded = 0.8;
  around.reports_in_flight = 0.5;
  around.reports_queue = 0;
  around.reports_utilization = 0;
  return {"hosts full for one class", four_gateways(), around};
}

Scenario hosts_full_for_one_plan() {
  AdmissionSettings s = four_gateways();
  s.load_report_fields = {LoadField::kInFlight};
  Surroundings around;
  around.overloaded_by_plan = true;
  around.overloaded = 0.9;
  return {"hosts full for one plan", s, around};
}

Scenario all_hosts_full() {
  Surroundings around;
  around.overloaded = 0.5;
  around.request_gap_ms = 20;
  return {"hosts full", four_gateways(), around};
}

Scenario slow_hosts() {
  Surroundings around;
  around.service_ms = 900;
  around.request_gap_ms = 12;
  return {"slow hosts", four_gateways(), around};
}

Scenario failing_hosts() {
  Surroundings around;
  around.error = 0.3;
  around.connection_lost = 0.2;
  around.connect_failed = 0.1;
  around.not_sent = 0.1;
  around.silent_hosts = 0.1;
  around.malformed = 0.02;
  return {"failing hosts", four_gateways(), around};
}

Scenario long_values() {
  Surroundings around;
  around.streamed = 0.5;
  around.silent_hosts = 0.1;
  return {"long values", four_gateways(), around};
}

Scenario actual_units() {
  Surroundings around;
  around.reports_actual_units = 0.5;
  around.start_ms = 1.7e12;
  return {"actual units, a clock far from zero", four_gateways(), around};
}

Scenario rare_requests() {
  AdmissionSettings s = with_gateways(four_gateways(), 20);
  s.plans[0].quota_rate = 20;
  Surroundings around;
  around.request_gap_ms = 4000;
  around.customers = 4;
  around.list_gap_ms = 20'000;
  around.list_is_snapshot = 0.3;
  around.list_fails = 0.2;
  around.gateways_per_customer = 3;
  return {"rare requests", s, around};
}

Scenario hosts_that_all_leave() {
  Surroundings around;
  around.list_is_snapshot = 0.3;
  around.all_hosts_removed = 0.3;
  around.list_fails = 0.1;
  return {"hosts that all leave", four_gateways(), around};
}

Scenario succession(std::string_view name, Succession succession, double gateways) {
  AdmissionSettings s = with_gateways(four_gateways(), gateways);
  s.plans[1].max_concurrent_attempts = 40;
  Surroundings around;
  around.gateways_per_customer = gateways;
  around.error = 0.1;
  return {name, s, around, succession};
}

}  // namespace

std::vector<Scenario> scenarios() {
  return {
      {"four gateways", four_gateways(), {}},
      twenty_gateways(),
      three_hundred_gateways(),
      large_sets_with_costly_overruns(),
      no_quotas(),
      no_hedging(),
      hosts_full_for_one_class(),
      hosts_full_for_one_plan(),
      all_hosts_full(),
      slow_hosts(),
      failing_hosts(),
      long_values(),
      actual_units(),
      rare_requests(),
      hosts_that_all_leave(),
      succession("hand-over", Succession::kHandOver, 4),
      succession("hand-over at twenty gateways", Succession::kHandOver, 20),
      succession("no state from the predecessor", Succession::kUnknown, 4),
      succession("new settings", Succession::kNewSettings, 4),
  };
}

}  // namespace action_stream
