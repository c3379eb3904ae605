#include "explore/scenario.h"

#include <algorithm>
#include <utility>

namespace cometfold::explore {

namespace {

const char* scenario_suffix(Idempotency idempotency) {
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

// Faults of replies and connections, and changes of the host list.
FaultSet connection_and_list_faults() {
  return {.malformed_reply = true,
          .connection_loss = true,
          .error_reply = true,
          .busy_reply = true,
          .extra_bytes = true,
          .connect_refused = true,
          .partial_write = true,
          .client_disconnect = true,
          .host_drain = true,
          .host_removal = true,
          .host_replacement = true,
          .host_restart = true,
          .list_reload = true};
}

// Adds scenarios of the real policy with requests of one kind: one with two requests, and one with a single
// request, more faults, shutdown and crash.
void add_single_kind(std::vector<Scenario>& all, Idempotency idempotency, int faults) {
  Scenario scenario;
  scenario.name = std::string("real-") + scenario_suffix(idempotency);
  scenario.description = "the real policy, two requests of one kind, any fault";
  scenario.requests = {idempotency, idempotency};
  scenario.max_faults = faults;
  scenario.enabled_faults = connection_and_list_faults();
  all.push_back(scenario);

  scenario.name += "-deep";
  scenario.description = "the real policy, one request, more faults, shutdown and crash";
  scenario.requests = {idempotency};
  scenario.max_faults = faults + 1;
  scenario.enabled_faults.shutdown = true;
  scenario.enabled_faults.gateway_crash = true;
  all.push_back(scenario);
}

// Adds scenarios of the real policy with two kinds of requests on one connection, and with other settings.
void add_other_settings(std::vector<Scenario>& all, int faults) {
  Scenario scenario;
  scenario.name = "real-mixed-pipelined";
  scenario.description =
      "the real policy, a non-idempotent and an idempotent request on one connection; replies in order, ids "
      "reused";
  scenario.requests = {Idempotency::kNonIdempotent, Idempotency::kIdempotent};
  scenario.shared_connection = true;
  scenario.max_faults = faults;
  scenario.enabled_faults = connection_and_list_faults();
  scenario.enabled_faults.identity_reuse = true;
  scenario.enabled_faults.shutdown = true;
  all.push_back(scenario);

  scenario.name = "real-no-cancel";
  scenario.description = "the real policy without cancellation and hedging";
  scenario.requests = {Idempotency::kIdempotent};
  scenario.shared_connection = false;
  scenario.hedging_allowed = false;
  scenario.cancellation_allowed = false;
  scenario.max_faults = faults + 1;
  all.push_back(scenario);

  scenario.name = "real-one-at-a-time";
  scenario.description = "the real policy with cancellation but without hedging";
  scenario.cancellation_allowed = true;
  all.push_back(scenario);

  scenario.name = "real-keyed-cell";
  scenario.description = "the real policy, idempotency keys whose scope is one cell";
  scenario.requests = {Idempotency::kIdempotencyKey};
  scenario.idempotency_scope = IdempotencyScope::kCell;
  scenario.hedging_allowed = true;
  all.push_back(scenario);
}

// Adds scenarios of a policy that may take any action; the engine's guarantees must hold with it as well.
void add_arbitrary_policy(std::vector<Scenario>& all, int faults, bool small) {
  Scenario scenario;
  scenario.real_policy = false;
  scenario.name = "any-one";
  scenario.description = "a policy that may take any action, one request, any fault, shutdown and crash";
  scenario.requests = {Idempotency::kIdempotent};
  scenario.max_policy_actions = 1;
  scenario.max_faults = faults;
  scenario.enabled_faults = connection_and_list_faults();
  scenario.enabled_faults.shutdown = true;
  scenario.enabled_faults.gateway_crash = true;
  all.push_back(scenario);

  scenario.name = "any-two";
  scenario.description = "a policy that may take any action, two requests on one connection, ids reused";
  scenario.requests = {Idempotency::kIdempotent, Idempotency::kNonIdempotent};
  scenario.shared_connection = true;
  scenario.max_policy_actions = small ? 0 : 1;
  scenario.max_faults = 1;
  scenario.enabled_faults.gateway_crash = false;
  scenario.enabled_faults.identity_reuse = true;
  all.push_back(scenario);
}

}  // namespace

std::vector<Scenario> scenarios(bool small) {
  const int faults = small ? 2 : 3;
  std::vector<Scenario> all;
  add_single_kind(all, Idempotency::kIdempotent, faults);
  add_single_kind(all, Idempotency::kIdempotencyKey, faults);
  add_single_kind(all, Idempotency::kNonIdempotent, faults);
  add_other_settings(all, faults);
  add_arbitrary_policy(all, faults, small);
  return all;
}

const Scenario* find_scenario(const std::vector<Scenario>& all, const std::string& name) {
  const auto found =
      std::find_if(all.begin(), all.end(), [&](const auto& scenario) { return scenario.name == name; });
  return found == all.end() ? nullptr : &*found;
}

}  // namespace cometfold::explore
