// Events in: requests, ends, lists and ticks.
#include "admission/state.h"

namespace cometfold {

void AdmissionController::State::admit(Held& r, ActionSink& out) {
  const Request& q = r.ask;
  Customer& c = customer_of(q);
  c.children[q.class_index].asked += q.units;
  class_units[q.class_index] += kOutcomeGain * (q.units - class_units[q.class_index]);
  mean_units += kOutcomeGain / 4 * (q.units - mean_units);
  const PlanSettings& p = plan(r);
  measure_load();
  c.ceiling.refill(now);
  if (p.ceiling_rate > 0 && c.ceiling.level + kTokenDust < q.units) {  // never in debt
    note(out, "ceiling reached");
    return finish(r, c.ceiling.wait_for(q.units), RejectionReason::kCeiling, out);
  }
  c.parent.refill(now);
  meet(c, q);
  c.demand += q.units;
  const auto lacks = quota_lacks(c, q);
  r.inside = !lacks;
  const double worth = r.inside ? 1 : beyond_worth(c, q);
  if (!r.inside && ((thin(c, q) ? jammed() : pressed()) || worth < 0)) {
    const RejectionReason why =
        worth < 0 && *lacks != RejectionReason::kConcurrencyLimit ? RejectionReason::kOverQuota : *lacks;
    return finish(r, c.parent.wait_for(q.units), why, out);
  }
  if (r.inside && !let_on(c)) return finish(r, c.parent.wait_for(q.units), RejectionReason::kOverQuota, out);
  const double work = class_time(q.class_index) / std::max(class_units[q.class_index], kTokenDust);
  if (shed(p.plan_weight * cls(r).priority_weight * worth / work, work * q.units)) {
    note(out, "back end pressed: shedding by worth");
    return finish(r, set.max_retry_after_ms * (0.5 + draw() / 2), RejectionReason::kLoadShed, out);
  }
  if (!send(r, out)) {
    note(out, "no host has room");
    return finish(r, set.max_retry_after_ms * (0.5 + draw() / 2), no_room(), out);
  }
  look_around(out);
  r.drew = true;
  if (c.met_at == now && !std::exchange(c.met_sent, true)) firsts[0].asked -= 1, firsts[1].asked += 1;
  budget = std::min(budget + kBudgetEarned, kBudgetMost);
  if (p.ceiling_rate > 0) c.ceiling.give(q.units);
  c.whole.refill(now);
  c.whole.give(q.units);
  if (r.inside && p.quota_rate > 0) {
    c.parent.give(q.units);
    c.children[q.class_index].bucket.give(q.units);
    c.given += q.units;
  }
  arm(r, out);
}

void AdmissionController::State::true_up(const Held& r, double units) {
  const auto it = customers.find(r.ask.customer);
  if (it == customers.end() || !r.inside || plan(r).quota_rate <= 0) return;
  const double more = units - r.ask.units;
  for (TokenBucket* b : {&it->second.parent, &it->second.children[r.ask.class_index].bucket}) {
    b->level = std::min(b->volume, b->level - more);
  }
}

// A request that never went out costs its customer nothing.
void AdmissionController::State::give_back(const Held& r) {
  const auto it = customers.find(r.ask.customer);
  if (it == customers.end()) return;
  Customer& c = it->second;
  const auto back = [&](TokenBucket& b) { b.level = std::min(b.volume, b.level + r.ask.units); };
  if (plan(r).ceiling_rate > 0) back(c.ceiling);
  back(c.whole);
  if (!r.inside || plan(r).quota_rate <= 0) return;
  back(c.parent);
  back(c.children[r.ask.class_index].bucket);
  c.given = std::max(c.given - r.ask.units, 0.0);
}

void AdmissionController::State::learn(Host& h, const Held& r, const AttemptResult& e) {
  const Ms took = finite(e.duration_ms, 0);
  const std::uint32_t c = r.ask.class_index;
  if (e.outcome != Outcome::kOk) return;
  strain += kOutcomeGain / 2 * (took / std::max(aim_of(r), 1.0) - strain);
  class_ms[c] += std::max(kOutcomeGain / 4, 1 / (class_seen[c] += 1)) * (took - class_ms[c]);
  h.slow += kOutcomeGain * 2 * (took / class_time(c) - h.slow);
  double& like = kind_slow.try_emplace(h.entry.kind, 1.0).first->second;
  like += kOutcomeGain / 2 * (took / class_time(c) - like);
  h.done_rate += 1000 / kDoneMemoryMs;
  h.done_since += 1;
  if (h.done_since >= kProvenBy) {
    h.proven = std::max(proven(h), h.done_since * 1000 / std::max(now - h.woken, kTickMs));
    h.proven_at = now;
  }
  completions = std::min(completions + 1, kCalmSamples);
  recent_ms += (took - recent_ms) / completions;
  const double keep =
      completions < kCalmSamples || recent_ms < calm_ms ? 0 : faded(now - calm_at, kCalmMemoryMs);
  calm_ms = recent_ms + (calm_ms - recent_ms) * keep;
  calm_at = now;
}

// A host's own word on its load. Danger: old, or missing while the host is busy, it makes a crowded host look
// idle. So it fades towards the fleet's mean, and an answer without it, or a failed probe, is of a full host.
void AdmissionController::State::report(Host& h, const LoadReport& told, bool expected) {
  if (!told.queue_length && !told.in_flight && !told.utilization) {
    if (!expected) return;
    h.crowd = std::max(h.crowd, crowd) + 1;
  } else {
    h.crowd = finite(told.queue_length.value_or(told.in_flight.value_or(0)), 0) +
              finite(told.utilization.value_or(0), 0);
    crowd += kOutcomeGain * (h.crowd - crowd);
  }
  h.reported_at = now;
}

// Where load is told only to who asks: a priced probe for every second send, of the one of two random hosts
// that was heard of longest ago, and only if its answers, too, are old.
void AdmissionController::State::look_around(ActionSink& out) {
  if (!set.health_checks_allowed || hosts.empty() || draw() > kProbesPerSend) return;
  Host* oldest = nullptr;
  for (int i = 0; i < 2; ++i) {
    auto it =
        std::next(hosts.begin(), static_cast<std::ptrdiff_t>(draw() * static_cast<double>(hosts.size())));
    if (usable(it->second) && (!oldest || it->second.reported_at < oldest->reported_at)) oldest = &it->second;
  }
  if (oldest && now - oldest->quiet_since > kDoneMemoryMs) out.send_health_check(oldest->entry.id);
}

// A long value begins to come: the host's work is done. Counted on, slow readers would look like a jam.
void AdmissionController::State::stream_begun(Held& r, std::uint32_t attempt, ActionSink& out) {
  Attempt& a = r.attempts[attempt];
  if (r.streaming || !a.out) return;
  Host& h = hosts[a.host];
  settle(h);
  if (a.overdue) h.overdue = std::max(h.overdue - 1, 0.0);
  h.out = std::max(h.out - 1, 0.0);
  r.streaming = a.streams = true;
  h.quiet_since = now;
  h.newest_answered = std::max(h.newest_answered, a.sent);
  newest_answered = std::max(newest_answered, a.sent);
  AttemptResult begun;
  begun.outcome = Outcome::kOk;
  begun.duration_ms = now - a.sent;
  learn(h, r, begun);
  judge(h, false, out);
  for (std::uint32_t i = 0; i < r.attempts.size(); ++i) {
    if (i != attempt) call_off(r, i, out);
  }
}

void AdmissionController::State::ended(const AttemptResult& e, ActionSink& out) {
  const auto it = held.find(e.request);
  if (it == held.end() || e.attempt >= it->second.attempts.size()) return;
  Held& r = it->second;
  Attempt& a = r.attempts[e.attempt];
  if (!a.out || a.host != e.host) return;
  a.out = false;
  a.may_have_run = may_have_executed(e.outcome);
  a.never_sent = e.outcome == Outcome::kNotSent;
  Host& h = hosts[a.host];
  if (a.overdue && !a.streams) h.overdue = std::max(h.overdue - 1, 0.0);
  if (!a.streams) h.out = std::max(h.out - 1, 0.0);
  const auto c = customers.find(r.ask.customer);
  if (c != customers.end()) c->second.open = std::max(c->second.open - 1, 0.0);
  settle(h);
  report(h, e.load_report, false);
  const bool answered =
      e.outcome == Outcome::kOk || e.outcome == Outcome::kError || e.outcome == Outcome::kOverloaded;
  if (answered) {
    h.quiet_since = now;
    h.newest_answered = std::max(h.newest_answered, a.sent);
    newest_answered = std::max(newest_answered, a.sent);
  }
  h.fulls.resize(refusals.size());
  // Danger: a host that drains unknown to this gateway looks full, and the fleet jammed. One that has turned
  // away what it got tells nothing new; and where hosts tell queues, nothing is full while nobody waits.
  const double news =
      kOutcomeGain / 2 * (1 - full_for(h, r.ask)) * (tells_queue() ? std::min(1.0, ahead(h)) : 1);
  for (auto& f : refusals) f.full *= 1 - news, f.all *= 1 - news;
  for (const std::size_t i : {std::size_t{r.ask.plan_index}, class_slot(r.ask.class_index)}) {
    const double full = e.outcome == Outcome::kOverloaded ? 1 : 0;
    refusals[i].all += news;
    refusals[i].full += full * news;
    h.fulls[i] += kFullGain * (full - h.fulls[i]);
  }
  // What never ran added no work: another host is asked outside the budget, unless all are full.
  if (!a.may_have_run && e.outcome != Outcome::kNotSent && fulls() < kOutcomeGain) budget += 1;
  switch (e.outcome) {
    case Outcome::kOk:
      if (a.streams) break;
      learn(h, r, e);
      judge(h, false, out);
      break;
    case Outcome::kTimedOut:
    case Outcome::kCancelled:
      if (!r.over) learn(h, r, e);
      break;
    case Outcome::kNotSent:
    case Outcome::kOverloaded:
      break;
    default:
      judge(h, true, out);
  }
  if (e.outcome == Outcome::kTimedOut) judge(h, true, out);
  if (e.actual_units && set.actual_units_reported) true_up(r, finite(*e.actual_units, r.ask.units));
  if (e.request_finished || e.outcome == Outcome::kOk) {
    r.over = true;
    for (std::uint32_t i = 0; i < r.attempts.size(); ++i) call_off(r, i, out);
  }
  if (!r.over && r.out() <= 0) {
    if (send_again(r, out)) {
      arm(r, out);
    } else {
      finish(r, set.max_retry_after_ms * (0.5 + draw() / 2), RejectionReason::kAttemptsExhausted, out);
      return;
    }
  }
  forget_if_done(e.request);
}

void AdmissionController::State::list(HostListUpdate kind, std::span<const HostEntry> entries,
                                      ActionSink& out) {
  if (kind == HostListUpdate::kFailed) {
    out.schedule_timer(kAskAgainMs, kListToken);
    return;
  }
  if (kind != HostListUpdate::kDelta) {
    for (auto& [id, h] : hosts) h.listed = false;
  }
  for (const auto& e : entries) {
    if (e.state == HostState::kRemoved) {
      leave(e.id);
      continue;
    }
    Host& h = hosts[e.id];
    const bool anew = h.entry.started_at != e.started_at;
    if (anew) {  // a new process: nothing known of the old one holds
      const double still_out = h.out, overdue = h.overdue;
      h = Host{};
      h.out = still_out, h.overdue = overdue;
      h.quiet_since = now;
    }
    h.entry = e;
    h.listed = true;
    h.told_leaving = e.state == HostState::kReady ? kNoTime : now;
  }
}

// It is listed no more. What was known of it stays, for attempts that are out there.
void AdmissionController::State::leave(HostId id) {
  const auto it = hosts.find(id);
  if (it == hosts.end()) return;
  it->second.listed = false;
  it->second.told_leaving = now;
}

void AdmissionController::State::tick(ActionSink& out) {
  lend();
  for (auto& f : firsts) f.asked *= faded(kTickMs, kIdleMs), f.came *= faded(kTickMs, kIdleMs);
  find_overdue(out);
  std::erase_if(hosts, [&](auto& entry) {
    const Host& h = entry.second;
    return !h.listed && h.out <= 0 && now - h.touched > kGoneMemoryMs;
  });
  out.schedule_timer(kTickMs, kTickToken);
}

// What is kept for each class and plan, to the settings' sizes. Refusals would stand for others: learnt anew.
void AdmissionController::State::size_books() {
  class_ms.resize(set.classes.size(), 0);
  class_seen.resize(set.classes.size(), 0);
  class_units.resize(set.classes.size(), 1);
  least_aim = kNoTime;
  for (auto& c : set.classes)
    least_aim = std::min(least_aim, c.latency_objective_ms > 0 ? c.latency_objective_ms : c.deadline_ms);
  if (refusals.size() == set.plans.size() + set.classes.size()) return;
  refusals.assign(set.plans.size() + set.classes.size(), {});
  for (auto& [id, h] : hosts) h.fulls.clear();
}

AdmissionController::AdmissionController(const AdmissionSettings& settings, std::uint64_t seed)
    : state_(std::make_unique<State>(settings, seed)) {
  state_->size_books();
}
AdmissionController::~AdmissionController() = default;
AdmissionController::AdmissionController(AdmissionController&&) noexcept = default;
AdmissionController& AdmissionController::operator=(AdmissionController&&) noexcept = default;

void AdmissionController::start(Ms now, ActionSink& out) {
  state_->now = state_->born = state_->load_at = now;
  if (state_->set.host_watch_required) out.watch_hosts();
  out.poll_hosts();  // a restart leaves only an old list
  out.schedule_timer(kTickMs, kTickToken);
}

void AdmissionController::on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                                       ActionSink& out) {
  state_->now = now;
  state_->list(kind, entries, out);
}

void AdmissionController::on_request(Ms now, const Request& request, ActionSink& out) {
  auto& s = *state_;
  s.now = now;
  if (s.held.contains(request.id)) return;
  Request q = request;
  q.units = finite(q.units, s.set.max_request_units, kTokenDust);
  q.gateway_count = finite(q.gateway_count, 1, 1);
  q.expires_at = finite(q.expires_at, now, -kNoTime);
  if (q.class_index >= s.set.classes.size() || q.plan_index >= s.set.plans.size()) {
    out.reject(q.id, 0, RejectionReason::kMalformed);  // nothing was sent, so a refusal is safe
    return;
  }
  Held& r = s.held[q.id];
  r.ask = q;
  r.terms = s.set.classes[q.class_index];
  r.arrived = now;
  s.admit(r, out);
}

void AdmissionController::on_stream_started(Ms now, RequestId request, std::uint32_t attempt,
                                            ActionSink& out) {
  auto& s = *state_;
  s.now = now;
  const auto it = s.held.find(request);
  if (it != s.held.end() && attempt < it->second.attempts.size()) s.stream_begun(it->second, attempt, out);
}

void AdmissionController::on_attempt_end(Ms now, const AttemptResult& end, ActionSink& out) {
  state_->now = now;
  state_->ended(end, out);
}

void AdmissionController::on_client_disconnected(Ms now, RequestId request, ActionSink& out) {
  auto& s = *state_;
  s.now = now;
  const auto it = s.held.find(request);
  if (it == s.held.end()) return;
  it->second.over = true;
  for (std::uint32_t i = 0; i < it->second.attempts.size(); ++i) s.call_off(it->second, i, out);
  s.forget_if_done(request);
}

void AdmissionController::on_timer(Ms now, std::uint64_t token, ActionSink& out) {
  auto& s = *state_;
  s.now = now;
  if (token == kTickToken) return s.tick(out);
  if (token == kListToken) return s.set.host_watch_required ? out.watch_hosts() : out.poll_hosts();
  const auto it = s.held.find(token);
  if (it != s.held.end()) s.due(it->second, out);
}

void AdmissionController::update_settings(Ms now, const AdmissionSettings& settings) {
  auto& s = *state_;
  s.now = now;
  s.set = settings;
  s.size_books();
  for (auto& [id, c] : s.customers) s.shape(c);
}

HandoverSnapshot AdmissionController::export_handover(Ms now) {
  state_->now = now;
  return state_->hand_over();
}

void AdmissionController::import_handover(Ms now, const HandoverSnapshot& state) {
  state_->now = now;
  state_->take_over(state);
}

void AdmissionController::assume_unknown_predecessor(Ms now) {
  state_->now = now;
  state_->take_over({});
}

void AdmissionController::on_predecessor_exited(Ms now) {
  state_->now = now;
  for (auto& [id, c] : state_->customers) c.elsewhere = 0;
}

std::size_t AdmissionController::excluded_host_count(Ms now) const {
  state_->now = now;
  return static_cast<std::size_t>(
      std::count_if(state_->hosts.begin(), state_->hosts.end(), [&](const auto& h) {
        return h.second.listed && (!state_->usable(h.second) || state_->ejected(h.second));
      }));
}

void AdmissionController::on_health_check_end(Ms now, HostId host, Ms, bool ok, const LoadReport& load,
                                              ActionSink&) {
  auto& s = *state_;
  s.now = now;
  const auto it = s.hosts.find(host);
  if (it != s.hosts.end()) s.report(it->second, ok ? load : LoadReport{}, true);
}

}  // namespace cometfold
