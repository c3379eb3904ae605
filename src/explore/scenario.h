// Small configurations to explore: their requests, the faults that may occur and the number of faults.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::explore {

// The faults that may occur. Each occurrence counts against `Scenario::max_faults`.
struct FaultSet {
  bool malformed_reply = false;    // a reply that can't be parsed
  bool connection_loss = false;    // a connection breaks: before, within or after a reply
  bool error_reply = false;        // -ERR
  bool busy_reply = false;         // -BUSY
  bool extra_bytes = false;        // bytes behind a complete reply, or on an idle connection
  bool connect_refused = false;    // a connection is refused
  bool partial_write = false;      // only part of a request or of a reply can be written at once
  bool client_disconnect = false;  // a client closes its connection
  bool host_drain = false;         // host 1 drains
  bool host_removal = false;       // host 1 is removed
  bool host_replacement = false;   // host 1 is removed, and another host has its address
  bool host_restart = false;       // host 1 is a new process
  bool list_reload = false;        // the gateway gets a full snapshot of the host list
  bool shutdown = false;           // SIGTERM
  bool gateway_crash = false;      // the gateway dies and starts without state
  bool identity_reuse = false;     // the second request has the first one's id
};

struct Scenario {
  std::string name;
  std::string description;
  bool real_policy = true;  // false: a policy that may take any action
  std::vector<Idempotency> requests{Idempotency::kIdempotent, Idempotency::kIdempotent};  // in this order
  bool shared_connection = false;  // false: each request has its own client connection
  IdempotencyScope idempotency_scope = IdempotencyScope::kAll;
  std::size_t host_count = 2;
  bool hedging_allowed = true;
  bool cancellation_allowed = true;
  double max_attempts = 3;
  int max_faults = 2;
  int max_policy_actions = 3;  // of the policy that may take any action, in addition to one for each request
  Ms client_timeout_ms = 260;
  Ms latency_objective_ms = 0;  // of the class; 0: its deadline
  std::size_t max_events = 32;  // in one run
  FaultSet enabled_faults;
};

// All scenarios; with `small` each has fewer faults, so that a check takes seconds.
std::vector<Scenario> scenarios(bool small);
// Null if there is none of this name.
const Scenario* find_scenario(const std::vector<Scenario>& all, const std::string& name);

}  // namespace cometfold::explore
