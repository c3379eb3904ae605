#include "engine/engine.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "engine/faults.h"

namespace cometfold::engine {

Engine::Engine(AdmissionPolicy& policy, UpstreamTransport& upstream, const EngineLimits& limits,
               EngineLogger logger)
    : logger_(std::move(logger)),
      limits_(limits),
      upstreams_{&upstream},
      policy_(policy, logger_),
      runner_(requests_, gate_, metrics_, tracer_, logger_),
      replies_(requests_, metrics_, tracer_) {}

void Engine::start(Ms now) {
  now_ = now;
  policy_.call(PolicyCaller::kNoRequest, [&](AdmissionPolicy& policy) { policy.start(now, *this); });
  process_pending();
}

void Engine::on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries) {
  now_ = now;
  gate_.update_hosts(kind, entries);
  // The policy is called first, so that it already knows the new list when the attempts at retired hosts end.
  const bool returned = policy_.call(PolicyCaller::kNoRequest, [&](AdmissionPolicy& policy) {
    policy.on_host_list(now, kind, entries, *this);
  });
  const bool skip_retirement = !returned && mutant(Mutant::kNoRetirementOnPolicyException);
  for (const auto& entry : entries) {
    if (entry.state == HostState::kReady || skip_retirement) continue;
    for (UpstreamTransport* upstream : upstreams_) upstream->retire_host(now, entry.id);
  }
  process_pending();
}

// ---- requests and clients ----

AcceptResult Engine::accept(Ms now, DownstreamHandler& handler, ResponseHandle response,
                            IncomingRequest incoming, RequestId& request_id) {
  now_ = now;
  request_id = 0;
  // Hosts can't distinguish two requests of one identity, and one's reply could be taken for the other's.
  if (requests_.identity_in_use(now, incoming.identity) && !mutant(Mutant::kAllowsDuplicateIdentity)) {
    return AcceptResult::kDuplicateIdentity;
  }
  if (handler.client_disconnected(response)) {
    metrics_.count_prevented_first_byte(AttemptVerdict::kClientDisconnected);
    return AcceptResult::kClientDisconnected;
  }
  if (requests_.unanswered_count() >= limits_.max_open_requests ||
      requests_.payload_bytes() + incoming.payload->bytes() > limits_.max_payload_bytes ||
      !handler.has_reply_capacity(response)) {
    ++metrics_.of_class(incoming.request.class_index).rejected;
    ++metrics_.rejections.no_capacity;
    return AcceptResult::kNoCapacity;
  }
  const auto [id, pending] = requests_.add(make_pending(now, handler, response, incoming));
  incoming.request.id = id;
  incoming.request.expires_at = pending.expires_at;
  tracer_.record(now, RequestEvent::kAccepted, id, pending);
  if (!mutant(Mutant::kNoDeadlineTimer)) timers_.push({pending.expires_at, Timer::kDeadline, id});
  policy_.call(id, [&](AdmissionPolicy& policy) { policy.on_request(now, incoming.request, *this); });
  process_pending();
  const PendingRequest* const still_pending = requests_.find(id);
  if (still_pending && !still_pending->answered) request_id = id;
  return AcceptResult::kAccepted;
}

PendingRequest Engine::make_pending(Ms now, DownstreamHandler& handler, ResponseHandle response,
                                    IncomingRequest& incoming) const {
  Ms expires_at = now + std::max(incoming.timeout_ms - limits_.deadline_margin_ms, 0.0);
  if (shutdown_deadline_) expires_at = std::min(expires_at, *shutdown_deadline_);
  PendingRequest pending;
  pending.handler = &handler;
  pending.upstream = incoming.upstream ? incoming.upstream : upstreams_.front();
  pending.response = response;
  pending.payload = std::move(incoming.payload);
  pending.expires_at = expires_at;
  pending.is_late_in_shutdown = shutdown_deadline_ && now >= shutdown_began_at_ + limits_.shutdown_excused_ms;
  pending.identity = incoming.identity;
  pending.class_index = incoming.request.class_index;
  pending.class_settings = gate_.class_settings(pending.class_index);
  return pending;
}

void Engine::on_client_disconnected(Ms now, RequestId request_id) {
  now_ = now;
  const PendingRequest* const request = requests_.find(request_id);
  if (!request || request->answered || mutant(Mutant::kIgnoresClientDisconnect)) return;
  tracer_.record(now, RequestEvent::kClientDisconnected, request_id, *request);
  replies_.finish_disconnected(now, request_id);
  // The rest of a streamed value is discarded, and must not wait for a client to read it.
  replies_.resume_value(now, request_id);
  policy_.call(PolicyCaller::kNoRequest,
               [&](AdmissionPolicy& policy) { policy.on_client_disconnected(now, request_id, *this); });
  process_pending();
}

void Engine::on_client_writable(Ms now, RequestId request_id) {
  now_ = now;
  replies_.resume_value(now, request_id);
}

// ---- the policy's actions ----

void Engine::send(RequestId request, HostId host, Ms timeout) {
  const auto attempt_deadline = runner_.start(now_, request, host, timeout);
  if (attempt_deadline) timers_.push({*attempt_deadline, Timer::kDeadline, request});
}

void Engine::cancel(RequestId request, std::uint32_t attempt) { runner_.cancel(now_, request, attempt); }

void Engine::reject(RequestId request, Ms retry_after, RejectionReason reason) {
  if (replies_.is_streaming(request)) return;
  const PendingRequest* const pending = requests_.find(request);
  if (pending && !pending->answered && !gate_.allows_rejection(*pending)) {
    ++metrics_.rules.rejections;
    logger_("the attempt rules prevented a rejection", "an attempt may have been executed");
    return fail(request, reason);
  }
  replies_.reject(now_, request, retry_after, reason);
}

void Engine::fail(RequestId request, RejectionReason reason) {
  if (!replies_.is_streaming(request)) replies_.fail_by_policy(now_, request, reason);
}

void Engine::schedule_timer(Ms delay, std::uint64_t token) {
  const Ms bounded = std::isfinite(delay) ? std::max(delay, 0.0) : 0.0;
  timers_.push({now_ + bounded, Timer::kPolicy, token});
}

// ---- attempts ----

std::optional<Ms> Engine::may_write(Ms now, AttemptId attempt, bool begun) {
  now_ = now;
  return runner_.may_write(now, attempt, begun);
}

void Engine::on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                            const LoadReport& load) {
  now_ = now;
  const auto ref = requests_.find_attempt(attempt);
  if (!ref) return;
  if (replies_.is_streaming(ref->request)) {
    end_value(now, *ref, outcome, value);
  } else if (outcome == Outcome::kOk) {
    replies_.serve(now, ref->request, value);
  }
  runner_.end(now, ref->request, ref->index, outcome, load);
  process_pending();
}

// An attempt of a request has ended whose reply is being streamed. If the host of that value had paused, the
// value is kept as long as another attempt may still continue or replace it.
void Engine::end_value(Ms now, RequestTable::AttemptRef ref, Outcome outcome, std::string_view value) {
  const PendingRequest& request = *requests_.find(ref.request);
  if (request.streams_from(ref.index)) {
    const bool others_may_continue = request.value->paused() && request.in_flight_count > 1;
    if (outcome == Outcome::kOk || !others_may_continue) replies_.finish_value(now, ref.request, outcome);
    return;
  }
  // A streamed value is empty here; this one is short.
  const bool can_serve = outcome == Outcome::kOk && !value.empty() && request.value->paused();
  if (can_serve && replies_.withdraw_value(now, ref.request)) replies_.serve(now, ref.request, value);
}

void Engine::on_final_attempt_end(Ms now, AttemptId attempt, Outcome outcome, const LoadReport& load) {
  now_ = now;
  const auto ref = requests_.find_attempt(attempt);
  if (!ref) return;
  replies_.finish_delivered(now, ref->request, outcome);
  runner_.end(now, ref->request, ref->index, outcome, load);
  process_pending();
}

void Engine::on_value_started(Ms now, AttemptId attempt, std::size_t size) {
  now_ = now;
  const auto ref = requests_.find_attempt(attempt);
  if (!ref) return;
  const auto bound = completion_bound(*requests_.find(ref->request));
  if (!replies_.start_value(now, ref->request, ref->index, size, bound)) return;
  policy_.call(ref->request, [&](AdmissionPolicy& policy) {
    policy.on_stream_started(now, ref->request, ref->index, *this);
  });
  process_pending();
}

bool Engine::on_value_chunk(Ms now, AttemptId attempt, std::string_view chunk) {
  now_ = now;
  const auto ref = requests_.find_attempt(attempt);
  if (!ref) return true;
  const auto result = replies_.append_value(now, ref->request, ref->index, chunk);
  if (result.took_over) {
    policy_.call(ref->request, [&](AdmissionPolicy& policy) {
      policy.on_stream_started(now, ref->request, ref->index, *this);
    });
    process_pending();
  }
  return result.wants_more;
}

void Engine::on_value_paused(Ms now, AttemptId attempt) {
  now_ = now;
  const auto ref = requests_.find_attempt(attempt);
  if (!ref) return;
  PendingRequest* const request = requests_.find(ref->request);
  if (request->answered || !request->streams_from(ref->index)) return;
  ++metrics_.values.pauses;
  request->value->set_paused();
  if (now >= request->expires_at) {
    expire(ref->request);
  } else {
    policy_.call(ref->request, [&](AdmissionPolicy& policy) {
      policy.on_stream_paused(now, ref->request, ref->index, *this);
    });
  }
  process_pending();
}

// ---- consequences of an event ----

// Completes an event and the policy's actions: notifies the policy of attempt ends, withdraws waiting
// attempts of requests that have their reply, and fails requests on which the policy threw. Each step may
// cause further ones.
void Engine::process_pending() {
  if (policy_.in_call() || processing_pending_) return;
  processing_pending_ = true;
  for (;;) {
    report_attempt_ends();
    if (const auto finished = replies_.pop_finished()) {
      runner_.withdraw_waiting(now_, *finished);
      requests_.erase_if_done(*finished);
    } else if (const auto faulted = policy_.pop_faulted_request()) {
      fail_if_unanswerable(*faulted);
    } else if (!runner_.has_unreported_ends()) {
      break;
    }
  }
  processing_pending_ = false;
}

void Engine::report_attempt_ends() {
  while (const auto end = runner_.pop_unreported_end(now_)) {
    policy_.call(end->request, [&](AdmissionPolicy& policy) { policy.on_attempt_end(now_, *end, *this); });
    fail_interrupted_value(end->request);
    requests_.erase_if_done(end->request);
  }
}

// No attempt is left that could continue the value.
void Engine::fail_interrupted_value(RequestId id) {
  const PendingRequest* const request = requests_.find(id);
  if (!request || request->answered || !request->value || request->in_flight_count > 0) return;
  replies_.finish_value(now_, id, Outcome::kConnectionLost);
}

// Fails a request on which the policy threw if no attempt is left that could answer it. It fails at once
// rather than at its deadline, so that its client can retry sooner, and the policy is told that the client
// disconnected, so that it forgets the request.
void Engine::fail_if_unanswerable(RequestId id) {
  PendingRequest* const request = requests_.find(id);
  if (!request || request->answered || request->in_flight_count > 0) return;
  if (mutant(Mutant::kDropsRequestOnPolicyException)) {
    requests_.mark_answered_keeping_identity(*request);
    return requests_.erase_if_done(id);
  }
  replies_.fail(now_, id, FailureReason::kInternal);
  policy_.call(PolicyCaller::kNoRequest,
               [&](AdmissionPolicy& policy) { policy.on_client_disconnected(now_, id, *this); });
}

// ---- time ----

// The deadline of a request or of one of its attempts has passed. Usually a timer of the policy has answered
// the request before that. A value is bound by the deadline only if its host has paused and the client has
// received nothing of it.
void Engine::expire(RequestId id) {
  const PendingRequest* request = requests_.find(id);
  if (!request) return;
  const bool value_paused = now_ >= request->expires_at && request->value && request->value->paused();
  const bool withdrawn = value_paused && !request->answered && replies_.withdraw_value(now_, id);
  runner_.abandon_overdue(now_, id);
  report_attempt_ends();
  request = requests_.find(id);
  if (!request || request->value || now_ < request->expires_at) return;
  if (!request->answered && !withdrawn)
    logger_("a request failed at its deadline without a decision by the policy", "");
  replies_.fail(now_, id, FailureReason::kTimedOut);
}

void Engine::run_timers(Ms now) {
  now_ = now;
  while (const auto timer = timers_.pop_expired(now)) {
    if (timer->kind == Timer::kPolicy) {
      const RequestId about = requests_.contains(timer->token) ? timer->token : PolicyCaller::kNoRequest;
      policy_.call(about, [&](AdmissionPolicy& policy) { policy.on_timer(now, timer->token, *this); });
    } else {
      expire(timer->token);
    }
    process_pending();
  }
}

// ---- shutdown ----

void Engine::begin_shutdown(Ms now) {
  if (shutdown_deadline_) return;
  shutdown_began_at_ = now;
  shutdown_deadline_ = now + limits_.shutdown_timeout_ms;
}

void Engine::set_limits(const EngineLimits& limits) {
  limits_ = limits;
  if (!shutdown_deadline_) return;
  shutdown_deadline_ = std::min(*shutdown_deadline_, shutdown_began_at_ + limits.shutdown_timeout_ms);
}

// Whether the client has received part of the request's value. A value of which it has received nothing is
// withdrawn, so that an error may take its place.
bool Engine::is_passed_on(Ms now, RequestId id) {
  return replies_.is_streaming(id) && !replies_.withdraw_value(now, id);
}

bool Engine::may_go_on(Ms now, RequestId id) {
  if (!is_passed_on(now, id)) return false;
  const PendingRequest* const request = requests_.find(id);
  return !request->is_late_in_shutdown || !request->value->paused();
}

std::optional<CompletionBound> Engine::completion_bound(const PendingRequest& request) const {
  if (!shutdown_deadline_) return {};
  return CompletionBound{*shutdown_deadline_, !request.is_late_in_shutdown};
}

void Engine::fail_late_value(Ms now, RequestId request_id) {
  now_ = now;
  const PendingRequest* const request = requests_.find(request_id);
  if (!request || request->answered || is_passed_on(now, request_id)) return;
  fail_at_shutdown(now, request_id);
  process_pending();
}

void Engine::fail_at_shutdown(Ms now, RequestId id) {
  replies_.fail(now, id, FailureReason::kShuttingDown);
  policy_.call(PolicyCaller::kNoRequest,
               [&](AdmissionPolicy& policy) { policy.on_client_disconnected(now, id, *this); });
}

void Engine::fail_unbegun(Ms now) {
  now_ = now;
  if (mutant(Mutant::kShutdownWithoutReplies)) return;
  for (const auto id : requests_.unanswered_ids()) {
    if (!may_go_on(now, id)) fail_at_shutdown(now, id);
  }
  process_pending();
}

void Engine::fail_all(Ms now) {
  now_ = now;
  if (mutant(Mutant::kShutdownWithoutReplies)) return;
  for (const auto id : requests_.unanswered_ids()) fail_at_shutdown(now, id);
  process_pending();
}

void Engine::digest(Digest& into) const {
  requests_.digest(into);
  timers_.digest(requests_, into);
  requests_.digest_last_ids(into);
  into.add(shutdown_deadline_.value_or(0));
}

}  // namespace cometfold::engine
