// The interface of rule monitors. A monitor checks the messages on the network as an outside observer sees
// them. It doesn't use the engine's state, so that it finds faults in it.
//
// Events must be passed in order of time. Monitors keep every request forever: they are for the model checker
// and tests, not for production. No I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"
#include "engine/digest.h"

namespace cometfold::rules {

using GatewayId = std::uint32_t;

// `request` is the request's id in the protocol, `connection` identifies a connection to a host.
struct Event {
  enum Kind : std::uint8_t {
    kRequestReceived,     // a request's last byte was written to a gateway's client connection
    kServed,              // its final reply: a value
    kRejected,            // its final reply: a rejection
    kFailed,              // its final reply: anything else
    kClientDisconnected,  // its client closed the connection before the reply
    kExecuted,            // a host executed the request and produced `value`
    kAttemptFirstByte,    // an attempt's first byte was written to a host's connection
    kAttemptWritten,      // an attempt's last byte was written
    kNotExecuted,     // the host's reply or the connection's state proves that the attempt is never executed
    kAttemptEnded,    // the attempt is no longer in flight: answered, or its connection has closed
    kHostUpdate,      // a gateway was notified of a host's state
    kGatewayCrashed,  // a gateway crashed: clients must retry the requests that it had accepted
  };
  Kind kind = kRequestReceived;
  Ms at = 0;
  GatewayId gateway = 0;
  std::uint64_t request = 0;
  std::uint64_t connection = 0;
  HostId host = 0;
  std::string_view value = {};
  // kRequestReceived
  std::uint32_t class_index = 0;
  std::uint32_t plan_index = 0;
  CustomerId customer = 0;
  double units = 1;
  Ms expires_at = 0;
  // kHostUpdate
  HostEntry entry = {};
};

inline bool is_final_reply(Event::Kind kind) {
  return kind == Event::kServed || kind == Event::kRejected || kind == Event::kFailed;
}

// Both texts are stored in trace files, and tests compare them with those of a replay.
struct Violation {
  std::string rule;
  std::string description;
};

class Monitor {
 public:
  virtual ~Monitor() = default;
  virtual std::optional<Violation> observe(const Event& event) = 0;
  // Called periodically and at the end: reports what should have happened by now and has not.
  virtual std::optional<Violation> check_deadlines(Ms) { return {}; }
  virtual void digest(engine::Digest& into) const = 0;
};

}  // namespace cometfold::rules
