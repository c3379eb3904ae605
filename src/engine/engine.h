// Processes the requests of one gateway, without I/O: accepts them, runs their attempts as the policy
// decides, and delivers each final reply.
//
// Guarantees, whatever the policy does:
//   - each accepted request gets exactly one final reply at its front end, or none if its client disconnects
//     first;
//   - after that reply no attempt is started, and no attempt that waits for its connection is written;
//   - each attempt ends exactly once, and the policy is notified of each end exactly once;
//   - a request is answered by its deadline, if `run_timers` is called at the time that `next_timer` returns;
//   - a host that drains or is removed gets no new attempt once `on_host_list` has returned;
//   - memory is bounded by `EngineLimits` and the attempts that the policy starts.
// The engine chooses no host, no retry and no rejection, except for lack of its own capacity.
//
// Time is passed in with every call, in milliseconds, and never decreases. Unless stated otherwise, the
// engine must not be called from inside a callback that it makes. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "cometfold/admission_controller.h"
#include "engine/admission_policy.h"
#include "engine/attempt_gate.h"
#include "engine/attempt_runner.h"
#include "engine/digest.h"
#include "engine/downstream_handler.h"
#include "engine/limits.h"
#include "engine/metrics.h"
#include "engine/policy_caller.h"
#include "engine/reply_dispatcher.h"
#include "engine/request.h"
#include "engine/request_event.h"
#include "engine/request_table.h"
#include "engine/request_tracer.h"
#include "engine/timer_queue.h"
#include "engine/upstream_transport.h"

namespace cometfold::engine {

class Engine : private ActionSink {
 public:
  // The policy and the transport must outlive the engine.
  Engine(AdmissionPolicy& policy, UpstreamTransport& upstream, const EngineLimits& limits,
         EngineLogger logger);
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Adds a transport for requests that select it. It must outlive the engine.
  void add_upstream(UpstreamTransport& upstream) { upstreams_.push_back(&upstream); }
  void start(Ms now);
  // The host list has changed. Hosts that became ready must be known to the transports before this call;
  // hosts that are no longer ready are retired by it.
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries);

  // With kAccepted, `request_id` is the id to pass to `on_client_disconnected`, or 0 if the request already
  // has its reply.
  AcceptResult accept(Ms now, DownstreamHandler& handler, ResponseHandle response, IncomingRequest incoming,
                      RequestId& request_id);
  // The client has disconnected and wants no reply. Unknown and finished requests are ignored.
  void on_client_disconnected(Ms now, RequestId request_id);

  // A started attempt has ended; called once for each. `value` is used with kOk only.
  void on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                      const LoadReport& load);

  // A long value of an attempt has started, and each of its chunks; `on_attempt_end` ends it. Once started,
  // the value is the request's reply: no other attempt's value is used unless its host pauses, the deadline
  // no longer applies once the client has received some of it (the transport must end a stream that stalls),
  // and the request can't be rejected. `on_value_chunk` returns false if no more may follow until
  // `UpstreamTransport::resume`.
  void on_value_started(Ms now, AttemptId attempt, std::size_t size);
  bool on_value_chunk(Ms now, AttemptId attempt, std::string_view chunk);
  // Nothing has come of an attempt's value for a while. The policy may send another attempt. Its value, or
  // its rest, is passed on instead if the client then receives that host's whole value (see `StreamedValue`).
  void on_value_paused(Ms now, AttemptId attempt);
  // The client can take more of this request's value.
  void on_client_writable(Ms now, RequestId request_id);

  // As `on_attempt_end`, for a request whose client already has its reply, whatever the outcome: nothing is
  // delivered, and no further attempt is made.
  void on_final_attempt_end(Ms now, AttemptId attempt, Outcome outcome, const LoadReport& load);

  // When `run_timers` must be called next; empty if there are no timers. Any other call may change it.
  std::optional<Ms> next_timer() { return timers_.next(requests_); }
  void run_timers(Ms now);

  // Begins a graceful shutdown: every request gets its reply, or the first bytes of it, within
  // `EngineLimits::shutdown_timeout_ms`.
  void begin_shutdown(Ms now);
  std::optional<Ms> shutdown_deadline() const { return shutdown_deadline_; }
  // Fails a request whose value would not come whole before the end of the process. Does nothing if its
  // client has received part.
  void fail_late_value(Ms now, RequestId request_id);
  // Fails all unanswered requests but those whose client has received part of a value: that goes on, unless
  // the request came late in the shutdown and the value's host has paused. Unlike a rejection, a failure does
  // not imply that a retry is safe, so it is correct for every class, whatever has been executed.
  void fail_unbegun(Ms now);
  // Fails all unanswered requests, and cuts off values that are being passed on.
  void fail_all(Ms now);

  // The last byte of an attempt has been written. Only counts and traces it, so this may be called from
  // inside `UpstreamTransport::start`.
  void on_written(AttemptId attempt) { runner_.on_written(now_, attempt); }
  // Whether bytes of an attempt that waited may be written now: its first byte or, with `begun`, further
  // ones. Returns the milliseconds that the attempt may still take; if empty, the transport must end the
  // attempt as kNotSent. Does not call the policy.
  std::optional<Ms> may_write(Ms now, AttemptId attempt, bool begun);

  // By class index; trailing classes without any request may be missing.
  const std::vector<ClassMetrics>& class_metrics() const { return metrics_.by_class; }
  const RejectionMetrics& rejection_metrics() const { return metrics_.rejections; }
  const RuleMetrics& rule_metrics() const { return metrics_.rules; }
  const AttemptMetrics& attempt_metrics() const { return metrics_.attempts; }
  const ValueMetrics& value_metrics() const { return metrics_.values; }

  // The settings that are enforced on attempts and rejections of requests accepted from now on. Until the
  // first call only deadlines, replies and the host list are enforced.
  void update_settings(const AdmissionSettings& settings) { gate_.update_settings(settings); }
  // The listener is called for each event of each request, from inside the engine's calls; it must not call
  // the engine.
  void set_event_listener(RequestEventListener listener) { tracer_.set_listener(std::move(listener)); }
  // Applies to requests that are accepted from now on.
  // For the process that takes over from this one, and in it. See `RequestTable`.
  std::vector<IdentityInUse> identities_in_use(Ms now) const { return requests_.identities_in_use(now); }
  void reserve_identities(Ms now, std::vector<IdentityInUse> identities) {
    requests_.reserve_identities(now, std::move(identities));
  }
  // During a shutdown a shorter timeout of it brings its deadline forward; a longer one changes nothing.
  void set_limits(const EngineLimits& limits);

  std::size_t unanswered_count() const { return requests_.unanswered_count(); }
  // Requests without their final reply, and answered ones whose attempts have not all ended.
  std::size_t open_count() const { return requests_.size(); }
  std::size_t payload_bytes() const { return requests_.payload_bytes(); }
  std::size_t timer_count() const { return timers_.size(); }
  void digest(Digest& into) const;

 private:
  // ActionSink
  void send(RequestId request, HostId host, Ms timeout) override;
  void cancel(RequestId request, std::uint32_t attempt) override;
  void reject(RequestId request, Ms retry_after, RejectionReason reason) override;
  void fail(RequestId request, RejectionReason reason) override;
  void schedule_timer(Ms delay, std::uint64_t token) override;
  void send_health_check(HostId) override {}  // never called: a gateway's settings exclude health checks
  void watch_hosts() override {}              // the host list is always watched
  void poll_hosts() override {}
  void log(std::string_view text) override { logger_("policy", text); }

  PendingRequest make_pending(Ms now, DownstreamHandler& handler, ResponseHandle response,
                              IncomingRequest& incoming) const;
  void process_pending();
  void report_attempt_ends();
  void fail_if_unanswerable(RequestId id);
  void expire(RequestId id);
  void end_value(Ms now, RequestTable::AttemptRef ref, Outcome outcome, std::string_view value);
  void fail_interrupted_value(RequestId id);
  std::optional<CompletionBound> completion_bound(const PendingRequest& request) const;
  bool is_passed_on(Ms now, RequestId id);
  bool may_go_on(Ms now, RequestId id);
  void fail_at_shutdown(Ms now, RequestId id);

  EngineLogger logger_;
  EngineLimits limits_;
  std::vector<UpstreamTransport*> upstreams_;  // the first one is the default
  RequestTable requests_;
  EngineMetrics metrics_;
  RequestTracer tracer_;
  AttemptGate gate_;
  TimerQueue timers_;
  PolicyCaller policy_;
  AttemptRunner runner_;
  ReplyDispatcher replies_;
  Ms now_ = 0;  // of the current call
  bool processing_pending_ = false;
  Ms shutdown_began_at_ = 0;
  std::optional<Ms> shutdown_deadline_;
};

}  // namespace cometfold::engine
