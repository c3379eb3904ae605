// Limits on attempts by class and route, proved consistent before they take effect. Pure: no I/O, no clock.
//
// The limits of a file (by class, and by the external processor's routes) become one immutable set of bounds,
// which go with each request to the engine and the admission module; both also keep the platform's own. Times
// are closed intervals, and a rule has to hold for each value in them: the longest chain of attempts against
// the client's deadline and the idempotency key's lifetime, retries against the class's idempotency. A limit
// that can't be proved is rejected with its setting, its place, the chain of events that would break the rule
// and the nearest valid value.
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

// The limits of one class or route. A limit that it does not name is its class's, then the platform's.
struct LimitEntry {
  std::string class_name;
  std::string route;           // method and path as written; empty: the entry is for the class itself
  std::size_t rule_index = 0;  // a route's number among the rules
  int line = 0;
  std::optional<SourceValue<double>> max_attempts;    // a whole number, the first attempt included
  std::optional<SourceValue<Ms>> attempt_timeout_ms;  // of one attempt, once it is connected
  std::optional<SourceValue<Ms>> retry_window_ms;     // after a request's arrival no retry starts later
  std::optional<SourceValue<bool>> hedging_allowed;   // whether two attempts may be in flight at once
  bool has_limits() const { return max_attempts || attempt_timeout_ms || retry_window_ms || hedging_allowed; }
};

// The limits of a settings file as read.
struct LimitsFile {
  std::string path;
  Interval network_delay{0, 0};  // one way between gateway and host
  int network_delay_line = 0;
  Ms clock_error_ms = 0;  // between the gateway's clock and a host's
  std::vector<LimitEntry> entries;
};

// The platform's configuration, by class index; a withdrawn class has an empty name. `settings.classes` and
// `class_names` have one length.
struct PlatformTerms {
  std::vector<std::string> class_names;
  AdmissionSettings settings;
  Ms connect_timeout_ms = 0;
};

struct LimitError {
  std::string file;
  int line = 0;
  std::string setting;        // such as limits.class.NAME.send_until_ms
  std::string description;    // one sentence, with the chain of events where there is one
  std::string nearest_valid;  // the nearest valid value, as it would be written; empty: there is none
  // FILE:LINE: SETTING: DESCRIPTION; lawful: NEAREST
  std::string to_text() const;
};

// Immutable once proved.
struct ProvenBounds {
  std::vector<RequestBounds> by_class;  // by class index
  std::vector<RequestBounds> by_entry;  // as `LimitsFile::entries`; set for routes only
};

// Either bounds, or at least one error.
struct ProofResult {
  ProvenBounds bounds;
  std::vector<LimitError> errors;
  bool valid() const { return errors.empty(); }
};
ProofResult prove(const LimitsFile& file, const PlatformTerms& platform);

// The longest chain of attempts under these bounds, in ms from the first attempt's start.
struct AttemptChain {
  Ms last_sent_ms = 0, last_ended_ms = 0;
};
// Each attempt takes up to the connect timeout and then its own; one without a timeout may end at any time up
// to `client_deadline`.
AttemptChain longest_chain(const RequestBounds& bounds, Ms connect_timeout, Ms client_deadline);

}  // namespace cometfold::limits
