// The interface through which the engine delivers replies to a front end.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "engine/request.h"

namespace cometfold::engine {

// By when a value should have come whole, as the process ends.
struct CompletionBound {
  Ms deadline = 0;
  // The end of the process may cut the reply off, as its request came early enough in the shutdown.
  bool is_cut_excused = false;
};

// For each accepted request whose client is still connected the engine makes exactly one of the calls
// `on_served`, `on_rejected` and `on_failed`, or streams a value, possibly before `Engine::accept` returns.
// Implementations must not call the engine from inside these calls.
class DownstreamHandler {
 public:
  virtual ~DownstreamHandler() = default;
  // `value` is valid until the call returns.
  virtual void on_served(Ms now, ResponseHandle response, std::string_view value) = 0;
  // A retry by the client is safe, as it can't repeat an effect. `retry_after`: milliseconds until a retry
  // may succeed; 0 if unknown.
  virtual void on_rejected(Ms now, ResponseHandle response, Ms retry_after) = 0;
  virtual void on_failed(Ms now, ResponseHandle response, FailureReason reason) = 0;

  // A long value is streamed instead of passed to `on_served`: started, chunks, finished. If `on_failed` is
  // called in between, the value stays incomplete, and the client must be able to detect that.
  // `on_value_chunk` returns false if the chunk is accepted but no more may follow until
  // `Engine::on_client_writable`.
  // With a bound the value should be passed on only if it is expected to keep that; otherwise see
  // `Engine::fail_late_value`.
  virtual void on_value_started(Ms, ResponseHandle, std::size_t, const std::optional<CompletionBound>&) {}
  virtual bool on_value_chunk(Ms, ResponseHandle, std::string_view) { return true; }
  virtual void on_value_finished(Ms, ResponseHandle) {}
  // Drops what has come of the value if the client has received nothing of it, and returns whether that was
  // so. Another value, or one of the calls above, may then follow.
  virtual bool on_value_withdrawn(Ms, ResponseHandle) { return false; }

  // Whether the client has closed its connection although `Engine::on_client_disconnected` has not been
  // called yet: after a pause of the process, the close may be queued behind other events. Checked before an
  // attempt is started.
  virtual bool client_disconnected(ResponseHandle) { return false; }
  // Whether the front end has memory for the reply; otherwise the request is not accepted.
  virtual bool has_reply_capacity(ResponseHandle) { return true; }
};

}  // namespace cometfold::engine
