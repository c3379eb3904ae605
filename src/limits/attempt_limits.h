// Limits on attempts by class and route, proved against the rules before they are used. Pure: no I/O, no
// clock.
//
// What is written (by class, and by the external processor's routes) becomes one immutable set of bounds,
// which go with each request to the engine and the module; both still keep the site's own. All times are
// closed intervals, and what must hold must hold for every value in them: the longest chain of attempts
// against the client's patience and the key's lifetime, repeats against the class's right to them. What can't
// be proved is refused with the setting, its place, the chain of events that would break the rule and the
// nearest lawful value.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::limits {

// A value and the line on which it is written.
template <class Value>
struct Said {
  Value value{};
  int line = 0;
};

// A closed interval of milliseconds.
struct Span {
  Ms least = 0, most = 0;
};

// What one entry says; what it does not say stays as its class, then the site, has it.
struct Entry {
  std::string cls;       // the class's name
  std::string route;     // method and path as written; empty: the class itself
  std::size_t rule = 0;  // a route's number among the rules
  int line = 0;
  std::optional<Said<double>> attempts;     // at most, the first included; whole
  std::optional<Said<Ms>> attempt_ms;       // one attempt is given up after it
  std::optional<Said<Ms>> send_until_ms;    // from a request's arrival: no further attempt is sent later
  std::optional<Said<bool>> second_copies;  // whether one may go out while another is
  bool says_something() const { return attempts || attempt_ms || send_until_ms || second_copies; }
};

// The file as it was read.
struct Written {
  std::string file;
  Span network{0, 0};  // one way between gateway and host
  int network_line = 0;
  Ms clock_error = 0;  // between the gateway's clock and a host's
  std::vector<Entry> entries;
};

// What the platform's configuration says of classes, by number; a class of no name is withdrawn.
struct Site {
  std::vector<std::string> classes;
  Settings settings;
  Ms connect_timeout_ms = 0;
};

struct Refusal {
  std::string file;
  int line = 0;
  std::string setting;  // such as limits.class.NAME.send_until_ms
  std::string why;      // one sentence, with the chain of events where there is one
  std::string nearest;  // the nearest value that would be lawful, as it would be written; empty: none is
  // FILE:LINE: SETTING: WHY; lawful: NEAREST
  std::string line_text() const;
};

// Bounds by class number, and by entry for those that name a route. Never changed once made.
struct Bounds {
  std::vector<RequestBounds> by_class;
  std::vector<RequestBounds> by_entry;  // as `Written::entries`
};

// Either bounds, or at least one refusal. `settings.classes` and `classes` have one length.
struct Verdict {
  Bounds bounds;
  std::vector<Refusal> refusals;
  bool lawful() const { return refusals.empty(); }
};
Verdict prove(const Written& written, const Site& site);

// When the last of `attempts` may be sent, counted from the first one's send, and when the last has ended at
// the latest: each before it takes up to the connect time-out and then its own. Without a time-out of
// attempts an attempt may end at any time up to `patience`.
struct Chain {
  Ms last_sent = 0, last_ended = 0;
};
Chain longest_chain(const RequestBounds& bounds, Ms connect_timeout, Ms patience);

}  // namespace cometfold::limits
