// Small configurations to explore: what there is, what may happen and how often.
#pragma once

#include <string>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::explore {

// What may happen beside the ordinary. Each costs one of `Scenario::faults`.
struct FaultSet {
  bool malformed_reply = false;  // an answer that can't be read
  bool connection_loss = false;  // the connection breaks: before, within or after an answer
  bool error_reply = false;      // -ERR
  bool busy_reply = false;       // -BUSY
  bool extra_bytes = false;      // more behind a good answer, or on an idle connection
  bool silent_connect = false;   // a connection that never comes up (time passes without the choice too)
  bool connect_refused = false;  // a connection is refused
  bool partial_write = false;    // only part of a request, or of an answer, can be written at once
  bool client_disconnect = false;
  bool host_drain = false;        // the list says that host 1 drains
  bool host_removal = false;      // ... that it is gone
  bool host_replacement = false;  // ... that another has taken its place at its address
  bool host_restart = false;      // ... that it is a new process
  bool list_reload = false;       // a reload: the whole list again from elsewhere
  bool shutdown = false;          // SIGTERM
  bool gateway_crash = false;     // the gateway dies and starts from nothing
  bool identity_reuse = false;    // the second request has the first one's id
};

struct Scenario {
  std::string name;
  std::string description;
  bool real_policy = true;  // else a stand-in that may decide anything
  std::vector<Idempotency> requests{Idempotency::kIdempotent,
                                    Idempotency::kIdempotent};  // one of each entry, in this order
  bool shared_connection = false;                               // else a connection for each request
  IdempotencyScope idempotency_scope = IdempotencyScope::kAll;
  std::size_t host_count = 2;
  bool hedging_allowed = true;
  bool cancellation_allowed = true;
  double max_attempts = 3;
  int max_faults = 2;           // things from the menu
  int max_policy_actions = 3;   // of the stand-in module, after its first answer to a request
  Ms client_timeout_ms = 260;   // of a client
  Ms latency_objective_ms = 0;  // of the class; 0: its deadline
  std::size_t max_events = 32;  // events in a run at most
  FaultSet enabled_faults;
};

// The configurations that are explored; `small` ones fit into a check of a minute.
std::vector<Scenario> scenarios(bool small);
const Scenario* find_scenario(const std::vector<Scenario>& all, const std::string& name);

}  // namespace cometfold::explore
