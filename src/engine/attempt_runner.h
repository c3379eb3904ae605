// Starts, withdraws and ends the attempts of requests, and queues each end until the policy is notified of
// it.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "engine/attempt_gate.h"
#include "engine/metrics.h"
#include "engine/policy_caller.h"
#include "engine/request_table.h"
#include "engine/request_tracer.h"

namespace cometfold::engine {

class AttemptRunner {
 public:
  AttemptRunner(RequestTable& requests, const AttemptGate& gate, EngineMetrics& metrics,
                const RequestTracer& tracer, const EngineLogger& logger)
      : requests_(requests), gate_(gate), metrics_(metrics), tracer_(tracer), logger_(logger) {}

  // Starts one more attempt, which is abandoned after `timeout` milliseconds (0: at the request's deadline).
  // An attempt that can't be started ends at once. Returns the attempt's deadline if it was started and its
  // deadline is before the request's.
  std::optional<Ms> start(Ms now, RequestId id, HostId host, Ms timeout);
  void cancel(Ms now, RequestId id, std::uint32_t attempt);
  // Every attempt ends here. Does nothing if the attempt is no longer in flight.
  void end(Ms now, RequestId id, std::uint32_t attempt, Outcome outcome, const LoadReport& load);
  // Withdraws the attempts that are not completely written. They can't have been executed, so this is not a
  // cancellation and is permitted where the settings allow none.
  void withdraw_waiting(Ms now, RequestId id);
  void abandon_overdue(Ms now, RequestId id);

  // See Engine::may_write.
  std::optional<Ms> may_write(Ms now, AttemptId attempt, bool begun);
  void on_written(Ms now, AttemptId attempt);

  bool has_unreported_ends() const { return !unreported_ends_.empty(); }
  // Removes and returns the next end that the policy must be notified of, if there is one.
  std::optional<AttemptResult> pop_unreported_end(Ms now);

 private:
  struct UnreportedEnd {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::kError;
    LoadReport load;
  };

  void add_attempt(Ms now, PendingRequest& request, HostId host, Ms remaining);
  // Whether the attempt may be started. Counts and logs an attempt that the rules prevent.
  bool may_start(Ms now, const PendingRequest& request, std::uint32_t attempt);

  RequestTable& requests_;
  const AttemptGate& gate_;
  EngineMetrics& metrics_;
  const RequestTracer& tracer_;
  const EngineLogger& logger_;
  std::deque<UnreportedEnd> unreported_ends_;
};

}  // namespace cometfold::engine
