// Small configurations to explore: what there is, what may happen and how often.
#pragma once

#include <string>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::explore {

// What may happen beside the ordinary. Each costs one of `Scenario::faults`.
struct Menu {
  bool spoilt = false;          // an answer that can't be read
  bool broken = false;          // the connection breaks: before, within or after an answer
  bool error = false;           // -ERR
  bool busy = false;            // -BUSY
  bool noise = false;           // more behind a good answer, or on an idle connection
  bool silent_connect = false;  // a connection that never comes up (time passes without the choice too)
  bool refused = false;         // a connection is refused
  bool partial = false;         // only part of a request, or of an answer, can be written at once
  bool client_gone = false;
  bool drain = false;      // the list says that host 1 drains
  bool gone = false;       // ... that it is gone
  bool replaced = false;   // ... that another has taken its place at its address
  bool restarted = false;  // ... that it is a new process
  bool relist = false;     // a reload: the whole list again from elsewhere
  bool stop = false;       // SIGTERM
  bool crash = false;      // the gateway dies and starts from nothing
  bool same_id = false;    // the second request has the first one's id
};

struct Scenario {
  std::string name;
  std::string about;
  bool real_module = true;  // else a stand-in that may decide anything
  std::vector<Idempotency> requests{Idempotency::kIdempotent,
                                    Idempotency::kIdempotent};  // one of each entry, in this order
  bool one_connection = false;                                  // else a connection for each request
  IdempotencyScope group = IdempotencyScope::kAll;
  std::size_t hosts = 2;
  bool second_copies = true;
  bool may_cancel = true;
  double max_attempts = 3;
  int faults = 2;          // things from the menu
  int module_acts = 3;     // of the stand-in module, after its first answer to a request
  Ms wait = 260;           // of a client
  Ms aim = 0;              // of the class; 0: its deadline
  std::size_t depth = 32;  // events in a run at most
  Menu menu;
};

// The configurations that are explored; `small` ones fit into a check of a minute.
std::vector<Scenario> scenarios(bool small);
const Scenario* find_scenario(const std::vector<Scenario>& all, const std::string& name);

}  // namespace cometfold::explore
