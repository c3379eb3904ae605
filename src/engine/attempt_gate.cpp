#include "engine/attempt_gate.h"

#include <vector>

#include "engine/faults.h"

namespace cometfold::engine {

namespace {

// An attempt with the field names that the templates in cometfold/attempt_rules.h require.
struct RuleAttempt {
  HostId host = 0;
  HostLocation location;
  Ms host_started_at = 0;
  Ms sent_at = 0;
  bool in_flight = true;
  bool may_have_executed = true;
};

RuleAttempt to_rule_attempt(const Attempt& attempt) {
  return {attempt.host,    attempt.location,  attempt.host_started_at,
          attempt.sent_at, attempt.in_flight, attempt.may_have_executed};
}

// A mutant that skips an earlier check must pass this one too, or the fault would have no effect.
bool mutant_sends_after_reply() {
  return mutant(Mutant::kSendsAfterReply) || mutant(Mutant::kServesAbandonedAttempt);
}
bool mutant_sends_to_drained_host() {
  return mutant(Mutant::kKeepsWaitingAttemptsOnDrain) || mutant(Mutant::kNoRetirementOnPolicyException);
}

}  // namespace

void AttemptGate::update_hosts(HostListUpdate kind, std::span<const HostEntry> entries) {
  if (kind == HostListUpdate::kFailed) return;
  if (kind != HostListUpdate::kDelta) ready_hosts_.clear();
  for (const auto& entry : entries) {
    if (entry.state == HostState::kReady) {
      ready_hosts_[entry.id] = {entry.started_at, location_of(entry)};
    } else {
      ready_hosts_.erase(entry.id);
    }
  }
}

std::optional<ClassSettings> AttemptGate::class_settings(std::uint32_t class_index) const {
  if (!settings_ || class_index >= settings_->classes.size()) return {};
  return settings_->classes[class_index];
}

AttemptGate::ListedHost AttemptGate::listed_host(HostId host) const {
  const auto found = ready_hosts_.find(host);
  return found != ready_hosts_.end() ? found->second : ListedHost{};
}

AttemptVerdict AttemptGate::check_retry(Ms now, const PendingRequest& request, std::uint32_t attempt) const {
  if (!request.class_settings) return AttemptVerdict::kAllowed;
  const Attempt& own = request.attempts[attempt];
  std::vector<RuleAttempt> others;
  for (const auto& other : request.attempts) {
    const bool both_wait = own.awaits_first_byte && other.awaits_first_byte;
    if (other.id != own.id && !both_wait) others.push_back(to_rule_attempt(other));
  }
  if (others.empty()) return AttemptVerdict::kAllowed;
  if (static_cast<double>(request.attempts.size()) > settings_->max_attempts) {
    return AttemptVerdict::kTooManyAttempts;
  }
  if (!may_hedge(others, settings_->hedging_allowed)) return AttemptVerdict::kAttemptInFlight;
  const auto constraint = retry_constraint(*request.class_settings, others, now);
  if (constraint.verdict != AttemptVerdict::kAllowed) return constraint.verdict;
  return constraint.allows(*request.class_settings, own.host, own.location, own.host_started_at)
             ? AttemptVerdict::kAllowed
             : AttemptVerdict::kOutOfScope;
}

AttemptVerdict AttemptGate::check_first_byte(Ms now, const PendingRequest& request,
                                             std::uint32_t attempt) const {
  const Attempt& own = request.attempts[attempt];
  if (request.answered && !mutant_sends_after_reply()) return AttemptVerdict::kAnswered;
  if (request.client_disconnected()) return AttemptVerdict::kClientDisconnected;
  if (now >= own.expires_at) return AttemptVerdict::kDeadlineExceeded;
  const auto host = ready_hosts_.find(own.host);
  if (host == ready_hosts_.end() && !mutant_sends_to_drained_host()) return AttemptVerdict::kNotListed;
  if (host != ready_hosts_.end() && host->second.started_at != own.host_started_at) {
    return AttemptVerdict::kHostRestarted;
  }
  return check_retry(now, request, attempt);
}

bool AttemptGate::allows_rejection(const PendingRequest& request) const {
  if (!request.class_settings) return true;
  std::vector<RuleAttempt> attempts;
  for (const auto& attempt : request.attempts) attempts.push_back(to_rule_attempt(attempt));
  return may_reject(*request.class_settings, attempts);
}

}  // namespace cometfold::engine
