// State that a `HostPool` shares with its connections: limits, callbacks, and the attempts in flight.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "engine/engine.h"
#include "resp/memory_budget.h"
#include "resp/stream.h"

namespace cometfold::resp {

using engine::AttemptId;

class HostConnection;

class HostPoolCallbacks {
 public:
  virtual ~HostPoolCallbacks() = default;
  // Called exactly once for each attempt that was started and neither abandoned nor withdrawn. `value` is set
  // with `kOk`; `report` is the host's unparsed load report, or empty. Both are valid until the call returns.
  virtual void on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                              std::string_view report) = 0;
  // A streamed value of `size` bytes starts; its chunks follow. It ends with `on_attempt_end`, with an empty
  // value if all of it was received. If `on_value_chunk` returns false, nothing more is read until
  // `HostPool::resume`.
  virtual void on_value_started(Ms, AttemptId, std::size_t) {}
  virtual bool on_value_chunk(Ms, AttemptId, std::string_view) { return true; }
  // Nothing of a streamed value has come for a while; called again while that goes on.
  virtual void on_value_paused(Ms, AttemptId) {}
  // Asked before writing bytes of an attempt that could not be written when it was started: its first one, or
  // with `begun` the rest. Returns the milliseconds that the attempt may still take, or nothing if it must
  // not be written: it then ends with `kNotSent`.
  virtual std::optional<Ms> may_write(Ms now, AttemptId attempt, bool begun) = 0;
  // The last byte of the attempt is written. May be called from inside `HostPool::start`, so it must not call
  // back.
  virtual void on_attempt_written(AttemptId) {}
};

struct HostPoolLimits {
  Ms connect_timeout_ms = 250;
  Ms idle_timeout_ms = 15'000;        // after which hosts close an idle connection
  std::size_t max_connections = 400;  // over all hosts
  std::size_t max_connections_per_host = 96;
  std::size_t max_idle_per_host = 16;
  Ms reuse_delay_ms = 0;  // after a reply, before the connection is reused
  std::size_t max_value_bytes = std::size_t{4} * 1024 * 1024;  // values above 64 KiB are streamed
  // Without progress of a streamed value: until the owner is notified, and until the attempt is ended.
  Ms pause_notice_ms = 1'000;
  Ms stall_timeout_ms = 10'000;
};

using HostPoolLog = std::function<void(std::string_view event, std::string_view detail)>;

struct HostPoolContext {
  // Removes an attempt and reports its end, unless it is not in flight any more.
  void end_attempt(Ms now, AttemptId attempt, Outcome outcome, std::string_view value = {},
                   std::string_view report = {}) {
    if (attempts.erase(attempt) > 0) callbacks.on_attempt_end(now, attempt, outcome, value, report);
  }

  Dialer& dialer;
  HostPoolCallbacks& callbacks;
  HostPoolLimits limits;
  HostPoolLog log;
  std::size_t connection_count = 0;
  std::unordered_map<AttemptId, std::shared_ptr<HostConnection>> attempts{};  // in flight
  MemoryBudget* memory = nullptr;  // counts the buffers of the connections; null: they are not counted
};

}  // namespace cometfold::resp
