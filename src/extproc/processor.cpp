#include "extproc/processor.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "extproc/exchange.h"
#include "extproc/host_load.h"
#include "extproc/responses.h"

namespace cometfold::extproc {

using engine::AttemptId;
using engine::ResponseHandle;
using engine::StartResult;

// A request between its first call and the end of its last attempt.
struct Processor::Record {
  RecordId id = 0;
  RequestId name = 0;  // at the engine; 0 while it is being taken
  Exchange* exchange = nullptr;
  AttemptId attempt = 0;  // that is out or offered; 0: none
  Ms until = 0;           // that attempt's
  std::shared_ptr<const std::string> endpoint;
  std::string known_as;  // by the proxy; empty: it gave no id
  std::uint32_t class_index = 0;
  bool has_key = false;
  bool shared = false;    // two open requests call themselves the same
  bool answered = false;  // nothing is owed to the engine's front end any more
  bool offered = false;   // the attempt waits for a call to fetch it
  bool unsent = false;    // the attempt's message was taken back
  bool left = false;      // an earlier attempt may have gone out

  bool out() const { return attempt != 0 && !offered && !unsent; }
  bool may_have_left() const { return left || out(); }
};

struct Processor::Over {
  std::string known_as;
  std::uint32_t class_index = 0;
  Verdict verdict;
};

// What the engine holds for a request: only whose it is.
class Processor::Order : public engine::Payload {
 public:
  Order(RecordId record, std::size_t bytes) : record_(record), bytes_(bytes) {}
  std::size_t bytes() const override { return bytes_; }
  RecordId record() const { return record_; }

 private:
  RecordId record_;
  std::size_t bytes_;
};

std::string to_text(const Totals& t) {
  std::string text;
  const auto add = [&](const char* name, std::uint64_t n) {
    text += (text.empty() ? "" : " ") + std::string(name) + "=" + std::to_string(n);
  };
  add("asked", t.asked);
  add("again", t.again);
  add("named", t.named);
  add("refused", t.refused);
  add("failed", t.failed);
  add("rejected", t.rejected);
  add("left", t.left);
  add("ended", t.ended);
  add("unknown", t.unknown);
  add("silent", t.silent);
  add("elsewhere", t.elsewhere);
  add("withdrawn", t.withdrawn);
  add("out_of_order", t.out_of_order);
  add("unreadable", t.unreadable);
  add("observed", t.observed);
  return text;
}

Processor::Processor(engine::Engine& engine, Names names, Settings settings, std::uint64_t seed)
    : engine_(engine), seed_(seed) {
  reload(std::move(settings), std::move(names));
}
Processor::~Processor() = default;

void Processor::reload(Settings settings, Names names) {
  check(settings, names);
  auto mapper = std::make_shared<const Mapper>(settings.mapping, names, seed_);
  names_ = std::move(names);
  settings_ = std::make_shared<const Settings>(std::move(settings));
  mapper_ = std::move(mapper);
}

void Processor::add(HostId host, std::string endpoint) {
  auto& known = hosts_[host];
  if (!known || *known != endpoint) known = std::make_shared<const std::string>(std::move(endpoint));
}

std::unique_ptr<http2::grpc::CallEvents> Processor::open(Ms, http2::grpc::Call& call, http2::HeaderBlock) {
  return std::make_unique<Exchange>(*this, call, settings_, mapper_);
}

Processor::Record* Processor::find(RecordId id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

// ---- calls that ask ----

void Processor::ask(Ms now, Exchange& exchange, const Mapped& mapped) {
  if (!mapped.error.empty()) {
    ++totals_.rejected;
    return exchange.answer({.status = 400,
                            .grpc_status = static_cast<int>(http2::grpc::Code::kInvalidArgument),
                            .details = "cometfold_bad_request",
                            .body = mapped.error + "\n"});
  }
  if (mapped.attempt > 1) {
    ++totals_.again;
    return ask_again(now, exchange, mapped);
  }
  ++totals_.asked;
  ask_anew(now, exchange, mapped);
}

void Processor::ask_anew(Ms now, Exchange& exchange, const Mapped& mapped) {
  const RecordId id = ++last_;
  Record& r = records_[id];
  r.id = id;
  r.exchange = &exchange;
  r.class_index = mapped.request.class_index;
  r.has_key = mapped.has_key;
  r.known_as = mapped.id;
  exchange.bind(id);
  if (!r.known_as.empty()) {
    const auto [it, fresh] = by_id_.try_emplace(r.known_as, id);
    // Danger: of two open requests with one id, nobody could tell which of them a later call repeats. So it
    // repeats neither.
    if (!fresh) {
      r.shared = true;
      if (Record* other = find(it->second)) other->shared = true;
    } else if (over_.contains(r.known_as)) {  // nor of one that is over and a later one
      r.shared = true;
    }
  }
  engine::IncomingRequest ask{mapped.request, mapped.wait, seed_ ^ id,
                              std::make_unique<Order>(id, sizeof(Record) + mapped.id.size()), this};
  RequestId name = 0;
  const auto taken = engine_.accept(now, *this, ResponseHandle{id, 0}, std::move(ask), name);
  Record* still = find(id);
  if (!still) return;
  if (taken != engine::AcceptResult::kAccepted) {  // nothing has been sent for it, so a refusal is lawful
    settle(*still, {Verdict::kRefused, 429, 8, 0, "cometfold_no_room"});
    return forget_if_done(id);
  }
  still->name = name;
}

// What a request's class and key say of sending it once more.
bool Processor::class_allows(const Record& r) const {
  const auto& c = names_.settings.classes[r.class_index];
  return !r.shared && (c.idempotency == Idempotency::kIdempotent ||
                       (c.idempotency == Idempotency::kIdempotencyKey && r.has_key));
}

bool Processor::may_come_again(const Record& r) const {
  return settings_->repeats == Repeats::kMarked && class_allows(r) && !r.known_as.empty();
}

// A repeat of which nothing is known here, after a restart or because it came too late. Danger: the first
// attempt may have run anywhere. A key that holds at all hosts for as long as the client waits still covers
// it; one that holds in a zone or cell does not, as it is not known which.
bool Processor::allowed_unknown(const Mapped& m) const {
  const auto& c = names_.settings.classes[m.request.class_index];
  if (c.idempotency == Idempotency::kIdempotent) return true;
  const Ms waits = std::max(m.wait, c.deadline_ms);
  return c.idempotency == Idempotency::kIdempotencyKey && m.has_key &&
         c.idempotency_scope == IdempotencyScope::kAll && c.idempotency_key_ttl_ms > waits;
}

void Processor::ask_again(Ms now, Exchange& exchange, const Mapped& mapped) {
  const std::string known_as(mapped.id);
  const auto open = known_as.empty() ? by_id_.end() : by_id_.find(known_as);
  const Verdict not_unique{Verdict::kFailed, 503, 14, 0, "cometfold_id_not_unique"};
  if (open != by_id_.end()) {
    Record& r = records_.at(open->second);
    if (r.class_index != mapped.request.class_index) return tell(exchange, not_unique);
    return fetch(now, exchange, r);
  }
  bool allowed = allowed_unknown(mapped);
  Verdict verdict{Verdict::kFailed, 503, 14, 0, "cometfold_first_attempt_not_known"};
  const auto over = known_as.empty() ? over_.end() : over_.find(known_as);
  if (over != over_.end()) {
    const Over& o = *over->second;
    if (o.class_index != mapped.request.class_index) return tell(exchange, not_unique);
    verdict = o.verdict;
    allowed = o.verdict.kind == Verdict::kUnsent;  // nothing of it ever went out
    if (o.verdict.kind == Verdict::kServed) {
      allowed = names_.settings.classes[o.class_index].idempotency == Idempotency::kIdempotent;
      verdict = {Verdict::kFailed, 503, 14, 0, "cometfold_already_done"};
    }
  }
  if (!allowed) return tell(exchange, verdict);
  if (over != over_.end()) {  // the same request goes on
    const auto old = over->second;
    over_.erase(over);
    order_.erase(old);
  }
  ask_anew(now, exchange, mapped);
}

// A call that comes again while its request is open.
void Processor::fetch(Ms now, Exchange& exchange, Record& r) {
  if (r.shared) return tell(exchange, {Verdict::kFailed, 503, 14, 0, "cometfold_id_not_unique"});
  if (r.exchange) {  // the proxy has given up on that call
    if (r.out() && take_back(r)) r.offered = true;
    if (r.exchange->waits()) ++totals_.left;
    r.exchange->superseded();
    r.exchange = nullptr;
  }
  if (!class_allows(r) && r.may_have_left()) {
    tell(exchange, {Verdict::kFailed, 503, 14, 0, "cometfold_must_not_repeat"});
    if (r.attempt != 0) {
      ++totals_.unknown;
      end_attempt(now, r, Outcome::kCancelled, {}, true);
    }
    return;
  }
  r.exchange = &exchange;
  exchange.bind(r.id);
  if (r.offered) {
    // Danger: it was decided on when the call before ended.
    if (!engine_.may_write(now, r.attempt, false)) return end_attempt(now, r, Outcome::kNotSent, {}, false);
    name_host(now, r);
  } else if (r.attempt != 0) {
    ++totals_.unknown;
    end_attempt(now, r, Outcome::kCancelled, {}, false);
  }
}

// Whether the decision on its attempt had not left yet; it has not been made then.
bool Processor::take_back(Record& r) {
  if (!r.exchange || !r.exchange->take_back()) return false;
  ++totals_.withdrawn;
  --totals_.named;
  return true;
}

void Processor::tell(Exchange& exchange, const Verdict& v) {
  ++(v.kind == Verdict::kRefused ? totals_.refused : totals_.failed);
  exchange.answer({.status = v.status,
                   .grpc_status = v.grpc_status,
                   .retry_after = v.retry_after,
                   .details = v.details,
                   .body = {}});
}

// ---- what the engine answers ----

void Processor::settle(Record& r, const Verdict& verdict) {
  r.answered = true;
  Verdict kept = verdict;
  if (r.exchange && r.exchange->waits()) {
    tell(*r.exchange, verdict);
  } else if (r.out() && take_back(r)) {
    r.unsent = true;
    tell(*r.exchange, verdict);
  } else if (verdict.kind != Verdict::kServed && !r.may_have_left()) {
    kept.kind = Verdict::kUnsent;
  }
  remember(r, kept);
}

void Processor::on_served(Ms, ResponseHandle ticket, std::string_view) {
  if (Record* r = find(ticket.connection)) settle(*r, {Verdict::kServed, 200, 0, 0, ""});
}

void Processor::on_rejected(Ms, ResponseHandle ticket, Ms retry_after) {
  Record* r = find(ticket.connection);
  if (!r) return;
  settle(*r, {Verdict::kRefused, 429, 8, retry_after, "cometfold_refused"});
  forget_if_done(ticket.connection);
}

void Processor::on_failed(Ms, ResponseHandle ticket, engine::FailureReason why) {
  Record* r = find(ticket.connection);
  if (!r) return;
  switch (why) {
    case engine::FailureReason::kTimedOut:
      settle(*r, {Verdict::kFailed, 504, 4, 0, "cometfold_timed_out"});
      break;
    case engine::FailureReason::kShuttingDown:
      settle(*r, {Verdict::kFailed, 503, 14, 0, "cometfold_stopping"});
      break;
    case engine::FailureReason::kPolicy:
    case engine::FailureReason::kInternal:
      settle(*r, {Verdict::kFailed, 503, 14, 0, "cometfold_given_up"});
      break;
  }
  forget_if_done(ticket.connection);
}

// Kept for calls that come again. The oldest makes room.
void Processor::remember(Record& r, const Verdict& verdict) {
  if (r.known_as.empty()) return;
  const auto open = by_id_.find(r.known_as);
  if (open == by_id_.end() || open->second != r.id) return;
  by_id_.erase(open);
  const auto known = over_.find(r.known_as);
  if (known != over_.end()) {
    const auto old = known->second;
    over_.erase(known);
    order_.erase(old);
  }
  if (settings_->remembered == 0) return;
  while (order_.size() >= settings_->remembered) {
    over_.erase(order_.front().known_as);
    order_.pop_front();
  }
  order_.push_back({r.known_as, r.class_index, verdict});
  if (r.shared) order_.back().verdict = {Verdict::kFailed, 503, 14, 0, "cometfold_id_not_unique"};
  over_.emplace(order_.back().known_as, std::prev(order_.end()));
}

void Processor::forget_if_done(RecordId id) {
  const auto it = records_.find(id);
  if (it == records_.end() || !it->second.answered || it->second.attempt != 0) return;
  if (it->second.exchange) it->second.exchange->unbind();
  records_.erase(it);
}

// ---- attempts ----

StartResult Processor::start(Ms now, AttemptId attempt, HostId host, const engine::Payload& payload,
                             Ms left) {
  Record* r = find(static_cast<const Order&>(payload).record());
  const auto h = hosts_.find(host);
  if (!r || h == hosts_.end()) return StartResult::kHostUnavailable;
  // One call carries one attempt: there is no second copy on this wire.
  if (r->attempt != 0) return StartResult::kNoLocalCapacity;
  const bool waits = r->exchange && r->exchange->waits();
  if (!waits && !may_come_again(*r)) return StartResult::kNoLocalCapacity;
  if (!waits && r->exchange) {  // what it may still report is of an attempt that is over
    r->exchange->unbind();
    r->exchange = nullptr;
  }
  r->attempt = attempt;
  r->until = now + left;
  r->endpoint = h->second;
  r->unsent = false;
  attempts_.emplace(attempt, r->id);
  if (waits) {
    name_host(now, *r);
  } else {
    r->offered = true;
    offers_.push_back({now + settings_->repeat_wait_ms, r->id, attempt});
  }
  return StartResult::kStarted;
}

void Processor::name_host(Ms now, Record& r) {
  ++totals_.named;
  r.offered = false;
  r.exchange->route(*r.endpoint, r.until - now, may_come_again(r));
}

void Processor::attempt_over(Record& r, bool went) {
  attempts_.erase(r.attempt);
  r.attempt = 0;
  r.offered = r.unsent = false;
  r.left = r.left || went;
}

bool Processor::abandon(Ms, AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return false;
  const RecordId id = it->second;
  Record& r = records_.at(id);
  if (r.out()) ++totals_.silent;
  attempt_over(r, r.out());
  forget_if_done(id);
  return false;  // the proxy was told how long: it reports a host that is silent by itself
}

bool Processor::withdraw(Ms, AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return false;
  Record& r = records_.at(it->second);
  if (r.out() && !take_back(r)) return false;
  const RecordId id = r.id;
  attempt_over(r, false);
  forget_if_done(id);
  return true;
}

bool Processor::awaits_first_byte(AttemptId attempt) const {
  const auto it = attempts_.find(attempt);
  return it != attempts_.end() && records_.at(it->second).offered;
}

// What waits for a call, or has not left yet, goes elsewhere. Ends may lead to new attempts: so first all are
// found, then ended.
void Processor::retire_host(Ms now, HostId host) {
  const auto h = hosts_.find(host);
  if (h == hosts_.end()) return;
  const auto endpoint = h->second;
  hosts_.erase(h);
  std::vector<std::pair<RecordId, AttemptId>> mine;
  for (const auto& [attempt, id] : attempts_) {
    if (records_.at(id).endpoint == endpoint) mine.emplace_back(id, attempt);
  }
  std::sort(mine.begin(), mine.end());
  for (const auto& [id, attempt] : mine) {
    Record* r = find(id);
    if (!r || r->attempt != attempt) continue;
    if (r->unsent || (r->out() && !take_back(*r))) continue;
    end_attempt(now, *r, Outcome::kNotSent, {}, false);
  }
}

// Tells the engine; `last`: the client has its answer, whatever it is.
void Processor::end_attempt(Ms now, Record& r, Outcome outcome, const LoadReport& load, bool last) {
  const RecordId id = r.id;
  const AttemptId attempt = r.attempt;
  attempt_over(r, outcome != Outcome::kNotSent);
  if (last) {
    r.answered = true;
    remember(r, {!r.left ? Verdict::kUnsent : Verdict::kServed, 503, 14, 0, "cometfold_already_done"});
    engine_.on_final_attempt_end(now, attempt, outcome, load);
  } else {
    engine_.on_attempt_end(now, attempt, outcome, {}, load);
  }
  forget_if_done(id);
}

// The proxy has told how it ended, in `report`; its call goes on without the request.
void Processor::Exchange::on_report(Ms now, const Report& report) {
  Record* r = owner_.find(record_);
  if (!r) return;
  record_ = 0;
  r->exchange = nullptr;
  if (r->attempt == 0) return owner_.forget_if_done(r->id);
  ++owner_.totals_.ended;
  Outcome outcome = outcome_of(report.seen, settings_->not_run);
  if (!report.served.empty() && report.served != *r->endpoint) {
    // Danger: whatever this tells, it tells of another host than the one whose record it would go to.
    ++owner_.totals_.elsewhere;
    return owner_.end_attempt(now, *r, Outcome::kCancelled, {}, true);
  }
  const bool last = outcome != Outcome::kOk && !owner_.may_come_again(*r);
  owner_.end_attempt(now, *r, outcome, report.load, last);
}

// The call is over without a word on the attempt.
void Processor::leave(Ms now, Exchange& exchange) {
  Record* r = find(exchange.record());
  if (!r) return;
  const RecordId id = r->id;
  const bool waited = exchange.waits();
  const bool unsent = r->out() && take_back(*r);
  exchange.unbind();
  r->exchange = nullptr;
  if (waited) ++totals_.left;
  if (r->attempt == 0) {  // nothing out: nobody is there to be answered
    if (!r->answered) {
      r->answered = true;
      remember(*r, {r->left ? Verdict::kServed : Verdict::kUnsent, 503, 14, 0, "cometfold_already_done"});
      engine_.on_client_disconnected(now, r->name);
    }
    return forget_if_done(id);
  }
  if (unsent) {
    ++totals_.left;
    return end_attempt(now, *r, Outcome::kNotSent, {}, true);
  }
  ++totals_.unknown;
  end_attempt(now, *r, Outcome::kCancelled, {}, !may_come_again(*r));
}

// ---- time ----

std::optional<Ms> Processor::next_due() const {
  if (offers_.empty()) return {};
  return offers_.front().until;
}

// Attempts that no call has fetched: the proxy does not repeat, or its client has gone.
void Processor::run_due(Ms now) {
  while (!offers_.empty() && offers_.front().until <= now) {
    const Offer offer = offers_.front();
    offers_.pop_front();
    Record* r = find(offer.record);
    if (!r || !r->offered || r->attempt != offer.attempt) continue;
    end_attempt(now, *r, Outcome::kNotSent, {}, true);
  }
}

}  // namespace cometfold::extproc
