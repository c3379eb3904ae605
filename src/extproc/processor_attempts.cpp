// The processor as a transport of the engine: attempts that proxies carry out, their reports, and attempts
// that wait for the proxy's next call.
#include <algorithm>
#include <utility>
#include <vector>

#include "extproc/exchange.h"
#include "extproc/pending_request.h"
#include "extproc/processor.h"

namespace cometfold::extproc {

using engine::AttemptId;
using engine::StartResult;

namespace {

constexpr Decision already_done(Decision::Kind kind) {
  return {kind, 503, kGrpcUnavailable, 0, "cometfold_already_done"};
}

}  // namespace

StartResult Processor::start(Ms now, AttemptId attempt, HostId host, const engine::Payload& payload,
                             Ms remaining) {
  PendingRequest* pending = find_pending(static_cast<const RequestPayload&>(payload).pending_id());
  const auto known_host = hosts_.find(host);
  if (!pending || known_host == hosts_.end()) return StartResult::kHostUnavailable;
  // A call carries one attempt, so the protocol does not allow hedged requests.
  if (pending->attempt != 0) return StartResult::kNoLocalCapacity;
  const bool call_waits = pending->exchange && pending->exchange->awaits_decision();
  if (!call_waits && !proxy_may_retry(*pending)) return StartResult::kNoLocalCapacity;
  if (!call_waits && pending->exchange) {  // it may still report, but only on an attempt that has ended
    pending->exchange->unbind();
    pending->exchange = nullptr;
  }
  pending->attempt = attempt;
  pending->attempt_deadline = now + remaining;
  pending->endpoint = known_host->second;
  pending->decision_withdrawn = false;
  attempts_.emplace(attempt, pending->id);
  if (call_waits) {
    send_route(now, *pending);
  } else {
    pending->awaits_fetch = true;
    unfetched_attempts_.push_back({now + settings_->retry_wait_ms, pending->id, attempt});
  }
  return StartResult::kStarted;
}

void Processor::send_route(Ms now, PendingRequest& pending) {
  ++metrics_.routed;
  pending.awaits_fetch = false;
  pending.exchange->route(*pending.endpoint, pending.attempt_deadline - now, proxy_may_retry(pending));
}

void Processor::clear_attempt(PendingRequest& pending, bool may_have_left) {
  attempts_.erase(pending.attempt);
  pending.attempt = 0;
  pending.awaits_fetch = false;
  pending.decision_withdrawn = false;
  pending.earlier_attempt_may_have_left = pending.earlier_attempt_may_have_left || may_have_left;
}

bool Processor::abandon(Ms, AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return false;
  const PendingId id = it->second;
  PendingRequest& pending = pending_.at(id);
  const bool in_flight = pending.attempt_in_flight();
  if (in_flight) ++metrics_.report_timeouts;
  clear_attempt(pending, in_flight);
  erase_if_finished(id);
  return false;  // the proxy applies the attempt's timeout and reports an unresponsive host itself
}

bool Processor::withdraw(Ms, AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return false;
  PendingRequest& pending = pending_.at(it->second);
  if (pending.attempt_in_flight() && !withdraw_decision(pending)) return false;
  const PendingId id = pending.id;
  clear_attempt(pending, false);
  erase_if_finished(id);
  return true;
}

bool Processor::awaits_first_byte(AttemptId attempt) const {
  const auto it = attempts_.find(attempt);
  return it != attempts_.end() && pending_.at(it->second).awaits_fetch;
}

// Ends the host's attempts that wait for a call or whose decision has not been sent. An end may start new
// attempts, so all affected ones are collected first.
void Processor::retire_host(Ms now, HostId host) {
  const auto known_host = hosts_.find(host);
  if (known_host == hosts_.end()) return;
  const auto endpoint = known_host->second;
  hosts_.erase(known_host);
  std::vector<std::pair<PendingId, AttemptId>> affected;
  for (const auto& [attempt, id] : attempts_) {
    if (pending_.at(id).endpoint == endpoint) affected.emplace_back(id, attempt);
  }
  std::sort(affected.begin(), affected.end());
  for (const auto& [id, attempt] : affected) {
    PendingRequest* pending = find_pending(id);
    if (!pending || pending->attempt != attempt) continue;
    if (pending->decision_withdrawn) continue;
    if (pending->attempt_in_flight() && !withdraw_decision(*pending)) continue;
    report_attempt_end(now, *pending, Outcome::kNotSent, {}, false);
  }
}

// Reports the end of an attempt to the engine. `client_has_reply`: the proxy's client already has a reply, so
// the request is over.
void Processor::report_attempt_end(Ms now, PendingRequest& pending, Outcome outcome, const LoadReport& load,
                                   bool client_has_reply) {
  const PendingId id = pending.id;
  const AttemptId attempt = pending.attempt;
  clear_attempt(pending, outcome != Outcome::kNotSent);
  if (client_has_reply) {
    pending.answered = true;
    const bool may_have_run = pending.earlier_attempt_may_have_left;
    remember_decision(pending, already_done(may_have_run ? Decision::kServed : Decision::kNotSent));
    engine_.on_final_attempt_end(now, attempt, outcome, load);
  } else {
    engine_.on_attempt_end(now, attempt, outcome, {}, load);
  }
  erase_if_finished(id);
}

// The proxy has reported how the attempt ended. The call stays open but no longer belongs to the request.
void Processor::Exchange::on_attempt_report(Ms now, const ResponseReport& report) {
  PendingRequest* pending = owner_.find_pending(pending_id_);
  if (!pending) return;
  pending_id_ = 0;
  pending->exchange = nullptr;
  if (pending->attempt == 0) return owner_.erase_if_finished(pending->id);
  ++owner_.metrics_.reported;
  const Outcome outcome = outcome_of(report.attempt, settings_->not_executed_statuses);
  if (!report.served_by.empty() && report.served_by != *pending->endpoint) {
    // The report is about another host than the attempt's, so it must not count for the attempt's host.
    ++owner_.metrics_.sent_to_other_host;
    return owner_.report_attempt_end(now, *pending, Outcome::kCancelled, {}, true);
  }
  const bool client_has_reply = outcome != Outcome::kOk && !owner_.proxy_may_retry(*pending);
  owner_.report_attempt_end(now, *pending, outcome, report.load, client_has_reply);
}

// The call ended without a report on the attempt.
void Processor::on_call_closed(Ms now, Exchange& exchange) {
  PendingRequest* pending = find_pending(exchange.pending_id());
  if (!pending) return;
  const PendingId id = pending->id;
  const bool awaited_decision = exchange.awaits_decision();
  const bool withdrawn = pending->attempt_in_flight() && withdraw_decision(*pending);
  exchange.unbind();
  pending->exchange = nullptr;
  if (awaited_decision) ++metrics_.disconnected;
  if (pending->attempt == 0) {
    if (!pending->answered) {
      pending->answered = true;
      const bool may_have_run = pending->earlier_attempt_may_have_left;
      remember_decision(*pending, already_done(may_have_run ? Decision::kServed : Decision::kNotSent));
      engine_.on_client_disconnected(now, pending->engine_id);
    }
    return erase_if_finished(id);
  }
  if (withdrawn) {
    ++metrics_.disconnected;
    return report_attempt_end(now, *pending, Outcome::kNotSent, {}, true);
  }
  ++metrics_.unreported;
  report_attempt_end(now, *pending, Outcome::kCancelled, {}, !proxy_may_retry(*pending));
}

// ---- timers ----

std::optional<Ms> Processor::next_timer() const {
  if (unfetched_attempts_.empty()) return {};
  return unfetched_attempts_.front().expires_at;
}

// Ends attempts that no call has fetched in time: the proxy does not retry, or its client has disconnected.
void Processor::run_timers(Ms now) {
  while (!unfetched_attempts_.empty() && unfetched_attempts_.front().expires_at <= now) {
    const UnfetchedAttempt expired = unfetched_attempts_.front();
    unfetched_attempts_.pop_front();
    PendingRequest* pending = find_pending(expired.pending_id);
    if (!pending || !pending->awaits_fetch || pending->attempt != expired.attempt) continue;
    report_attempt_end(now, *pending, Outcome::kNotSent, {}, true);
  }
}

}  // namespace cometfold::extproc
