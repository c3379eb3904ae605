#include "engine/attempt_runner.h"

#include <algorithm>

#include "engine/faults.h"

namespace cometfold::engine {

void AttemptRunner::add_attempt(Ms now, PendingRequest& request, HostId host, Ms remaining) {
  const auto listed = gate_.listed_host(host);
  request.attempts.push_back({.id = requests_.next_attempt_id(),
                              .host = host,
                              .sent_at = now,
                              .expires_at = now + remaining,
                              .location = listed.location,
                              .host_started_at = listed.started_at});
  ++request.in_flight_count;
}

bool AttemptRunner::may_start(Ms now, const PendingRequest& request, std::uint32_t attempt) {
  if (request.answered && !mutant(Mutant::kSendsAfterReply)) return false;
  if (attempt > 0 && request.client_disconnected()) {
    metrics_.count_prevented_first_byte(AttemptVerdict::kClientDisconnected);
    return false;
  }
  const AttemptVerdict verdict = gate_.check_retry(now, request, attempt);
  if (verdict == AttemptVerdict::kAllowed) return true;
  ++metrics_.rules.decisions[static_cast<std::size_t>(verdict)];
  logger_("the attempt rules prevented an attempt requested by the policy",
          kAttemptVerdictNames[static_cast<std::size_t>(verdict)]);
  return false;
}

std::optional<Ms> AttemptRunner::start(Ms now, RequestId id, HostId host, Ms timeout) {
  PendingRequest* const request = requests_.find(id);
  if (!request) return {};
  const auto index = static_cast<std::uint32_t>(request->attempts.size());
  Ms remaining = request->expires_at - now;
  if (timeout > 0) remaining = std::min(remaining, timeout);
  add_attempt(now, *request, host, remaining);
  if (index > 0) ++metrics_.attempts.retries;
  tracer_.record_attempt(now, RequestEvent::kSent, id, *request, request->attempts[index]);
  if (remaining <= 0 || !may_start(now, *request, index)) {
    end(now, id, index, Outcome::kNotSent, {});
    return {};
  }
  const AttemptId attempt = request->attempts[index].id;
  requests_.add_attempt_ref(attempt, {id, index});
  const auto result = request->upstream->start(now, attempt, host, *request->payload, remaining);
  if (result != StartResult::kStarted) {
    const bool local = result == StartResult::kNoLocalCapacity;
    end(now, id, index, local ? Outcome::kNotSent : Outcome::kConnectFailed, {});
    return {};
  }
  request->attempts[index].awaits_first_byte = request->upstream->awaits_first_byte(attempt);
  const Ms expires_at = request->attempts[index].expires_at;
  if (expires_at >= request->expires_at) return {};
  return expires_at;
}

void AttemptRunner::cancel(Ms now, RequestId id, std::uint32_t attempt) {
  const PendingRequest* const request = requests_.find(id);
  if (!request || attempt >= request->attempts.size() || !request->attempts[attempt].in_flight) return;
  if (!mutant(Mutant::kServesAbandonedAttempt))
    request->upstream->abandon(now, request->attempts[attempt].id);
  end(now, id, attempt, Outcome::kCancelled, {});
}

void AttemptRunner::end(Ms now, RequestId id, std::uint32_t attempt, Outcome outcome,
                        const LoadReport& load) {
  PendingRequest* const request = requests_.find(id);
  if (!request || !request->attempts[attempt].in_flight) return;
  Attempt& ended = request->attempts[attempt];
  ended.in_flight = false;
  ended.may_have_executed = may_have_executed(outcome);
  ended.outcome = outcome;
  tracer_.record_attempt(now, RequestEvent::kEnded, id, *request, ended);
  ++metrics_.attempts.by_outcome[static_cast<std::size_t>(outcome)];
  --request->in_flight_count;
  if (!mutant(Mutant::kServesAbandonedAttempt)) requests_.erase_attempt_ref(ended.id);
  // Queued, as most attempts end during a call of the policy.
  const int reports = mutant(Mutant::kReportsAttemptEndTwice) ? 2 : 1;
  for (int i = 0; i < reports; ++i) {
    ++request->unreported_end_count;
    unreported_ends_.push_back({id, attempt, outcome, load});
  }
}

void AttemptRunner::withdraw_waiting(Ms now, RequestId id) {
  const PendingRequest* const request = requests_.find(id);
  if (!request || mutant(Mutant::kSendsAfterReply)) return;
  for (std::uint32_t i = 0; i < request->attempts.size(); ++i) {
    const Attempt& attempt = request->attempts[i];
    if (attempt.in_flight && request->upstream->withdraw(now, attempt.id)) {
      end(now, id, i, Outcome::kNotSent, {});
    }
  }
}

void AttemptRunner::abandon_overdue(Ms now, RequestId id) {
  const PendingRequest* const request = requests_.find(id);
  if (!request) return;
  for (std::uint32_t i = 0; i < request->attempts.size(); ++i) {
    const Attempt& attempt = request->attempts[i];
    if (!attempt.in_flight || now < attempt.expires_at || request->streams_from(i)) continue;
    const bool host_at_fault = request->upstream->abandon(now, attempt.id);
    end(now, id, i, host_at_fault ? Outcome::kTimedOut : Outcome::kCancelled, {});
  }
}

std::optional<Ms> AttemptRunner::may_write(Ms now, AttemptId attempt, bool begun) {
  const auto ref = requests_.find_attempt(attempt);
  PendingRequest* const request = ref ? requests_.find(ref->request) : nullptr;
  if (!request) return {};
  Attempt& own = request->attempts[ref->index];
  // A draining host must not get a first byte. A request can be executed only once its last byte is written,
  // so the rules for retries are checked on each write.
  const AttemptVerdict verdict = begun ? gate_.check_retry(now, *request, ref->index)
                                       : gate_.check_first_byte(now, *request, ref->index);
  if (verdict != AttemptVerdict::kAllowed) {
    metrics_.count_prevented_first_byte(verdict);
    tracer_.record_attempt(now, RequestEvent::kFirstByte, ref->request, *request, own, verdict);
    return {};
  }
  own.awaits_first_byte = false;
  if (!begun) tracer_.record_attempt(now, RequestEvent::kFirstByte, ref->request, *request, own);
  return own.expires_at - now;
}

void AttemptRunner::on_written(Ms now, AttemptId attempt) {
  const auto ref = requests_.find_attempt(attempt);
  const PendingRequest* const request = ref ? requests_.find(ref->request) : nullptr;
  if (!request) return;
  ++metrics_.of_class(request->class_index).attempts;
  tracer_.record_attempt(now, RequestEvent::kWritten, ref->request, *request, request->attempts[ref->index]);
}

std::optional<AttemptResult> AttemptRunner::pop_unreported_end(Ms now) {
  while (!unreported_ends_.empty()) {
    const UnreportedEnd end = unreported_ends_.front();
    unreported_ends_.pop_front();
    PendingRequest* const request = requests_.find(end.request);
    if (!request) continue;
    --request->unreported_end_count;
    const Attempt& attempt = request->attempts[end.attempt];
    return AttemptResult{end.request,           end.attempt,       attempt.host, end.outcome,
                         now - attempt.sent_at, request->answered, {},           end.load};
  }
  return {};
}

}  // namespace cometfold::engine
