// The interface through which the engine gets its decisions. `ControllerPolicy` implements it for the
// gateway; the model checker also has a policy that makes any decision that the interface can express.
#pragma once

#include <cstdint>
#include <span>

#include "cometfold/admission_controller.h"

namespace cometfold::engine {

// Events are passed in order of time, with `now` in milliseconds. The policy issues its actions through `out`
// before a call returns. Any call may throw: the engine then continues without that decision.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;
  virtual void start(Ms now, ActionSink& out) = 0;
  virtual void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                            ActionSink& out) = 0;
  virtual void on_request(Ms now, const Request& request, ActionSink& out) = 0;
  virtual void on_attempt_end(Ms now, const AttemptResult& result, ActionSink& out) = 0;
  // The value of an attempt is passed on in chunks from now on, possibly in place of another one's;
  // `on_attempt_end` follows when it is complete or has been interrupted. Optional.
  virtual void on_stream_started(Ms, RequestId, std::uint32_t, ActionSink&) {}
  // The host of this attempt has sent nothing of its value for a while; called again while that goes on.
  // Another attempt may be sent, whose value takes over if it can. Optional.
  virtual void on_stream_paused(Ms, RequestId, std::uint32_t, ActionSink&) {}
  virtual void on_client_disconnected(Ms now, RequestId request, ActionSink& out) = 0;
  virtual void on_timer(Ms now, std::uint64_t token, ActionSink& out) = 0;
};

}  // namespace cometfold::engine
