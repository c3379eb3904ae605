// The interface through which the engine sends attempts to hosts.
#pragma once

#include <cstdint>

#include "engine/request.h"

namespace cometfold::engine {

// Outcome of starting an attempt. A local shortage is kept apart because it must not count against the host.
enum class StartResult : std::uint8_t {
  kStarted,
  kHostUnavailable,  // unknown, draining or removed
  kNoLocalCapacity,  // no connection or file descriptor is free
};

class UpstreamTransport {
 public:
  virtual ~UpstreamTransport() = default;
  // `timeout`: milliseconds that the attempt may take. Once started, exactly one `Engine::on_attempt_end`
  // follows, never from inside this call, unless the attempt is abandoned or withdrawn first.
  virtual StartResult start(Ms now, AttemptId attempt, HostId host, const Payload& payload, Ms timeout) = 0;
  // The attempt's result is no longer wanted; it may have been executed. No `on_attempt_end` follows. Returns
  // whether the host is to blame for the missing reply.
  virtual bool abandon(Ms now, AttemptId attempt) = 0;
  // Abandons the attempt if its last byte is not written yet, so that it is never executed. Returns false if
  // it may have been executed, and leaves it in flight then.
  virtual bool withdraw(Ms now, AttemptId attempt) = 0;
  // Starts nothing new at this host. Attempts that wait for a connection to it end, possibly from inside this
  // call.
  virtual void retire_host(Ms now, HostId host) = 0;
  // Whether the first byte of a started attempt is still to be written. `Engine::may_write` must be called
  // before it is.
  virtual bool awaits_first_byte(AttemptId) const { return false; }
  // The client can take more after `Engine::on_value_chunk` returned false for this attempt.
  virtual void resume(Ms, AttemptId) {}
};

}  // namespace cometfold::engine
