// Results of attempts: updates the statistics, and retries or finishes the request.
#include "admission/controller_impl.h"

namespace cometfold {
namespace {

using admission::finite_or;
using admission::OverloadStatistics;

bool is_answer(Outcome outcome) {
  return outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kOverloaded;
}

// Whether the outcome counts against the host.
bool is_host_failure(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimedOut || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kConnectionLost;
}

}  // namespace

// The host has done its work when a streamed response begins. Counting the attempt as in flight any longer
// would make slow readers look like a queue.
void AdmissionController::Impl::on_stream_started(RequestId id, std::uint32_t index, ActionSink& out) {
  PendingRequest* pending = requests_.find(id);
  if (pending == nullptr || index >= pending->attempts.size()) return;
  Attempt& attempt = pending->attempts[index];
  if (!attempt.in_flight || attempt.streaming) return;
  if (pending->streaming && !attempt.hedges_stream) return;
  Host& host = hosts_.find_or_create(attempt.host);
  hosts_.decay(host, now_);
  release_host(host, attempt);
  pending->streaming = true;
  attempt.streaming = true;
  hosts_.record_answer(host, attempt.sent_at, now_);
  record_success(*pending, host, now_ - attempt.sent_at, out);
  for (std::uint32_t i = 0; i < pending->attempts.size(); ++i) {
    if (i != index) cancel_attempt(*pending, i, out);
  }
}

// The response of a host that pauses may still come whole, so its attempt goes on and is hedged. What the
// response is worth no longer counts: the client may have received some of it.
void AdmissionController::Impl::on_stream_paused(RequestId id, std::uint32_t index, ActionSink& out) {
  PendingRequest* pending = requests_.find(id);
  if (pending == nullptr || index >= pending->attempts.size()) return;
  if (pending->answered || !pending->attempts[index].streaming || pending->attempts_in_flight() != 1) return;
  if (shedder_.is_overloaded() || !retry_budget_.has_retry()) return;
  pending->stream_paused = true;
  if (send_attempt(*pending, out)) {
    pending->attempts.back().hedges_stream = true;
    retry_budget_.on_retry();
  }
  pending->stream_paused = false;
}

void AdmissionController::Impl::on_attempt_end(const AttemptResult& result, ActionSink& out) {
  PendingRequest* pending = requests_.find(result.request);
  if (pending == nullptr || result.attempt >= pending->attempts.size()) return;
  Attempt& attempt = pending->attempts[result.attempt];
  if (!attempt.in_flight || attempt.host != result.host) return;
  Host& host = hosts_.find_or_create(attempt.host);
  end_attempt(*pending, attempt, host, result.outcome);
  record_result(*pending, attempt, host, result, out);
  if (result.actual_units && settings_.actual_units_reported) {
    const double actual_units = finite_or(*result.actual_units, pending->request.units);
    quotas_.correct(pending->request, pending->within_quota, actual_units);
  }
  const bool is_unused = attempt.hedges_stream && !attempt.streaming;
  if (result.request_finished || (result.outcome == Outcome::kOk && !is_unused)) {
    pending->answered = true;
    cancel_all_attempts(*pending, out);
  }
  if (!pending->answered && pending->attempts_in_flight() == 0) {
    if (!send_retry(*pending, out)) {
      return give_up(*pending, {random_retry_after(), RejectionReason::kAttemptsExhausted}, out);
    }
    schedule_next_check(*pending, out);
  }
  erase_if_done(result.request);
}

void AdmissionController::Impl::end_attempt(PendingRequest& pending, Attempt& attempt, Host& host,
                                            Outcome outcome) {
  attempt.in_flight = false;
  attempt.may_have_executed = may_have_executed(outcome);
  attempt.never_sent = outcome == Outcome::kNotSent;
  if (!attempt.streaming) release_host(host, attempt);
  if (Customer* customer = quotas_.find(pending.request.customer)) {
    customer->attempts_in_flight = std::max(customer->attempts_in_flight - 1, 0.0);
  }
}

void AdmissionController::Impl::release_host(Host& host, const Attempt& attempt) const {
  if (attempt.overdue) host.overdue_attempts = std::max(host.overdue_attempts - 1, 0.0);
  host.attempts_in_flight = std::max(host.attempts_in_flight - 1, 0.0);
}

void AdmissionController::Impl::record_result(const PendingRequest& pending, const Attempt& attempt,
                                              Host& host, const AttemptResult& result, ActionSink& out) {
  hosts_.decay(host, now_);
  hosts_.record_load(host, result.load_report, false, now_);
  if (is_answer(result.outcome)) hosts_.record_answer(host, attempt.sent_at, now_);
  record_rejections(pending, attempt, host, result.outcome);
  if (result.outcome == Outcome::kOk && !attempt.streaming) {
    record_success(pending, host, result.duration_ms, out);
  }
  if (is_host_failure(result.outcome)) record_outcome(host, true, out);
}

// An attempt that was rejected or could not connect added no work, so its retry is not charged to the budget,
// unless the fleet is overloaded.
void AdmissionController::Impl::record_rejections(const PendingRequest& pending, const Attempt& attempt,
                                                  Host& host, Outcome outcome) {
  overload_.record(host, pending.request, outcome == Outcome::kOverloaded, now_);
  if (attempt.may_have_executed || attempt.never_sent) return;
  if (overload_.fleet_rejection_fraction() < OverloadStatistics::kOverloadedFraction) {
    retry_budget_.refund_retry();
  }
}

void AdmissionController::Impl::record_success(const PendingRequest& pending, Host& host, Ms latency,
                                               ActionSink& out) {
  const Ms valid_latency = finite_or(latency, 0);
  shedder_.record_latency(valid_latency, pending.latency_objective());
  latency_.record(host, pending.request.class_index, valid_latency, now_);
  limiter_.record_completion(host, now_);
  record_outcome(host, false, out);
}

void AdmissionController::Impl::record_outcome(Host& host, bool failed, ActionSink& out) {
  if (outliers_.record(host, failed, now_)) {
    log_.log("outlier ejection: a host fails most of its attempts", now_, out);
  }
}

void AdmissionController::Impl::find_overdue_attempts(ActionSink& out) {
  for (auto& [id, pending] : requests_) {
    if (pending.streaming) continue;
    for (auto& attempt : pending.attempts) {
      if (!overdue_.update(attempt, pending.request, now_)) continue;
      record_outcome(hosts_.find_or_create(attempt.host), true, out);
      out.schedule_timer(0, id);
    }
  }
}

}  // namespace cometfold
