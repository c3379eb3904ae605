#include "engine/request_table.h"

#include <algorithm>

#include "engine/faults.h"

namespace cometfold::engine {

namespace {

// Identities of requests whose clients disconnected stay in use for this long beyond the deadline.
constexpr Ms kExecutedIdentityMs = 30'000;
constexpr std::size_t kMaxExecutedIdentities = 16'384;

bool may_run_again(const PendingRequest& request) {
  return request.class_settings && request.class_settings->idempotency == Idempotency::kIdempotent;
}

}  // namespace

std::pair<RequestId, PendingRequest&> RequestTable::add(PendingRequest request) {
  const RequestId id = ++last_request_id_;
  payload_bytes_ += request.payload->bytes();
  ++unanswered_count_;
  open_identities_.insert(request.identity);
  return {id, requests_.emplace(id, std::move(request)).first->second};
}

PendingRequest* RequestTable::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

std::optional<RequestTable::AttemptRef> RequestTable::find_attempt(AttemptId attempt) const {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return {};
  return found->second;
}

void RequestTable::mark_answered(PendingRequest& request) {
  if (!mutant(Mutant::kLeaksIdentity)) open_identities_.erase(request.identity);
  mark_answered_keeping_identity(request);
}

void RequestTable::mark_answered_keeping_identity(PendingRequest& request) {
  request.answered = true;
  --unanswered_count_;
}

void RequestTable::mark_disconnected(PendingRequest& request) {
  request.keeps_identity = true;
  mark_answered_keeping_identity(request);
}

void RequestTable::release_identity(const PendingRequest& request) {
  const bool may_have_executed =
      std::any_of(request.attempts.begin(), request.attempts.end(),
                  [](const Attempt& attempt) { return attempt.may_have_executed; });
  if (!may_have_executed || may_run_again(request)) {
    open_identities_.erase(request.identity);
    return;
  }
  keep_identity(request.identity, request.expires_at + kExecutedIdentityMs);
}

void RequestTable::keep_identity(std::uint64_t identity, Ms in_use_until) {
  if (executed_identities_.size() >= kMaxExecutedIdentities) {
    open_identities_.erase(executed_identities_.front().identity);
    executed_identities_.pop_front();
  }
  executed_identities_.push_back({identity, in_use_until});
}

std::vector<IdentityInUse> RequestTable::identities_in_use(Ms now) const {
  std::vector<IdentityInUse> identities;
  for (const auto& [id, request] : requests_) {
    if (!open_identities_.contains(request.identity) || may_run_again(request)) continue;
    identities.push_back({request.identity, request.expires_at + kExecutedIdentityMs - now});
  }
  for (const ExecutedIdentity& executed : executed_identities_) {
    if (executed.in_use_until > now) identities.push_back({executed.identity, executed.in_use_until - now});
  }
  return identities;
}

void RequestTable::reserve_identities(Ms now, std::vector<IdentityInUse> identities) {
  std::sort(identities.begin(), identities.end(),
            [](const auto& one, const auto& other) { return one.remaining_ms < other.remaining_ms; });
  for (const IdentityInUse& reserved : identities) {
    if (!open_identities_.insert(reserved.identity).second) continue;
    keep_identity(reserved.identity, now + reserved.remaining_ms);
  }
}

bool RequestTable::identity_in_use(Ms now, std::uint64_t identity) {
  while (!executed_identities_.empty() && executed_identities_.front().in_use_until <= now) {
    open_identities_.erase(executed_identities_.front().identity);
    executed_identities_.pop_front();
  }
  return open_identities_.contains(identity);
}

void RequestTable::erase_if_done(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const PendingRequest& request = found->second;
  if (!request.answered || request.in_flight_count > 0 || request.unreported_end_count > 0) return;
  if (mutant(Mutant::kServesAbandonedAttempt)) return;  // its abandoned attempts still refer to the request
  payload_bytes_ -= request.payload->bytes();
  if (request.keeps_identity) release_identity(request);
  requests_.erase(found);
}

std::vector<RequestId> RequestTable::unanswered_ids() const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    if (!request.answered) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void RequestTable::digest(Digest& into) const {
  for (const ExecutedIdentity& executed : executed_identities_) into.add(executed.identity);
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const auto id : ids) {
    const PendingRequest& request = requests_.at(id);
    into.add(id);
    into.add(request.expires_at);
    into.add(std::uint64_t{request.answered} | request.unreported_end_count << 1);
    for (const auto& attempt : request.attempts) {
      into.add(attempt.in_flight ? attempt.id : 0);
      into.add(std::uint64_t{attempt.host} << 1 | std::uint64_t{attempt.in_flight});
      into.add(attempt.in_flight ? attempt.expires_at : 0);
    }
  }
}

}  // namespace cometfold::engine
