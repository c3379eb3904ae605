#include "explore/scenario.h"

#include <algorithm>

namespace cometfold::explore {

namespace {

const char* letter(Idempotency r) {
  return r == Idempotency::kIdempotent ? "safe" : r == Idempotency::kIdempotencyKey ? "keyed" : "unsafe";
}

// What goes wrong with answers and connections, and what the list may say meanwhile.
Menu trouble() {
  Menu m;
  m.spoilt = m.broken = m.error = m.busy = m.noise = m.refused = m.partial = m.client_gone = true;
  m.drain = m.gone = m.replaced = m.restarted = m.relist = true;
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
    s.about = "the real module, two requests of one kind, any trouble";
    s.requests = {repeat, repeat};
    s.faults = faults;
    s.menu = trouble();
    add(s);
    // One request alone can be followed further: more troubles, second copies, stop and crash.
    s.name += "-deep";
    s.about = "the real module, one request, more troubles, stop and crash";
    s.requests = {repeat};
    s.faults = faults + 1;
    s.menu.stop = s.menu.crash = true;
    add(s);
  }
  {
    Scenario s;
    s.name = "real-mixed-pipelined";
    s.about =
        "the real module, a safe and an unsafe request on one connection; answers in order, ids used again";
    s.requests = {Idempotency::kNonIdempotent, Idempotency::kIdempotent};
    s.one_connection = true;
    s.faults = faults;
    s.menu = trouble();
    s.menu.same_id = s.menu.stop = true;
    add(s);
    s.name = "real-no-cancel";
    s.about = "the real module where it may neither cancel nor send second copies";
    s.requests = {Idempotency::kIdempotent};
    s.one_connection = false;
    s.second_copies = s.may_cancel = false;
    s.faults = faults + 1;
    add(s);
    s.name = "real-one-at-a-time";
    s.about = "the real module where it may cancel and not send second copies";
    s.may_cancel = true;
    add(s);
    s.name = "real-keyed-cell";
    s.about = "the real module, a keyed class whose group is one host";
    s.requests = {Idempotency::kIdempotencyKey};
    s.group = IdempotencyScope::kCell;
    s.second_copies = true;
    add(s);
  }
  // A module that decides anything: the engine must hold its own promises.
  {
    Scenario s;
    s.real_module = false;
    s.name = "any-one";
    s.about = "a module that decides anything, one request, any trouble, stop and crash";
    s.requests = {Idempotency::kIdempotent};
    s.module_acts = 1;
    s.faults = faults;
    s.menu = trouble();
    s.menu.stop = s.menu.crash = true;
    add(s);
    s.name = "any-two";
    s.about = "a module that decides anything, two requests on one connection, ids used again";
    s.requests = {Idempotency::kIdempotent, Idempotency::kNonIdempotent};
    s.one_connection = true;
    s.module_acts = small ? 0 : 1;
    s.faults = 1;
    s.menu.crash = false;
    s.menu.same_id = true;
    add(s);
  }
  return all;
}

const Scenario* find_scenario(const std::vector<Scenario>& all, const std::string& name) {
  const auto it = std::find_if(all.begin(), all.end(), [&](const auto& s) { return s.name == name; });
  return it == all.end() ? nullptr : &*it;
}

}  // namespace cometfold::explore
