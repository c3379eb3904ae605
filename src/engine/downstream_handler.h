// The interface through which the engine delivers replies to a front end.
#pragma once

#include <cstddef>
#include <string_view>

#include "engine/request.h"

namespace cometfold::engine {

// For each accepted request whose client is still connected the engine makes exactly one of the calls
// `on_served`, `on_rejected` and `on_failed`, or streams a value, possibly before `Engine::accept` returns.
// Implementations must not call the engine from inside these calls.
class DownstreamHandler {
 public:
  virtual ~DownstreamHandler() = default;
  // `value` is valid until the call returns.
  virtual void on_served(Ms now, ResponseHandle response, std::string_view value) = 0;
  // No attempt has had an effect that a repeat could double. `retry_after`: milliseconds until a repeat may
  // succeed; 0: unknown.
  virtual void on_rejected(Ms now, ResponseHandle response, Ms retry_after) = 0;
  virtual void on_failed(Ms now, ResponseHandle response, FailureReason reason) = 0;

  // A long value is streamed instead of `on_served`: started, its chunks, finished. `on_failed` in place of
  // the rest says that the value stays incomplete, which the client must be able to detect. `on_value_chunk`
  // returns false if the chunk is accepted but no more is wanted until `Engine::on_client_writable`.
  virtual void on_value_started(Ms, ResponseHandle, std::size_t) {}
  virtual bool on_value_chunk(Ms, ResponseHandle, std::string_view) { return true; }
  virtual void on_value_finished(Ms, ResponseHandle) {}

  // Whether the client has closed its connection although `Engine::on_client_disconnected` has not been
  // called yet: a process that was paused may find the close behind other events. Checked before an attempt
  // begins.
  virtual bool client_disconnected(ResponseHandle) { return false; }
};

}  // namespace cometfold::engine
