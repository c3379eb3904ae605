// Handling of requests: admission, sends, retries, hedging and final answers.
#include "admission/controller_impl.h"

namespace cometfold {
namespace {

using admission::finite_or;
using admission::kEpsilon;
using admission::kInfiniteMs;
using admission::QuotaOverrunEstimator;

constexpr double kReturnWindowFactor = 1.5;  // clients retry within this multiple of the maximum Retry-After

}  // namespace

void AdmissionController::Impl::on_request(Request request, ActionSink& out) {
  if (requests_.find(request.id) != nullptr) return;
  request.units = finite_or(request.units, settings_.max_request_units, kEpsilon);
  request.gateway_count = finite_or(request.gateway_count, 1, 1);
  request.expires_at = finite_or(request.expires_at, now_, -kInfiniteMs);
  if (request.class_index >= settings_.classes.size() || request.plan_index >= settings_.plans.size()) {
    out.reject(request.id, 0, RejectionReason::kMalformed);
    return;
  }
  admit(requests_.insert(request, settings_.classes[request.class_index], now_), out);
}

void AdmissionController::Impl::admit(PendingRequest& pending, ActionSink& out) {
  const Request& request = pending.request;
  Customer& customer = quotas_.find_or_create(request, now_);
  record_arrival(customer, request);
  const QuotaDecision decision = check_quota(pending, customer, out);
  if (decision.rejection) return give_up(pending, *decision.rejection, out);
  if (should_shed(pending, decision.value_factor)) {
    log_.log("back end pressed: shedding by worth", now_, out);
    return give_up(pending, {random_retry_after(), RejectionReason::kLoadShed}, out);
  }
  if (!send_attempt(pending, out)) {
    log_.log("no host has room", now_, out);
    const RejectionReason reason =
        hosts_.any_usable() ? RejectionReason::kHostsAtCapacity : RejectionReason::kNoHost;
    return give_up(pending, {random_retry_after(), reason}, out);
  }
  if (const auto host = selector_.select_for_health_check(now_)) out.send_health_check(*host);
  pending.charged = true;
  client_retries_.on_admitted(customer.first_request, now_);
  retry_budget_.on_first_attempt();
  quotas_.charge(customer, request, pending.within_quota, now_);
  schedule_next_check(pending, out);
}

void AdmissionController::Impl::record_arrival(Customer& customer, const Request& request) {
  customer.classes[request.class_index].recent_units += request.units;
  shedder_.record_request(request);
  overruns_.on_request(request.units);
  shedder_.measure_utilization(now_);
}

AdmissionController::Impl::QuotaDecision AdmissionController::Impl::check_quota(PendingRequest& pending,
                                                                                Customer& customer,
                                                                                ActionSink& out) {
  const Request& request = pending.request;
  if (!quotas_.is_below_ceiling(customer, request, now_)) {
    log_.log("ceiling reached", now_, out);
    return {Rejection{customer.ceiling.wait_for(request.units), RejectionReason::kCeiling}};
  }
  customer.quota.refill(now_);
  const bool widely_shared = overruns_.has_widely_shared_quota(customer);
  const bool starts_sequence = widely_shared && !customer.has_recent_demand() && !request.is_client_retry;
  client_retries_.on_request(customer.first_request, starts_sequence,
                             kReturnWindowFactor * settings_.max_retry_after_ms, now_);
  customer.recent_units += request.units;
  const std::optional<RejectionReason> exceeded = quotas_.exceeded_limit(customer, request, now_);
  pending.within_quota = !exceeded;
  const double retry_fraction = widely_shared ? client_retries_.retry_fraction() : 0;
  if (!exceeded) {
    if (!widely_shared) return {};
    const double probability = overruns_.admission_probability(customer, retry_fraction);
    if (random_.uniform() < probability) return {};
    return {Rejection{customer.quota.wait_for(request.units), RejectionReason::kOverQuota}};
  }
  const double value = overruns_.expected_value(customer, request, !quotas_.is_at_concurrency_limit(customer),
                                                retry_fraction, quotas_.age(now_), now_);
  if (value >= 0 && !is_quota_binding(customer, request)) return {{}, value};
  const bool beyond_quota = value < 0 && *exceeded != RejectionReason::kConcurrencyLimit;
  return {Rejection{customer.quota.wait_for(request.units),
                    beyond_quota ? RejectionReason::kOverQuota : *exceeded}};
}

// Whether hosts are loaded enough to reject requests beyond their slice. For slices that are too small to
// judge a customer by, this takes a higher load.
bool AdmissionController::Impl::is_quota_binding(const Customer& customer, const Request& request) const {
  return QuotaOverrunEstimator::is_sparse(customer, request) ? shedder_.is_overloaded()
                                                             : shedder_.is_under_pressure();
}

bool AdmissionController::Impl::should_shed(const PendingRequest& pending, double value_factor) {
  const Request& request = pending.request;
  const double plan_weight = settings_.plans[request.plan_index].plan_weight;
  const double work_per_unit = shedder_.work_per_unit(request.class_index);
  const double value_per_work =
      plan_weight * pending.class_settings.priority_weight * value_factor / work_per_unit;
  return shedder_.should_shed(value_per_work, work_per_unit * request.units);
}

bool AdmissionController::Impl::send_attempt(PendingRequest& pending, ActionSink& out) {
  const auto constraint = retries_.constraint(pending, now_);
  if (constraint.verdict != AttemptVerdict::kAllowed) return false;
  Host* host = selector_.select(pending, constraint, now_);
  if (host == nullptr) return false;
  limiter_.record_send(*host, now_);
  host->attempts_in_flight += 1;
  slow_start_.record_send(now_);
  if (Customer* customer = quotas_.find(pending.request.customer)) customer->attempts_in_flight += 1;
  pending.attempts.push_back({.host = host->entry.id,
                              .sent_at = now_,
                              .location = location_of(host->entry),
                              .host_started_at = host->entry.started_at});
  out.send(pending.request.id, host->entry.id, pending.request.bounds.attempt_timeout_ms);
  return true;
}

bool AdmissionController::Impl::send_retry(PendingRequest& pending, ActionSink& out) {
  if (!retries_.is_retry_worthwhile(pending, now_) || !send_attempt(pending, out)) return false;
  retry_budget_.on_retry();
  return true;
}

void AdmissionController::Impl::on_request_timer(PendingRequest& pending, ActionSink& out) {
  if (pending.answered || pending.streaming) return;
  if (retries_.is_deadline_due(pending, now_)) {
    return give_up(pending, {0, RejectionReason::kDeadlineExceeded}, out);
  }
  const bool slow = retries_.is_last_attempt_slow(pending, now_) && !shedder_.is_under_pressure();
  const bool failed = pending.attempts.back().failed && !shedder_.is_overloaded();
  if ((slow || failed) && pending.attempts_in_flight() == 1 && retries_.is_retry_worthwhile(pending, now_)) {
    retry_slow_attempt(pending, out);
  }
  schedule_next_check(pending, out);
}

// Hedges the request, or cancels its attempt if it may not be hedged. The end of the attempt then triggers
// the retry.
void AdmissionController::Impl::retry_slow_attempt(PendingRequest& pending, ActionSink& out) {
  if (retries_.may_hedge_request(pending)) {
    send_retry(pending, out);
    return;
  }
  if (pending.class_settings.idempotency == Idempotency::kNonIdempotent) return;
  if (!retries_.has_attempts_left(pending, now_) || !selector_.has_untried_host(pending, now_)) return;
  cancel_attempt(pending, static_cast<std::uint32_t>(pending.attempts.size() - 1), out);
}

void AdmissionController::Impl::schedule_next_check(const PendingRequest& pending, ActionSink& out) const {
  out.schedule_timer(retries_.next_check_after(pending, now_), pending.request.id);
}

// Rejects the request if the client may safely retry it, and fails it otherwise. Erases it if no attempt is
// in flight.
void AdmissionController::Impl::give_up(PendingRequest& pending, const Rejection& rejection,
                                        ActionSink& out) {
  if (pending.answered) return;
  pending.answered = true;
  const RequestId id = pending.request.id;
  if (may_reject(pending.class_settings, pending.attempts)) {
    const Ms max_retry_after = settings_.retry_after_allowed ? settings_.max_retry_after_ms : 0;
    const Ms retry_after = finite_or(rejection.retry_after, max_retry_after);
    out.reject(id, std::clamp(retry_after, 0.0, max_retry_after), rejection.reason);
  } else {
    out.fail(id, rejection.reason);
  }
  cancel_all_attempts(pending, out);
  erase_if_done(id);
}

// Random in the upper half of the maximum Retry-After, so that rejected clients do not all return at once.
Ms AdmissionController::Impl::random_retry_after() {
  return settings_.max_retry_after_ms * (0.5 + random_.uniform() / 2);
}

void AdmissionController::Impl::cancel_attempt(PendingRequest& pending, std::uint32_t index,
                                               ActionSink& out) const {
  Attempt& attempt = pending.attempts[index];
  if (!settings_.cancellation_allowed || !attempt.in_flight || attempt.cancelled) return;
  attempt.cancelled = true;
  out.cancel(pending.request.id, index);
}

void AdmissionController::Impl::cancel_all_attempts(PendingRequest& pending, ActionSink& out) const {
  for (std::uint32_t i = 0; i < pending.attempts.size(); ++i) cancel_attempt(pending, i, out);
}

// Erases the request if it is answered and no attempt is in flight. Refunds its units if it was never sent.
void AdmissionController::Impl::erase_if_done(RequestId id) {
  const auto entry = requests_.locate(id);
  if (entry == requests_.end()) return;
  const PendingRequest& pending = entry->second;
  if (!pending.answered || pending.attempts_in_flight() > 0) return;
  if (pending.charged && pending.was_never_sent()) quotas_.refund(pending.request, pending.within_quota);
  requests_.erase(entry);
}

void AdmissionController::Impl::on_client_disconnected(RequestId id, ActionSink& out) {
  PendingRequest* pending = requests_.find(id);
  if (pending == nullptr) return;
  pending->answered = true;
  cancel_all_attempts(*pending, out);
  erase_if_done(id);
}

}  // namespace cometfold
