#include "explore/scenario.h"

#include <algorithm>

namespace cometfold::explore {

namespace {

const char* letter(Idempotency r) {
  return r == Idempotency::kIdempotent ? "safe" : r == Idempotency::kIdempotencyKey ? "keyed" : "unsafe";
}

// What goes wrong with answers and connections, and what the list may say meanwhile.
FaultSet trouble() {
  FaultSet m;
  m.malformed_reply = m.connection_loss = m.error_reply = m.busy_reply = m.extra_bytes = m.connect_refused =
      m.partial_write = m.client_disconnect = true;
  m.host_drain = m.host_removal = m.host_replacement = m.host_restart = m.list_reload = true;
  return m;
}

}  // namespace

std::vector<Scenario> scenarios(bool small) {
  std::vector<Scenario> all;
  const int faults = small ? 2 : 3;
  const auto add = [&](Scenario s) { all.push_back(std::move(s)); };

  // The real module, two requests of each kind of class, everything that can go wrong.
  for (const auto repeat :
       {Idempotency::kIdempotent, Idempotency::kIdempotencyKey, Idempotency::kNonIdempotent}) {
    Scenario s;
    s.name = std::string("real-") + letter(repeat);
    s.description = "the real module, two requests of one kind, any trouble";
    s.requests = {repeat, repeat};
    s.max_faults = faults;
    s.enabled_faults = trouble();
    add(s);
    // One request alone can be followed further: more troubles, second copies, stop and crash.
    s.name += "-deep";
    s.description = "the real module, one request, more troubles, stop and crash";
    s.requests = {repeat};
    s.max_faults = faults + 1;
    s.enabled_faults.shutdown = s.enabled_faults.gateway_crash = true;
    add(s);
  }
  {
    Scenario s;
    s.name = "real-mixed-pipelined";
    s.description =
        "the real module, a safe and an unsafe request on one connection; answers in order, ids used again";
    s.requests = {Idempotency::kNonIdempotent, Idempotency::kIdempotent};
    s.shared_connection = true;
    s.max_faults = faults;
    s.enabled_faults = trouble();
    s.enabled_faults.identity_reuse = s.enabled_faults.shutdown = true;
    add(s);
    s.name = "real-no-cancel";
    s.description = "the real module where it may neither cancel nor send second copies";
    s.requests = {Idempotency::kIdempotent};
    s.shared_connection = false;
    s.hedging_allowed = s.cancellation_allowed = false;
    s.max_faults = faults + 1;
    add(s);
    s.name = "real-one-at-a-time";
    s.description = "the real module where it may cancel and not send second copies";
    s.cancellation_allowed = true;
    add(s);
    s.name = "real-keyed-cell";
    s.description = "the real module, a keyed class whose group is one host";
    s.requests = {Idempotency::kIdempotencyKey};
    s.idempotency_scope = IdempotencyScope::kCell;
    s.hedging_allowed = true;
    add(s);
  }
  // A module that decides anything: the engine must hold its own promises.
  {
    Scenario s;
    s.real_policy = false;
    s.name = "any-one";
    s.description = "a module that decides anything, one request, any trouble, stop and crash";
    s.requests = {Idempotency::kIdempotent};
    s.max_policy_actions = 1;
    s.max_faults = faults;
    s.enabled_faults = trouble();
    s.enabled_faults.shutdown = s.enabled_faults.gateway_crash = true;
    add(s);
    s.name = "any-two";
    s.description = "a module that decides anything, two requests on one connection, ids used again";
    s.requests = {Idempotency::kIdempotent, Idempotency::kNonIdempotent};
    s.shared_connection = true;
    s.max_policy_actions = small ? 0 : 1;
    s.max_faults = 1;
    s.enabled_faults.gateway_crash = false;
    s.enabled_faults.identity_reuse = true;
    add(s);
  }
  return all;
}

const Scenario* find_scenario(const std::vector<Scenario>& all, const std::string& name) {
  const auto it = std::find_if(all.begin(), all.end(), [&](const auto& s) { return s.name == name; });
  return it == all.end() ? nullptr : &*it;
}

}  // namespace cometfold::explore
