// The interface through which the engine sends attempts to hosts.
#pragma once

#include <cstdint>

#include "engine/request.h"

namespace cometfold::engine {

// Result of starting an attempt. Lack of local capacity has a value of its own, as it must not count against
// the host.
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
  // Abandons an attempt, whose result is no longer needed; it may have been executed. No `on_attempt_end`
  // follows. Returns whether the host is at fault for the missing reply.
  virtual bool abandon(Ms now, AttemptId attempt) = 0;
  // Abandons the attempt if its last byte is not written yet, so that it is never executed. Otherwise returns
  // false and leaves it in flight, as it may have been executed.
  virtual bool withdraw(Ms now, AttemptId attempt) = 0;
  // Starts no new attempts at this host. Attempts that wait for a connection to it end, possibly from inside
  // this call.
  virtual void retire_host(Ms now, HostId host) = 0;
  // Whether the first byte of a started attempt is still to be written. `Engine::may_write` must be called
  // before it is written.
  virtual bool awaits_first_byte(AttemptId) const { return false; }
  // The client can take more after `Engine::on_value_chunk` returned false for this attempt.
  virtual void resume(Ms, AttemptId) {}
};

}  // namespace cometfold::engine
