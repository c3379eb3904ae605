// A request as it is passed to the engine, and the results that its front end gets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "cometfold/admission_controller.h"

namespace cometfold::engine {

class UpstreamTransport;

using AttemptId = std::uint64_t;

// Tells a front end where to deliver a reply. Opaque to the engine, which passes it back unchanged.
struct ResponseHandle {
  std::uint64_t connection = 0;
  std::uint64_t sequence = 0;
};

// The part of a request that only the front end and the transport use. Kept until the request's last attempt
// has ended.
class Payload {
 public:
  virtual ~Payload() = default;
  virtual std::size_t bytes() const = 0;  // counted against EngineLimits::max_payload_bytes
};

// A request as a front end has parsed it. The engine sets `request.id` and `request.expires_at`.
struct IncomingRequest {
  Request request;
  Ms timeout_ms = 0;           // how long its client waits, from now
  std::uint64_t identity = 0;  // its id in the hosts' protocol; open requests never share one
  std::unique_ptr<Payload> payload;
  UpstreamTransport* upstream = nullptr;  // carries out its attempts; null for the engine's default
};

enum class AcceptResult : std::uint8_t {
  kAccepted,            // a reply follows or has been delivered
  kDuplicateIdentity,   // another open request has this identity; nothing was done
  kNoCapacity,          // beyond EngineLimits or the front end's memory; nothing was done
  kClientDisconnected,  // its client has closed its connection; nothing was done, and no reply follows
};

// Why an accepted request has failed.
enum class FailureReason : std::uint8_t {
  kPolicy,        // the policy's decision
  kTimedOut,      // its deadline has passed
  kShuttingDown,  // the gateway shuts down before a reply is available
  kInternal,      // the policy threw, and no attempt is in flight that could serve it
};

}  // namespace cometfold::engine
