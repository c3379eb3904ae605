#include "explore/world_settings.h"

#include "resp/resp_reader.h"
#include "resp/resp_writer.h"

namespace cometfold::explore {

const char* class_name(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::kIdempotent:
      return "safe";
    case Idempotency::kIdempotencyKey:
      return "keyed";
    case Idempotency::kNonIdempotent:
      return "unsafe";
  }
  return "";
}

AdmissionSettings settings_of(const Scenario& scenario) {
  AdmissionSettings settings;
  for (const auto idempotency :
       {Idempotency::kIdempotent, Idempotency::kIdempotencyKey, Idempotency::kNonIdempotent}) {
    ClassSettings class_settings;
    class_settings.deadline_ms = scenario.client_timeout_ms;
    class_settings.latency_objective_ms = scenario.latency_objective_ms;
    class_settings.idempotency = idempotency;
    if (idempotency == Idempotency::kIdempotencyKey) {
      class_settings.idempotency_scope = scenario.idempotency_scope;
      class_settings.idempotency_key_ttl_ms = 10'000;
    }
    settings.classes.push_back(class_settings);
  }
  PlanSettings plan;
  plan.quota_rate = 1000;
  plan.quota_burst = 1000;
  settings.plans = {plan};
  settings.hedging_allowed = scenario.hedging_allowed;
  settings.cancellation_allowed = scenario.cancellation_allowed;
  settings.retry_after_allowed = true;
  settings.max_attempts = scenario.max_attempts;
  settings.max_retry_after_ms = 1000;
  settings.min_event_interval_ms = 4;
  settings.slow_start_initial_weight = 0.2;
  settings.slow_start_duration_ms = 1000;
  settings.overload_factor = 2;
  settings.overload_window_ms = 1000;
  return settings;
}

rules::RuleMonitors::Tolerances exact_tolerances() {
  return {.reply_slack_ms = 1, .drain_grace_ms = 0, .ceiling_slack_ms = 150};
}

std::string reply_bytes(const std::string& value) {
  std::string text;
  resp::append_array(text, 3);
  resp::append_bulk(text, value);
  return text + "$-1\r\n$7\r\ndepth=0\r\n";
}

HostEntry host_entry(HostId id, HostState state, Ms started_at) {
  return {id, state, started_at, 0, 0, id, 1};
}

}  // namespace cometfold::explore
