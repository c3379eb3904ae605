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
struct SourceValue {
  Value value{};
  int line = 0;
};

// A closed interval of milliseconds.
struct Interval {
  Ms min = 0, max = 0;
};

// What one entry says; what it does not say stays as its class, then the site, has it.
struct LimitEntry {
  std::string class_name;      // the class's name
  std::string route;           // method and path as written; empty: the class itself
  std::size_t rule_index = 0;  // a route's number among the rules
  int line = 0;
  std::optional<SourceValue<double>> max_attempts;    // at most, the first included; whole
  std::optional<SourceValue<Ms>> attempt_timeout_ms;  // one attempt is given up after it
  std::optional<SourceValue<Ms>>
      retry_window_ms;  // from a request's arrival: no further attempt is sent later
  std::optional<SourceValue<bool>> hedging_allowed;  // whether one may go out while another is
  bool has_limits() const { return max_attempts || attempt_timeout_ms || retry_window_ms || hedging_allowed; }
};

// The file as it was read.
struct LimitsFile {
  std::string file;
  Interval network_delay{0, 0};  // one way between gateway and host
  int network_delay_line = 0;
  Ms clock_error_ms = 0;  // between the gateway's clock and a host's
  std::vector<LimitEntry> entries;
};

// What the platform's configuration says of classes, by number; a class of no name is withdrawn.
struct PlatformTerms {
  std::vector<std::string> class_names;
  AdmissionSettings settings;
  Ms connect_timeout_ms = 0;
};

struct LimitError {
  std::string file;
  int line = 0;
  std::string setting;      // such as limits.class.NAME.send_until_ms
  std::string description;  // one sentence, with the chain of events where there is one
  std::string
      nearest_valid;  // the nearest value that would be lawful, as it would be written; empty: none is
  // FILE:LINE: SETTING: WHY; lawful: NEAREST
  std::string to_text() const;
};

// Bounds by class number, and by entry for those that name a route. Never changed once made.
struct ProvenBounds {
  std::vector<RequestBounds> by_class;
  std::vector<RequestBounds> by_entry;  // as `Written::entries`
};

// Either bounds, or at least one refusal. `settings.classes` and `class_names` have one length.
struct ProofResult {
  ProvenBounds bounds;
  std::vector<LimitError> errors;
  bool valid() const { return errors.empty(); }
};
ProofResult prove(const LimitsFile& written, const PlatformTerms& site);

// When the last of `attempts` may be sent, counted from the first one's send, and when the last has ended at
// the latest: each before it takes up to the connect time-out and then its own. Without a time-out of
// attempts an attempt may end at any time up to `unreachable_timeout_ms`.
struct AttemptChain {
  Ms last_sent_ms = 0, last_ended_ms = 0;
};
AttemptChain longest_chain(const RequestBounds& bounds, Ms connect_timeout, Ms patience);

}  // namespace cometfold::limits
