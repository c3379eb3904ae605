#include "rules/at_most_once_monitor.h"

#include <algorithm>
#include <string>

#include "cometfold/attempt_rules.h"
#include "rules/violation_text.h"

namespace cometfold::rules {

namespace {

Violation make_violation(std::uint64_t request, const std::string& what) {
  return {"no effect twice", format_request(request) + what};
}

}  // namespace

bool AtMostOnceMonitor::in_same_scope(IdempotencyScope scope, HostId first, HostId second) const {
  if (first == second || scope == IdempotencyScope::kAll) return true;
  const auto first_entry = hosts_.find(first);
  const auto second_entry = hosts_.find(second);
  if (first_entry == hosts_.end() || second_entry == hosts_.end() || scope == IdempotencyScope::kNone) {
    return false;
  }
  return cometfold::in_same_scope(scope, location_of(first_entry->second), location_of(second_entry->second));
}

std::optional<Violation> AtMostOnceMonitor::observe(const Event& event) {
  if (event.kind == Event::kHostUpdate) hosts_[event.entry.id] = event.entry;
  if (event.kind == Event::kRequestReceived) requests_[event.request] = {event.class_index, {}};
  const auto found = requests_.find(event.request);
  if (found == requests_.end()) return {};
  Request& request = found->second;
  // The latest attempt on the event's connection that is in flight.
  const auto attempt =
      std::find_if(request.attempts.rbegin(), request.attempts.rend(),
                   [&](const auto& each) { return each.connection == event.connection && each.in_flight; });
  if (attempt != request.attempts.rend()) {
    if (event.kind == Event::kAttemptEnded || event.kind == Event::kNotExecuted) attempt->in_flight = false;
    if (event.kind == Event::kNotExecuted) attempt->may_have_executed = false;
  }
  if (event.kind == Event::kAttemptWritten) return check_attempt(event, request);
  if (event.kind == Event::kRejected) return check_rejection(event, request);
  return {};
}

// A rejection implies that a retry by the client is safe.
std::optional<Violation> AtMostOnceMonitor::check_rejection(const Event& event,
                                                            const Request& request) const {
  const auto& settings = settings_.classes[request.class_index];
  const bool harmless = settings.idempotency == Idempotency::kIdempotent ||
                        (settings.idempotency == Idempotency::kIdempotencyKey &&
                         settings.idempotency_scope == IdempotencyScope::kAll);
  const bool may_have_executed = std::any_of(request.attempts.begin(), request.attempts.end(),
                                             [](const auto& each) { return each.may_have_executed; });
  if (harmless || !may_have_executed) return {};
  return make_violation(event.request, " was rejected although an attempt may have been executed");
}

std::optional<Violation> AtMostOnceMonitor::check_retry(const Event& event, const Request& request) const {
  const auto& settings = settings_.classes[request.class_index];
  std::optional<Violation> violation;
  if (settings.idempotency == Idempotency::kIdempotent) return violation;
  for (const auto& earlier : request.attempts) {
    if (!earlier.may_have_executed) continue;
    if (settings.idempotency == Idempotency::kNonIdempotent) {
      violation = make_violation(event.request,
                                 ", not idempotent, was retried although an attempt may have been executed");
    } else if (!in_same_scope(settings.idempotency_scope, earlier.host, event.host)) {
      violation = make_violation(event.request, " was retried outside the scope of its idempotency key");
    } else if (event.at > earlier.sent_at + settings.idempotency_key_ttl_ms) {
      violation = make_violation(event.request, " was retried after its idempotency key had expired");
    }
  }
  return violation;
}

std::optional<Violation> AtMostOnceMonitor::check_attempt(const Event& event, Request& request) const {
  auto violation = check_retry(event, request);
  const auto in_flight = std::count_if(request.attempts.begin(), request.attempts.end(),
                                       [](const auto& each) { return each.in_flight; });
  request.attempts.push_back({event.connection, event.host, event.at, true, true});
  if (violation) return violation;
  if (in_flight >= (settings_.hedging_allowed ? 2 : 1)) {
    return make_violation(event.request, " has more attempts in flight than the settings allow");
  }
  if (static_cast<double>(request.attempts.size()) > settings_.max_attempts) {
    return make_violation(event.request, " had more attempts than the settings allow");
  }
  return {};
}

void AtMostOnceMonitor::digest(engine::Digest& into) const {
  for (const auto& [id, request] : requests_) {
    into.add(id);
    for (const auto& attempt : request.attempts) {
      into.add(std::uint64_t{attempt.host} << 2 | std::uint64_t{attempt.in_flight} << 1 |
               std::uint64_t{attempt.may_have_executed});
      into.add(attempt.in_flight ? attempt.connection : 0);
      into.add(attempt.sent_at);
    }
  }
}

}  // namespace cometfold::rules
