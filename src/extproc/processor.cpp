// The calls of the processor: decisions on new and retried requests, and the replies of the engine.
#include "extproc/processor.h"

#include <algorithm>
#include <utility>

#include "extproc/exchange.h"
#include "extproc/pending_request.h"
#include "extproc/responses.h"

namespace cometfold::extproc {

using engine::ResponseHandle;

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr Decision failure(const char* details, int status = kServiceUnavailable,
                           int grpc_status = kGrpcUnavailable) {
  return {Decision::kFailed, status, grpc_status, 0, details};
}

constexpr Decision kFirstAttemptNotKnown = failure("cometfold_first_attempt_not_known");
constexpr Decision kAlreadyDone = failure("cometfold_already_done");
constexpr Decision kRetryForbidden = failure("cometfold_must_not_repeat");

Decision rejection(const char* details, Ms retry_after) {
  return {Decision::kRejected, kTooManyRequests, kGrpcResourceExhausted, retry_after, details};
}

Decision failure_of(engine::FailureReason reason) {
  switch (reason) {
    case engine::FailureReason::kTimedOut:
      return failure("cometfold_timed_out", kGatewayTimeout, kGrpcDeadlineExceeded);
    case engine::FailureReason::kShuttingDown:
      return failure("cometfold_stopping");
    case engine::FailureReason::kPolicy:
    case engine::FailureReason::kInternal:
      break;
  }
  return failure("cometfold_given_up");
}

}  // namespace

Processor::Processor(engine::Engine& engine, NamedSettings names, ProcessorSettings settings,
                     std::uint64_t seed)
    : engine_(engine), seed_(seed) {
  reload(std::move(settings), std::move(names));
}
Processor::~Processor() = default;

void Processor::reload(ProcessorSettings settings, NamedSettings names) {
  validate(settings, names);
  auto mapper = std::make_shared<const RequestMapper>(settings.mapping, names, seed_);
  names_ = std::move(names);
  settings_ = std::make_shared<const ProcessorSettings>(std::move(settings));
  mapper_ = std::move(mapper);
}

void Processor::add_host(HostId host, std::string endpoint) {
  auto& known = hosts_[host];
  if (!known || *known != endpoint) known = std::make_shared<const std::string>(std::move(endpoint));
}

std::unique_ptr<http2::grpc::CallEvents> Processor::open(Ms, http2::grpc::Call& call, http2::HeaderBlock) {
  return std::make_unique<Exchange>(*this, call, settings_, mapper_);
}

Processor::PendingRequest* Processor::find_pending(PendingId id) {
  const auto it = pending_.find(id);
  return it == pending_.end() ? nullptr : &it->second;
}

// ---- calls that request a decision ----

void Processor::decide(Ms now, Exchange& exchange, const MappedRequest& mapped) {
  if (!mapped.error.empty()) {
    ++metrics_.bad_requests;
    const std::string body = mapped.error + "\n";
    return exchange.reply({.status = 400,
                           .grpc_status = static_cast<int>(http2::grpc::Code::kInvalidArgument),
                           .details = "cometfold_bad_request",
                           .body = body});
  }
  if (mapped.attempt > 1) {
    ++metrics_.retried_requests;
    return decide_retry(now, exchange, mapped);
  }
  ++metrics_.new_requests;
  decide_new(now, exchange, mapped);
}

void Processor::decide_new(Ms now, Exchange& exchange, const MappedRequest& mapped) {
  const PendingId id = ++last_pending_id_;
  PendingRequest& pending = pending_[id];
  pending.id = id;
  pending.exchange = &exchange;
  pending.class_index = mapped.request.class_index;
  pending.has_idempotency_key = mapped.has_idempotency_key;
  pending.proxy_id = mapped.id;
  exchange.bind(id);
  register_proxy_id(pending);

  const std::size_t bytes = sizeof(PendingRequest) + mapped.id.size();
  engine::IncomingRequest incoming{mapped.request, mapped.timeout_ms, seed_ ^ id,
                                   std::make_unique<RequestPayload>(id, bytes), this};
  RequestId engine_id = 0;
  const auto result = engine_.accept(now, *this, ResponseHandle{id, 0}, std::move(incoming), engine_id);
  PendingRequest* still_pending = find_pending(id);
  if (!still_pending) return;
  if (result != engine::AcceptResult::kAccepted) {  // no attempt has been sent, so it may be rejected
    finish(*still_pending, rejection("cometfold_no_room", 0));
    return erase_if_finished(id);
  }
  still_pending->engine_id = engine_id;
}

// If two requests have the same id, a later call with it could be a retry of either, so neither is retried.
void Processor::register_proxy_id(PendingRequest& pending) {
  if (pending.proxy_id.empty()) return;
  const auto [it, inserted] = pending_by_proxy_id_.try_emplace(pending.proxy_id, pending.id);
  if (!inserted) {
    pending.proxy_id_ambiguous = true;
    if (PendingRequest* other = find_pending(it->second)) other->proxy_id_ambiguous = true;
  } else if (finished_.contains(pending.proxy_id)) {
    pending.proxy_id_ambiguous = true;
  }
}

// Whether the class and the idempotency key allow that the request is sent again.
bool Processor::class_allows_retry(const PendingRequest& pending) const {
  if (pending.proxy_id_ambiguous) return false;
  const auto idempotency = names_.settings.classes[pending.class_index].idempotency;
  if (idempotency == Idempotency::kIdempotent) return true;
  return idempotency == Idempotency::kIdempotencyKey && pending.has_idempotency_key;
}

bool Processor::proxy_may_retry(const PendingRequest& pending) const {
  return settings_->proxy_retries == ProxyRetries::kMarked && class_allows_retry(pending) &&
         !pending.proxy_id.empty();
}

// Whether a retry may be sent if its first attempt is unknown here, after a restart or because the retry came
// too late. That attempt may have run on any host. An idempotency key that is valid at all hosts for as long
// as the client waits still covers it; a key that is valid in one zone or cell does not, as the zone or cell
// of the first attempt is unknown.
bool Processor::unknown_retry_allowed(const MappedRequest& mapped) const {
  const auto& class_settings = names_.settings.classes[mapped.request.class_index];
  if (class_settings.idempotency == Idempotency::kIdempotent) return true;
  const Ms longest_wait = std::max(mapped.timeout_ms, class_settings.deadline_ms);
  return class_settings.idempotency == Idempotency::kIdempotencyKey && mapped.has_idempotency_key &&
         class_settings.idempotency_scope == IdempotencyScope::kAll &&
         class_settings.idempotency_key_ttl_ms > longest_wait;
}

void Processor::decide_retry(Ms now, Exchange& exchange, const MappedRequest& mapped) {
  const std::string proxy_id(mapped.id);
  const auto open = proxy_id.empty() ? pending_by_proxy_id_.end() : pending_by_proxy_id_.find(proxy_id);
  if (open != pending_by_proxy_id_.end()) {
    PendingRequest& pending = pending_.at(open->second);
    if (pending.class_index != mapped.request.class_index) return reply(exchange, kIdNotUnique);
    return resume_open(now, exchange, pending);
  }
  const FinishedRequest* finished = proxy_id.empty() ? nullptr : finished_.find(proxy_id);
  if (const Decision* refusal = refusal_of_retry(mapped, finished)) return reply(exchange, *refusal);
  finished_.erase(proxy_id);  // the request is pending again
  decide_new(now, exchange, mapped);
}

// Returns the decision that refuses a retry of a request that is not pending; null if the retry may be sent.
const Decision* Processor::refusal_of_retry(const MappedRequest& mapped,
                                            const FinishedRequest* finished) const {
  if (!finished) return unknown_retry_allowed(mapped) ? nullptr : &kFirstAttemptNotKnown;
  if (finished->class_index != mapped.request.class_index) return &kIdNotUnique;
  switch (finished->decision.kind) {
    case Decision::kNotSent:
      return nullptr;
    case Decision::kServed: {
      const auto idempotency = names_.settings.classes[finished->class_index].idempotency;
      return idempotency == Idempotency::kIdempotent ? nullptr : &kAlreadyDone;
    }
    case Decision::kRejected:
    case Decision::kFailed:
      break;
  }
  return &finished->decision;
}

// Handles a retry that arrives while its request is still pending.
void Processor::resume_open(Ms now, Exchange& exchange, PendingRequest& pending) {
  if (pending.proxy_id_ambiguous) return reply(exchange, kIdNotUnique);
  if (pending.exchange) supersede_call(pending);
  if (!class_allows_retry(pending) && pending.any_attempt_may_have_left()) {
    reply(exchange, kRetryForbidden);
    if (pending.attempt != 0) {
      ++metrics_.unreported;
      report_attempt_end(now, pending, Outcome::kCancelled, {}, true);
    }
    return;
  }
  pending.exchange = &exchange;
  exchange.bind(pending.id);
  if (pending.awaits_fetch) {
    // The attempt was decided on when the previous call ended; the rules may forbid it by now.
    if (!engine_.may_write(now, pending.attempt, false)) {
      return report_attempt_end(now, pending, Outcome::kNotSent, {}, false);
    }
    send_route(now, pending);
  } else if (pending.attempt != 0) {
    ++metrics_.unreported;
    report_attempt_end(now, pending, Outcome::kCancelled, {}, false);
  }
}

// Ends the call that carries this request, as the proxy has replaced it by a new one.
void Processor::supersede_call(PendingRequest& pending) {
  if (pending.attempt_in_flight() && withdraw_decision(pending)) pending.awaits_fetch = true;
  if (pending.exchange->awaits_decision()) ++metrics_.disconnected;
  pending.exchange->superseded();
  pending.exchange = nullptr;
}

// Withdraws the decision that names the attempt's host. Returns false if it has already been sent. A
// withdrawn decision is not counted as routed.
bool Processor::withdraw_decision(PendingRequest& pending) {
  if (!pending.exchange || !pending.exchange->withdraw_decision()) return false;
  ++metrics_.withdrawn;
  --metrics_.routed;
  return true;
}

void Processor::reply(Exchange& exchange, const Decision& decision) {
  auto& counter = decision.kind == Decision::kRejected ? metrics_.rejected : metrics_.failed;
  ++counter;
  exchange.reply({.status = decision.status,
                  .grpc_status = decision.grpc_status,
                  .retry_after_ms = decision.retry_after_ms,
                  .details = decision.details,
                  .body = {}});
}

// ---- replies of the engine ----

void Processor::finish(PendingRequest& pending, const Decision& decision) {
  pending.answered = true;
  Decision remembered = decision;
  if (pending.exchange && pending.exchange->awaits_decision()) {
    reply(*pending.exchange, decision);
  } else if (pending.attempt_in_flight() && withdraw_decision(pending)) {
    pending.decision_withdrawn = true;
    reply(*pending.exchange, decision);
  } else if (decision.kind != Decision::kServed && !pending.any_attempt_may_have_left()) {
    remembered.kind = Decision::kNotSent;
  }
  remember_decision(pending, remembered);
}

void Processor::on_served(Ms, ResponseHandle handle, std::string_view) {
  if (PendingRequest* pending = find_pending(handle.connection)) {
    finish(*pending, {Decision::kServed, 200, 0, 0, ""});
  }
}

void Processor::on_rejected(Ms, ResponseHandle handle, Ms retry_after) {
  PendingRequest* pending = find_pending(handle.connection);
  if (!pending) return;
  finish(*pending, rejection("cometfold_refused", retry_after));
  erase_if_finished(handle.connection);
}

void Processor::on_failed(Ms, ResponseHandle handle, engine::FailureReason reason) {
  PendingRequest* pending = find_pending(handle.connection);
  if (!pending) return;
  finish(*pending, failure_of(reason));
  erase_if_finished(handle.connection);
}

void Processor::remember_decision(const PendingRequest& pending, const Decision& decision) {
  if (pending.proxy_id.empty()) return;
  const auto open = pending_by_proxy_id_.find(pending.proxy_id);
  if (open == pending_by_proxy_id_.end() || open->second != pending.id) return;
  pending_by_proxy_id_.erase(open);
  const Decision& remembered = pending.proxy_id_ambiguous ? kIdNotUnique : decision;
  finished_.insert({pending.proxy_id, pending.class_index, remembered}, settings_->max_remembered_decisions);
}

void Processor::erase_if_finished(PendingId id) {
  const auto it = pending_.find(id);
  if (it == pending_.end() || !it->second.answered || it->second.attempt != 0) return;
  if (it->second.exchange) it->second.exchange->unbind();
  pending_.erase(it);
}

}  // namespace cometfold::extproc
