#include "scenarios.h"

#include <utility>

namespace action_stream {
namespace {

using namespace cometfold;

ClassSettings request_class(Repeat repeat, KeyGroup group, double worth) {
  return {300, 2000, worth, 0.3, repeat, group, 1500};
}

// Four gateways with all that the settings allow: the day that the first fingerprints were taken of.
Settings four_gateways() {
  Settings s;
  s.classes.push_back(request_class(Repeat::kSafe, KeyGroup::kNone, 1));
  s.classes.push_back(request_class(Repeat::kKeyed, KeyGroup::kZone, 2));
  s.classes.push_back(request_class(Repeat::kUnsafe, KeyGroup::kNone, 3));
  s.plans.push_back({40, 60, 1, 0.5, 0.2, 0, 0, 0, 0});
  s.plans.push_back({30, 50, 2, 1, 0, 40, 65, 7, 12});
  s.gateways = 4;
  s.largest_units = 4;
  s.units_settle = s.second_copies = s.may_cancel = s.may_probe = s.retry_after = s.must_subscribe = true;
  s.max_attempts = 4;
  s.max_retry_after_ms = 1000;
  s.tick_ms = 4;
  s.cold_from = 0.16;
  s.warm_after_ms = 16'000;
  s.overload_factor = 2;
  s.fall_ms = 1000;
  return s;
}

Settings with_key_group(Settings s, KeyGroup group) {
  s.classes[1].group = group;
  return s;
}

Settings with_gateways(Settings s, double gateways) {
  s.gateways = gateways;
  return s;
}

Settings without_cancelling_or_hedging(Settings s) {
  s.second_copies = s.may_cancel = false;
  return s;
}

Scenario twenty_gateways() {
  Settings s = with_key_group(with_gateways(four_gateways(), 20), KeyGroup::kAll);
  s.second_copies = s.may_probe = s.must_subscribe = false;
  s.report_fields = {LoadField::kQueue, LoadField::kBusy};
  s.plans[0].open_limit = 6;
  Surroundings around;
  around.hosts = 30;
  around.gateways_per_customer = 20;
  around.cancelling_ends_attempts = true;
  around.list_fails = 0.1;
  return {"twenty gateways", s, around};
}

Scenario three_hundred_gateways() {
  Settings s = with_key_group(with_gateways(four_gateways(), 300), KeyGroup::kCell);
  s.retry_after = false;
  s.classes[0].late_share = 0;
  s.classes[1].aim_ms = 0;
  s.plans[0].quota_rate = 400;
  s.plans[0].burst = 300;
  Surroundings around;
  around.hosts = 90;
  around.customers = 300;
  around.gateways_per_customer = 300;
  around.request_gap_ms = 60;
  around.list_is_whole = 0.2;
  return {"three hundred gateways", s, around};
}

Scenario large_sets_with_costly_overruns() {
  Settings s = with_gateways(four_gateways(), 300);
  s.plans[0].overrun_cost = 0.9;
  s.plans[0].beyond_earns = 0;
  s.plans[0].burst = 600;
  Surroundings around;
  around.customers = 200;
  around.gateways_per_customer = 40;
  around.client_retries = 0.4;
  return {"large sets, costly overruns", s, around};
}

Scenario no_quotas() {
  Settings s = without_cancelling_or_hedging(with_gateways(four_gateways(), 1));
  s.plans[0] = {};
  s.plans[1].quota_rate = 0;
  s.plans[1].open_limit = 3;
  s.plans[1].ceiling_rate = 4;
  s.plans[1].ceiling_burst = 8;
  s.units_settle = false;
  Surroundings around;
  around.gateways_per_customer = 1;
  around.client_leaves = 0.1;
  around.cancelling_ends_attempts = true;
  return {"one gateway, ceilings and open limits", s, around};
}

Scenario no_hedging() {
  Settings s = four_gateways();
  s.second_copies = false;
  Surroundings around;
  around.cancelling_ends_attempts = true;
  around.silent_hosts = 0.2;
  around.request_gap_ms = 60;
  return {"cancelling, no hedging, silent hosts", s, around};
}

Scenario hosts_full_for_one_class() {
  Surroundings around;
  around.full_by_class = true;
  around.full = 0.8;
  around.reports_in_flight = 0.5;
  around.reports_queue = 0;
  around.reports_busy = 0;
  return {"hosts full for one class", four_gateways(), around};
}

Scenario hosts_full_for_one_plan() {
  Settings s = four_gateways();
  s.report_fields = {LoadField::kInHand};
  Surroundings around;
  around.full_by_plan = true;
  around.full = 0.9;
  return {"hosts full for one plan", s, around};
}

Scenario all_hosts_full() {
  Surroundings around;
  around.full = 0.5;
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
  around.broken = 0.2;
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
  Settings s = with_gateways(four_gateways(), 20);
  s.plans[0].quota_rate = 20;
  Surroundings around;
  around.request_gap_ms = 4000;
  around.customers = 4;
  around.list_gap_ms = 20'000;
  around.list_is_whole = 0.3;
  around.list_fails = 0.2;
  around.gateways_per_customer = 3;
  return {"rare requests", s, around};
}

Scenario hosts_that_all_leave() {
  Surroundings around;
  around.list_is_whole = 0.3;
  around.all_hosts_leave = 0.3;
  around.list_fails = 0.1;
  return {"hosts that all leave", four_gateways(), around};
}

Scenario succession(std::string_view name, Succession succession, double gateways) {
  Settings s = with_gateways(four_gateways(), gateways);
  s.plans[1].open_limit = 40;
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
