#include "engine/engine.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>

#include "engine/faults.h"

namespace cometfold::engine {

namespace {

constexpr std::size_t kManyTimers = 2048;
constexpr std::size_t kTimersEach = 12;  // more of them are mostly of requests that are done

// What a deliberate fault leaves open, the check at the first byte must leave open too: else it would hide
// that the first guard is missing.
bool sends_after_answer() { return mutant(Mutant::kSendsAfterAnswer) || mutant(Mutant::kServesLateAnswer); }
bool sends_to_drained() {
  return mutant(Mutant::kForgetsWaitingDrain) || mutant(Mutant::kSkipsRetireOnThrow);
}

}  // namespace

Engine::Engine(AdmissionPolicy& module, UpstreamTransport& hosts, const EngineLimits& limits, Note note)
    : module_(module), all_hosts_{&hosts}, limits_(limits), note_(std::move(note)) {}

void Engine::start(Ms now) {
  now_ = now;
  consult(0, [&] { module_.start(now, *this); });
  after_module();
}

// Danger: an exception out of the module must neither lose what the call was about nor keep the rest of it
// from being done: hosts still retire, ends are still told.
template <class Call>
void Engine::consult(RequestId about, Call&& call) {
  in_module_ = true;
  threw_ = true;
  try {
    call();
    threw_ = false;
  } catch (const std::exception& error) {
    note_("the module threw", error.what());
    if (about != 0) faulted_.push_back(about);
  } catch (...) {
    note_("the module threw", "");
    if (about != 0) faulted_.push_back(about);
  }
  in_module_ = false;
}

void Engine::on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries) {
  now_ = now;
  learn_hosts(kind, entries);
  // The module first: what a retired host's waiting attempts come to is decided with the new list.
  consult(0, [&] { module_.on_host_list(now, kind, entries, *this); });
  const bool skip = threw_ && mutant(Mutant::kSkipsRetireOnThrow);
  for (const auto& e : entries) {
    if (e.state == HostState::kReady || skip) continue;
    for (UpstreamTransport* hosts : all_hosts_) hosts->retire_host(now, e.id);
  }
  after_module();
}

void Engine::trace(RequestEvent::Kind what, const Asked& r, RequestId id, const Try* attempt,
                   AttemptVerdict stopped) const {
  if (!trace_) return;
  RequestEvent step{.kind = what, .at = now_, .request = id, .identity = r.identity, .ticket = r.ticket};
  step.remaining_ms = (attempt ? attempt->until : r.expires_at) - now_;
  if (attempt) {
    step.attempt = attempt->id;
    step.host = attempt->host;
    step.outcome = attempt->outcome;
  }
  step.reason = giving_up_;
  step.verdict = stopped;
  trace_(step);
}

void Engine::learn_hosts(HostListUpdate kind, std::span<const HostEntry> entries) {
  if (kind == HostListUpdate::kFailed) return;
  if (kind != HostListUpdate::kDelta) listed_.clear();
  for (const auto& e : entries) {
    if (e.state == HostState::kReady) {
      listed_[e.id] = {e.started_at, location_of(e)};
    } else {
      listed_.erase(e.id);
    }
  }
}

// ---- requests in ----

AcceptResult Engine::accept(Ms now, DownstreamHandler& front, ResponseHandle ticket, IncomingRequest ask,
                            RequestId& name) {
  now_ = now;
  name = 0;
  // Danger: two requests of one id would be one at the hosts, and one's answer could be taken for the
  // other's.
  if (open_identities_.contains(ask.identity) && !mutant(Mutant::kSharesIdentity))
    return AcceptResult::kDuplicateIdentity;
  if (front.client_disconnected(ticket)) {
    ++rule_figures_.first_bytes[static_cast<std::size_t>(AttemptVerdict::kClientDisconnected)];
    return AcceptResult::kClientDisconnected;
  }
  const std::size_t bytes = ask.payload->bytes();
  if (owed_ >= limits_.max_open_requests || held_bytes_ + bytes > limits_.max_payload_bytes) {
    ++figures_of(ask.request.class_index).rejected;
    ++causes_.no_capacity;
    return AcceptResult::kNoCapacity;
  }
  const RequestId id = ++last_request_;
  Ms expires_at = now + std::max(ask.timeout_ms - limits_.deadline_margin_ms, 0.0);
  if (stop_at_) expires_at = std::min(expires_at, *stop_at_);
  ask.request.id = id;
  ask.request.expires_at = expires_at;
  held_bytes_ += bytes;
  Asked& r = asked_[id];
  r.front = &front;
  r.hosts = ask.upstream ? ask.upstream : all_hosts_.front();
  r.ticket = ticket;
  r.payload = std::move(ask.payload);
  r.expires_at = expires_at;
  r.identity = ask.identity;
  r.class_index = ask.request.class_index;
  if (settings_ && r.class_index < settings_->classes.size()) r.terms = settings_->classes[r.class_index];
  open_identities_.insert(ask.identity);
  ++owed_;
  trace(RequestEvent::kAccepted, r, id);
  if (!mutant(Mutant::kForgetsDeadline)) timers_.push({expires_at, Timer::kExpiry, id});
  consult(id, [&] { module_.on_request(now, ask.request, *this); });
  after_module();
  const auto it = asked_.find(id);
  if (it != asked_.end() && !it->second.answered) name = id;
  return AcceptResult::kAccepted;
}

void Engine::on_client_disconnected(Ms now, RequestId name) {
  now_ = now;
  const auto it = asked_.find(name);
  if (it == asked_.end() || it->second.answered || mutant(Mutant::kLosesGoneClient)) return;
  trace(RequestEvent::kClientDisconnected, it->second, name);
  settle(name, nullptr, [](DownstreamHandler&, ResponseHandle) {});
  if (it->second.passing) resume(it->second);  // the rest goes nowhere, and must not wait for anybody
  consult(0, [&] { module_.on_client_disconnected(now, name, *this); });
  after_module();
}

// ---- the module's actions ----

void Engine::send(RequestId request, HostId host, Ms give_up_after) {
  const auto it = asked_.find(request);
  if (it == asked_.end()) return;
  Asked& r = it->second;
  const auto index = static_cast<std::uint32_t>(r.tries.size());
  const AttemptId attempt = ++last_attempt_;
  Ms left = r.expires_at - now_;
  if (give_up_after > 0) left = std::min(left, give_up_after);
  const auto listed = listed_.find(host);
  const Listed at = listed != listed_.end() ? listed->second : Listed{};
  r.tries.push_back({.id = attempt,
                     .host = host,
                     .sent = now_,
                     .until = now_ + left,
                     .place = at.place,
                     .started_at = at.started_at});
  ++r.out;
  if (index > 0) ++attempt_figures_.retries;
  trace(RequestEvent::kSent, r, request, &r.tries[index]);
  if ((r.answered && !mutant(Mutant::kSendsAfterAnswer)) || left <= 0) {
    return end_try(request, index, Outcome::kNotSent, {});
  }
  if (index > 0 && client_left(r)) {
    ++rule_figures_.first_bytes[static_cast<std::size_t>(AttemptVerdict::kClientDisconnected)];
    return end_try(request, index, Outcome::kNotSent, {});
  }
  if (const AttemptVerdict verdict = may_repeat(r, index); verdict != AttemptVerdict::kAllowed) {
    ++rule_figures_.decisions[static_cast<std::size_t>(verdict)];
    note_("the rules stopped an attempt that was decided on",
          kAttemptVerdictNames[static_cast<std::size_t>(verdict)]);
    return end_try(request, index, Outcome::kNotSent, {});
  }
  tries_.emplace(attempt, std::pair{request, index});
  const auto started = r.hosts->start(now_, attempt, host, *r.payload, left);
  if (started != StartResult::kStarted) {
    const bool here = started == StartResult::kNoLocalCapacity;
    return end_try(request, index, here ? Outcome::kNotSent : Outcome::kConnectFailed, {});
  }
  r.tries[index].waits = r.hosts->awaits_first_byte(attempt);
  if (now_ + left < r.expires_at) timers_.push({now_ + left, Timer::kExpiry, request});
}

void Engine::cancel(RequestId request, std::uint32_t attempt) {
  const auto it = asked_.find(request);
  if (it == asked_.end() || attempt >= it->second.tries.size() || !it->second.tries[attempt].out) return;
  if (!mutant(Mutant::kServesLateAnswer)) it->second.hosts->abandon(now_, it->second.tries[attempt].id);
  end_try(request, attempt, Outcome::kCancelled, {});
}

// A value that has begun is the answer, whatever the module makes of it.
bool Engine::passing(RequestId request) const {
  const auto it = asked_.find(request);
  return it != asked_.end() && it->second.passing;
}

// Counts why a request is given up, if that is its answer.
void Engine::give_up(RequestId request, RejectionReason why) {
  const auto it = asked_.find(request);
  if (it != asked_.end() && !it->second.answered) ++causes_.by_reason[static_cast<std::size_t>(why)];
}

// What other attempts of the request leave for this one. Those that wait count only where it does not wait
// itself: an attempt that is decided on may not lean on another's never being written.
AttemptVerdict Engine::may_repeat(const Asked& r, std::uint32_t attempt) const {
  if (!r.terms) return AttemptVerdict::kAllowed;
  const Try& own = r.tries[attempt];
  std::vector<Try> others;
  for (const auto& t : r.tries) {
    if (t.id != own.id && !(own.waits && t.waits)) others.push_back(t);
  }
  if (others.empty()) return AttemptVerdict::kAllowed;
  if (static_cast<double>(r.tries.size()) > settings_->max_attempts) return AttemptVerdict::kTooManyAttempts;
  if (!may_hedge(others, settings_->hedging_allowed)) return AttemptVerdict::kAttemptInFlight;
  const auto limits = retry_constraint(*r.terms, others, now_);
  if (limits.verdict != AttemptVerdict::kAllowed) return limits.verdict;
  return limits.allows(*r.terms, own.host, own.place) ? AttemptVerdict::kAllowed
                                                      : AttemptVerdict::kOutOfScope;
}

AttemptVerdict Engine::may_begin(const Asked& r, std::uint32_t attempt) const {
  const Try& own = r.tries[attempt];
  if (r.answered && !sends_after_answer()) return AttemptVerdict::kAnswered;
  if (client_left(r)) return AttemptVerdict::kClientDisconnected;
  if (now_ >= own.until) return AttemptVerdict::kDeadlineExceeded;
  const auto host = listed_.find(own.host);
  if (host == listed_.end() && !sends_to_drained()) return AttemptVerdict::kNotListed;
  if (host != listed_.end() && host->second.started_at != own.started_at)
    return AttemptVerdict::kHostRestarted;
  return may_repeat(r, attempt);
}

std::optional<Ms> Engine::may_write(Ms now, AttemptId attempt, bool begun) {
  now_ = now;
  const auto it = tries_.find(attempt);
  if (it == tries_.end()) return {};
  const auto [request, index] = it->second;
  Asked& r = asked_.at(request);
  Try& own = r.tries[index];
  // For drains a send counts from its first byte; for effects it counts when its last one has come.
  const AttemptVerdict verdict = begun ? may_repeat(r, index) : may_begin(r, index);
  if (verdict != AttemptVerdict::kAllowed) {
    ++rule_figures_.first_bytes[static_cast<std::size_t>(verdict)];
    trace(RequestEvent::kFirstByte, r, request, &own, verdict);
    return {};
  }
  own.waits = false;
  if (!begun) trace(RequestEvent::kFirstByte, r, request, &own);
  return own.until - now;
}

void Engine::reject(RequestId request, Ms retry_after, RejectionReason why) {
  if (passing(request)) return;
  const auto it = asked_.find(request);
  if (it != asked_.end() && it->second.terms && !it->second.answered &&
      !may_reject(*it->second.terms, it->second.tries)) {
    ++rule_figures_.rejections;
    note_("the rules stopped a refusal", "an attempt may have run");
    return fail(request, why);
  }
  give_up(request, why);
  giving_up_ = why;
  settle(request, &ClassMetrics::rejected, [&](DownstreamHandler& front, ResponseHandle ticket) {
    front.on_rejected(now_, ticket, retry_after);
  });
  giving_up_.reset();
}

void Engine::fail(RequestId request, RejectionReason why) {
  if (passing(request)) return;
  give_up(request, why);
  giving_up_ = why;
  settle(request, &ClassMetrics::failed, [&](DownstreamHandler& front, ResponseHandle ticket) {
    front.on_failed(now_, ticket, FailureReason::kPolicy);
  });
  giving_up_.reset();
}

void Engine::schedule_timer(Ms after, std::uint64_t token) {
  timers_.push({now_ + (std::isfinite(after) ? std::max(after, 0.0) : 0.0), Timer::kModule, token});
}

void Engine::log(std::string_view text) { note_("note", text); }

// ---- ends ----

void Engine::on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                            const LoadReport& load) {
  now_ = now;
  const auto it = tries_.find(attempt);
  if (it == tries_.end()) return;
  const auto [request, index] = it->second;
  // A value that comes after the final answer goes nowhere.
  if (passing(request)) {
    if (asked_.at(request).passing == index) end_value(request, outcome);
  } else if (outcome == Outcome::kOk) {
    settle(request, &ClassMetrics::served,
           [&](DownstreamHandler& front, ResponseHandle ticket) { front.on_served(now, ticket, value); });
  }
  end_try(request, index, outcome, load);
  after_module();
}

void Engine::on_value_started(Ms now, AttemptId attempt, std::size_t size) {
  now_ = now;
  const auto it = tries_.find(attempt);
  if (it == tries_.end()) return;
  const RequestId request = it->second.first;
  const std::uint32_t index = it->second.second;
  const auto asked = asked_.find(request);
  if (asked == asked_.end()) return;
  Asked& r = asked->second;
  if (r.answered || r.passing) return;  // its pieces go nowhere
  r.passing = index;
  r.front->on_value_started(now, r.ticket, size);
  consult(request, [&] { module_.on_stream_started(now, request, index, *this); });
  after_module();
}

bool Engine::on_value_chunk(Ms now, AttemptId attempt, std::string_view bytes) {
  now_ = now;
  const auto it = tries_.find(attempt);
  if (it == tries_.end()) return true;
  const auto asked = asked_.find(it->second.first);
  if (asked == asked_.end()) return true;
  Asked& r = asked->second;
  if (r.answered || r.passing != it->second.second) return true;
  return r.front->on_value_chunk(now, r.ticket, bytes);
}

void Engine::on_client_writable(Ms now, RequestId name) {
  now_ = now;
  const auto it = asked_.find(name);
  if (it != asked_.end() && it->second.passing) resume(it->second);
}

void Engine::resume(const Asked& r) {
  const Try& t = r.tries[*r.passing];
  if (t.out) r.hosts->resume(now_, t.id);
}

void Engine::end_value(RequestId request, Outcome outcome) {
  if (outcome == Outcome::kOk) {
    settle(request, &ClassMetrics::served,
           [&](DownstreamHandler& front, ResponseHandle ticket) { front.on_value_finished(now_, ticket); });
  } else {
    settle(request, &ClassMetrics::failed, [&](DownstreamHandler& front, ResponseHandle ticket) {
      front.on_failed(now_, ticket, FailureReason::kPolicy);
    });
  }
}

void Engine::on_final_attempt_end(Ms now, AttemptId attempt, Outcome outcome, const LoadReport& load) {
  now_ = now;
  const auto it = tries_.find(attempt);
  if (it == tries_.end()) return;
  const auto [request, index] = it->second;
  settle(request, outcome == Outcome::kOk ? &ClassMetrics::served : &ClassMetrics::failed,
         [](DownstreamHandler&, ResponseHandle) {});
  end_try(request, index, outcome, load);
  after_module();
}

ClassMetrics& Engine::figures_of(std::uint32_t class_index) {
  if (class_index >= figures_.size()) figures_.resize(class_index + 1);
  return figures_[class_index];
}

void Engine::on_written(AttemptId attempt) {
  const auto it = tries_.find(attempt);
  if (it == tries_.end()) return;
  const auto asked = asked_.find(it->second.first);
  if (asked == asked_.end()) return;
  ++figures_of(asked->second.class_index).attempts;
  trace(RequestEvent::kWritten, asked->second, it->second.first, &asked->second.tries[it->second.second]);
}

// The one place where an attempt ends. The module is told from the queue: most calls come from inside it.
void Engine::end_try(RequestId id, std::uint32_t attempt, Outcome outcome, const LoadReport& load) {
  const auto it = asked_.find(id);
  if (it == asked_.end() || !it->second.tries[attempt].out) return;
  Asked& r = it->second;
  Try& t = r.tries[attempt];
  t.out = false;
  t.may_have_run = may_have_executed(outcome);
  t.outcome = outcome;
  trace(RequestEvent::kEnded, r, id, &t);
  ++attempt_figures_.by_outcome[static_cast<std::size_t>(outcome)];
  --r.out;
  if (!mutant(Mutant::kServesLateAnswer)) tries_.erase(t.id);
  ++r.untold;
  ends_.push_back({id, attempt, outcome, load});
  if (mutant(Mutant::kReportsEndTwice)) {
    ++r.untold;
    ends_.push_back(ends_.back());
  }
}

template <class Answer>
void Engine::settle(RequestId id, Counter counter, Answer&& answer) {
  const auto it = asked_.find(id);
  if (it == asked_.end()) return;
  if (it->second.answered) {
    if (mutant(Mutant::kAnswersTwice)) answer(*it->second.front, it->second.ticket);
    return;
  }
  it->second.answered = true;
  if (!mutant(Mutant::kKeepsIdentity)) open_identities_.erase(it->second.identity);
  --owed_;
  settled_.push_back(id);
  if (counter) {
    ++(figures_of(it->second.class_index).*counter);
    trace(counter == &ClassMetrics::served     ? RequestEvent::kServed
          : counter == &ClassMetrics::rejected ? RequestEvent::kRejected
                                               : RequestEvent::kFailed,
          it->second, id);
  }
  answer(*it->second.front, it->second.ticket);
}

// What is left to do when the module has had its say: ends are told, what still waits for requests that are
// answered is withdrawn, and what the module dropped by throwing is answered. Each may bring more of it.
void Engine::after_module() {
  if (in_module_ || finishing_) return;
  finishing_ = true;
  for (;;) {
    tell_ends();
    if (!settled_.empty()) {
      const RequestId id = settled_.back();
      settled_.pop_back();
      withdraw_waiting(id);
      forget_if_done(id);
    } else if (!faulted_.empty()) {
      const RequestId id = faulted_.back();
      faulted_.pop_back();
      fail_if_stranded(id);
    } else if (ends_.empty()) {
      break;
    }
  }
  finishing_ = false;
}

void Engine::tell_ends() {
  while (!ends_.empty()) {
    const End end = ends_.front();
    ends_.pop_front();
    const auto it = asked_.find(end.request);
    if (it == asked_.end()) continue;
    Asked& r = it->second;
    --r.untold;
    const Try& t = r.tries[end.attempt];
    const AttemptResult told{end.request,   end.attempt, t.host, end.outcome,
                             now_ - t.sent, r.answered,  {},     end.load};
    consult(end.request, [&] { module_.on_attempt_end(now_, told, *this); });
    forget_if_done(end.request);
  }
}

// Danger: an attempt that still waits for its connection would be written after the final answer. It never
// ran, so taking it back is no cancel, and lawful where the settings allow none.
void Engine::withdraw_waiting(RequestId id) {
  const auto it = asked_.find(id);
  if (it == asked_.end() || mutant(Mutant::kSendsAfterAnswer)) return;
  for (std::uint32_t i = 0; i < it->second.tries.size(); ++i) {
    const Try& t = it->second.tries[i];
    if (t.out && it->second.hosts->withdraw(now_, t.id)) end_try(id, i, Outcome::kNotSent, {});
  }
}

// Danger: after a throw nothing may come any more that would make the module think of this request again. A
// client told at once can come back; one left to its deadline can't.
void Engine::fail_if_stranded(RequestId id) {
  const auto it = asked_.find(id);
  if (it == asked_.end() || it->second.answered || it->second.out > 0) return;
  if (mutant(Mutant::kLosesThrownRequest)) {
    it->second.answered = true;
    --owed_;
    return forget_if_done(id);
  }
  settle(id, &ClassMetrics::failed, [&](DownstreamHandler& front, ResponseHandle ticket) {
    front.on_failed(now_, ticket, FailureReason::kInternal);
  });
  consult(0, [&] { module_.on_client_disconnected(now_, id, *this); });
}

void Engine::forget_if_done(RequestId id) {
  const auto it = asked_.find(id);
  if (it == asked_.end() || !it->second.answered || it->second.out > 0 || it->second.untold > 0) return;
  if (mutant(Mutant::kServesLateAnswer)) return;  // what is out after all still needs the request
  held_bytes_ -= it->second.payload->bytes();
  asked_.erase(it);
}

// ---- time ----

// A request's time, or an attempt's, is up. The module settles each request before; this holds if it did not.
void Engine::expire(RequestId id) {
  const auto it = asked_.find(id);
  if (it == asked_.end()) return;
  for (std::uint32_t i = 0; i < it->second.tries.size(); ++i) {
    const Try t = it->second.tries[i];
    if (!t.out || now_ < t.until || it->second.passing == i) continue;
    const bool silent = it->second.hosts->abandon(now_, t.id);
    end_try(id, i, silent ? Outcome::kTimedOut : Outcome::kCancelled, {});
  }
  tell_ends();
  const auto left = asked_.find(id);
  if (left == asked_.end() || left->second.passing || now_ < left->second.expires_at) return;
  if (!left->second.answered) note_("settled at its deadline, not by the module", "");
  settle(id, &ClassMetrics::failed, [&](DownstreamHandler& front, ResponseHandle ticket) {
    front.on_failed(now_, ticket, FailureReason::kTimedOut);
  });
}

void Engine::run_timers(Ms now) {
  now_ = now;
  while (!timers_.empty() && timers_.top().at <= now) {
    const Timer t = timers_.top();
    timers_.pop();
    if (t.kind == Timer::kModule) {
      consult(asked_.contains(t.token) ? t.token : 0, [&] { module_.on_timer(now, t.token, *this); });
    } else {
      expire(t.token);
    }
    after_module();
  }
}

// Most requests are done long before their timers are due, and the module's can't be revoked. Such timers are
// dropped here instead of waking the program for nothing: that was two wake-ups and four system calls a
// request. A token up to the newest request's number is that request's.
void Engine::drop_dead_timers() {
  const auto dead = [&](const Timer& t) { return t.token <= last_request_ && !asked_.contains(t.token); };
  while (!timers_.empty() && dead(timers_.top())) timers_.pop();
  // Danger: those of requests with far deadlines that are done long before would pile up below the top.
  if (timers_.size() <= kManyTimers + kTimersEach * asked_.size()) return;
  std::vector<Timer> alive;
  for (; !timers_.empty(); timers_.pop()) {
    if (!dead(timers_.top())) alive.push_back(timers_.top());
  }
  timers_ = decltype(timers_)(std::greater<>(), std::move(alive));
}

std::optional<Ms> Engine::next_timer() {
  drop_dead_timers();
  if (timers_.empty()) return {};
  return timers_.top().at;
}

// ---- the stop ----

void Engine::begin_shutdown(Ms now) {
  if (!stop_at_) stop_at_ = now + limits_.shutdown_timeout_ms;
}

void Engine::fail_all(Ms now) {
  now_ = now;
  if (mutant(Mutant::kStopsWithoutSettling)) return;
  std::vector<RequestId> ids;
  for (const auto& [id, r] : asked_) {
    if (!r.answered) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const auto id : ids) {
    settle(id, &ClassMetrics::failed, [&](DownstreamHandler& front, ResponseHandle ticket) {
      front.on_failed(now, ticket, FailureReason::kShuttingDown);
    });
    consult(0, [&] { module_.on_client_disconnected(now, id, *this); });
  }
  after_module();
}

// ---- the fingerprint ----

void Engine::digest(Digest& into) const {
  std::vector<RequestId> ids;
  for (const auto& [id, r] : asked_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const auto id : ids) {
    const Asked& r = asked_.at(id);
    into.add(id);
    into.add(r.expires_at);
    into.add(std::uint64_t{r.answered} | r.untold << 1);
    for (const auto& t : r.tries) {
      into.add(t.out ? t.id : 0);
      into.add(std::uint64_t{t.host} << 1 | std::uint64_t{t.out});
      into.add(t.out ? t.until : 0);
    }
  }
  auto timers = timers_;
  for (; !timers.empty(); timers.pop()) {
    const auto& t = timers.top();
    if (t.token <= last_request_ && !asked_.contains(t.token)) continue;
    into.add(t.at);
    into.add(t.token * 2 + t.kind);
  }
  into.add(last_request_ << 32 | last_attempt_);
  into.add(stop_at_.value_or(0));
}

}  // namespace cometfold::engine
