// Limits on attempts by class and route, proved consistent before they take effect. No I/O, no clock.
//
// The limits of a file (by class, and by the external processor's routes) become one immutable set of bounds.
// Each request carries its bounds to the engine and the admission module, which also enforce the platform's
// own. Times are closed intervals, and a rule must hold for every value in them: the longest chain of
// attempts must fit the client's deadline and the idempotency key's lifetime, and retries must fit the
// class's idempotency. A limit that can't be proved is rejected with its setting, its file and line, the
// chain of events that would break the rule, and the nearest valid value.
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

// The limits of one class or route. A limit that is not set is inherited from the class, then the platform.
struct LimitEntry {
  std::string class_name;
  std::string route;           // method and path as written; empty if the entry is for the class itself
  std::size_t rule_index = 0;  // of a route: its index among the external processor's rules
  int line = 0;
  std::optional<SourceValue<double>> max_attempts;    // a whole number; includes the first attempt
  std::optional<SourceValue<Ms>> attempt_timeout_ms;  // of one attempt, from its connection on
  std::optional<SourceValue<Ms>> retry_window_ms;     // from the request's arrival; no retry starts later
  std::optional<SourceValue<bool>> hedging_allowed;   // whether two attempts may be in flight at once
  bool has_limits() const { return max_attempts || attempt_timeout_ms || retry_window_ms || hedging_allowed; }
};

// The limits of a settings file, as read from it.
struct LimitsFile {
  std::string path;
  Interval network_delay{0, 0};  // one way between gateway and host
  int network_delay_line = 0;
  Ms clock_error_ms = 0;  // between the gateway's clock and a host's
  std::vector<LimitEntry> entries;
};

// The platform's configuration. `class_names` and `settings.classes` are both by class index; a withdrawn
// class has an empty name.
struct PlatformConfig {
  std::vector<std::string> class_names;
  AdmissionSettings settings;
  Ms connect_timeout_ms = 0;
};

struct LimitError {
  std::string file;
  int line = 0;
  std::string setting;        // such as limits.class.NAME.send_until_ms
  std::string description;    // one sentence, with the chain of events where there is one
  std::string nearest_valid;  // the nearest valid value, as it would be written; empty if there is none
  // FILE:LINE: SETTING: DESCRIPTION; nearest valid value: VALUE
  std::string to_text() const;
};

// Immutable once proved.
struct ProvenBounds {
  std::vector<RequestBounds> by_class;  // by class index
  std::vector<RequestBounds> by_entry;  // by index in `LimitsFile::entries`; set for routes only
};

// The bounds if all limits are proved, otherwise at least one error.
struct ProofResult {
  ProvenBounds bounds;
  std::vector<LimitError> errors;
  bool valid() const { return errors.empty(); }
};
ProofResult prove(const LimitsFile& file, const PlatformConfig& platform);

// When the last attempt of a chain is sent and ends, in milliseconds from the start of the first.
struct AttemptChain {
  Ms last_sent_ms = 0, last_ended_ms = 0;
};
// The longest chain of attempts under `bounds`. Each attempt takes up to the connect timeout plus its own
// timeout; an attempt without a timeout may last until `client_deadline`.
AttemptChain longest_chain(const RequestBounds& bounds, Ms connect_timeout, Ms client_deadline);

}  // namespace cometfold::limits
