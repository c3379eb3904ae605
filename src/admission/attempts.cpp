// The one choke point that every send passes, further attempts and final answers.
#include "admission/state.h"

namespace cometfold {

// What the request's time, its bounds, its earlier attempts and the site allow now.
RetryConstraint<Attempt> AdmissionController::State::permit(const Held& r) const {
  if (r.over || r.streaming) return {AttemptVerdict::kAnswered};
  if (now >= r.ask.expires_at) return {AttemptVerdict::kDeadlineExceeded};
  if (!more(r)) return {AttemptVerdict::kTooManyAttempts};
  if (!may_hedge(r.attempts, copies(r))) return {AttemptVerdict::kAttemptInFlight};
  return retry_constraint(cls(r), r.attempts, now);
}

bool AdmissionController::State::send(Held& r, ActionSink& out) {
  const auto limits = permit(r);
  if (limits.verdict != AttemptVerdict::kAllowed) return false;
  Host* best = nullptr;
  double best_cost = 0;
  const Host* turns = turn(fleet());
  for (const bool desperate : {false, true}) {
    for (auto& [id, h] : hosts) {
      if (!usable(h) || !limits.allows(cls(r), id, location_of(h.entry)) || awaited(h) >= limit(h)) continue;
      if (!desperate && (r.tried(id) || ejected(h))) continue;
      if (cold(h) && &h != turns) continue;
      const double c = &h == turns ? 0 : cost(h, r.ask) * (1 + 0.02 * draw());
      if (best && c >= best_cost) continue;
      best = &h, best_cost = c;
    }
    if (best) break;
  }
  if (!best) return false;
  Host& h = *best;
  if (awaited(h) <= 0) h.quiet_since = h.woken = now, h.done_since = 0;
  h.out += 1;
  sent_rate = sent_rate * faded(now - sent_at, kDoneMemoryMs) + 1000 / kDoneMemoryMs;
  sent_at = now;
  const auto c = customers.find(r.ask.customer);
  if (c != customers.end()) c->second.open += 1;
  r.attempts.push_back({.host = h.entry.id, .sent = now, .place = location_of(h.entry)});
  out.send(r.ask.id, h.entry.id, r.ask.bounds.attempt_timeout_ms);
  return true;
}

RejectionReason AdmissionController::State::no_room() const {
  const bool any = std::any_of(hosts.begin(), hosts.end(), [&](auto& h) { return usable(h.second); });
  return any ? RejectionReason::kHostsAtCapacity : RejectionReason::kNoHost;
}

void AdmissionController::State::finish(Held& r, Ms retry_after, RejectionReason why, ActionSink& out) {
  if (r.over) return;
  r.over = true;
  if (may_reject(cls(r), r.attempts)) {
    const double top = set.retry_after_allowed ? set.max_retry_after_ms : 0;
    out.reject(r.ask.id, std::clamp(finite(retry_after, top), 0.0, top), why);
  } else {
    out.fail(r.ask.id, why);
  }
  for (std::uint32_t i = 0; i < r.attempts.size(); ++i) call_off(r, i, out);
  forget_if_done(r.ask.id);
}

void AdmissionController::State::call_off(Held& r, std::uint32_t i, ActionSink& out) {
  auto& a = r.attempts[i];
  if (!set.cancellation_allowed || !a.out || a.cancelled) return;
  a.cancelled = true;
  out.cancel(r.ask.id, i);
}

void AdmissionController::State::forget_if_done(RequestId id) {
  const auto it = held.find(id);
  if (it == held.end() || !it->second.over || it->second.out() > 0) return;
  const auto& tries = it->second.attempts;
  if (it->second.drew && std::all_of(tries.begin(), tries.end(), [](auto& a) { return a.never_sent; })) {
    give_back(it->second);
  }
  held.erase(it);
}

bool AdmissionController::State::worth_trying(const Held& r) const {
  return !r.over && budget >= 1 && now < r.arrived + kHopelessShare * (aim_end(r) - r.arrived);
}

bool AdmissionController::State::send_again(Held& r, ActionSink& out) {
  if (!worth_trying(r) || !send(r, out)) return false;
  budget -= 1;
  return true;
}

// Whether one could go to a host that was not tried: else the only attempt would be called off for nothing.
bool AdmissionController::State::elsewhere(const Held& r) const {
  if (!more(r)) return false;
  return std::any_of(hosts.begin(), hosts.end(), [&](auto& entry) {
    return !r.tried(entry.first) && usable(entry.second) && !ejected(entry.second);
  });
}

Ms AdmissionController::State::patience(const Held& r) const {
  return std::max(kPatience * class_time(r.ask.class_index), kPatienceAim * aim_of(r));
}

void AdmissionController::State::arm(const Held& r, ActionSink& out) const {
  const Ms last = r.ask.expires_at - set.min_event_interval_ms;
  Ms next = last;
  if (!r.attempts.empty()) {
    const Ms again = r.attempts.back().sent + patience(r);
    if (again > now && again < aim_end(r)) next = std::min(next, again);
  }
  out.schedule_timer(std::max(next - now, 0.0), r.ask.id);
}

void AdmissionController::State::due(Held& r, ActionSink& out) {
  if (r.over || r.streaming) return;
  if (now >= r.ask.expires_at - set.min_event_interval_ms)
    return finish(r, 0, RejectionReason::kDeadlineExceeded, out);
  const bool late = now + kTokenDust >= r.attempts.back().sent + patience(r) && !pressed();
  if (r.out() == 1 && (late || (r.attempts.back().bad && !jammed())) && worth_trying(r)) {
    const auto last = static_cast<std::uint32_t>(r.attempts.size() - 1);
    if (copies(r)) {
      send_again(r, out);
    } else if (cls(r).idempotency != Idempotency::kNonIdempotent && elsewhere(r)) {
      call_off(r, last, out);  // its outcome brings the next attempt
    }
  }
  arm(r, out);
}

// Danger: attempts whose answer never comes fill the bounds until their deadline, and one would shut out its
// host, which looks silent. So one overtaken by much later sends to other hosts leaves the load, its host's
// bound and its silence; later still it is a failure there, which ejects a dead host, and the request goes
// elsewhere. It could hurt where single requests are far longer than their class's mean.
void AdmissionController::State::find_overdue(ActionSink& out) {
  for (auto& [id, r] : held) {
    const Ms expected = class_time(r.ask.class_index);
    for (std::uint32_t i = 0; i < r.attempts.size(); ++i) {
      Attempt& a = r.attempts[i];
      if (!a.out || r.streaming || now - a.sent < kOverdueAfter * expected) continue;
      Host& h = hosts[a.host];
      if (!a.overdue && newest_answered >= a.sent + kOverdueAfter * expected / 2) {
        a.overdue = true;
        h.overdue += 1;
        h.quiet_since = now;
      }
      const Ms bad = kBadAfter * expected * std::max(1.0, h.slow) / ability(h);
      if (!a.bad && now - a.sent >= bad && newest_answered >= a.sent + bad / 2) {
        a.bad = true;
        judge(h, true, out);
        out.schedule_timer(0, id);
      }
    }
  }
}

}  // namespace cometfold
