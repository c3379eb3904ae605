// Reports the events of each request to a listener, if there is one.
#pragma once

#include <optional>
#include <utility>

#include "engine/request_event.h"
#include "engine/request_table.h"

namespace cometfold::engine {

class RequestTracer {
 public:
  // The listener is called from inside the engine's calls and must not call the engine.
  void set_listener(RequestEventListener listener) { listener_ = std::move(listener); }

  void record(Ms now, RequestEvent::Kind kind, RequestId id, const PendingRequest& request,
              std::optional<RejectionReason> reason = {}) const {
    if (listener_) listener_(event(now, kind, id, request, request.expires_at, reason));
  }
  void record_attempt(Ms now, RequestEvent::Kind kind, RequestId id, const PendingRequest& request,
                      const Attempt& attempt, AttemptVerdict verdict = AttemptVerdict::kAllowed) const {
    if (!listener_) return;
    RequestEvent step = event(now, kind, id, request, attempt.expires_at, {});
    step.attempt = attempt.id;
    step.host = attempt.host;
    step.outcome = attempt.outcome;
    step.verdict = verdict;
    listener_(step);
  }

 private:
  static RequestEvent event(Ms now, RequestEvent::Kind kind, RequestId id, const PendingRequest& request,
                            Ms expires_at, std::optional<RejectionReason> reason) {
    return {.kind = kind,
            .at = now,
            .request = id,
            .identity = request.identity,
            .response = request.response,
            .remaining_ms = expires_at - now,
            .reason = reason};
  }

  RequestEventListener listener_;
};

}  // namespace cometfold::engine
