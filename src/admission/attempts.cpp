// The one choke point that every send passes, further attempts and final answers.
#include "admission/state.h"

namespace cometfold {

// What the request's time, its bounds, its earlier attempts and the site allow now.
RepeatLimits<Attempt> Control::State::permit(const Held& r) const {
  if (r.over || r.streaming) return {SendVerdict::kAnswered};
  if (now >= r.ask.expires_at) return {SendVerdict::kTimeUp};
  if (!more(r)) return {SendVerdict::kTooMany};
  if (!may_have_copy(r.attempts, copies(r))) return {SendVerdict::kStillOut};
  return repeat_limits(cls(r), r.attempts, now);
}

bool Control::State::send(Held& r, Actions& out) {
  const auto limits = permit(r);
  if (limits.verdict != SendVerdict::kAllowed) return false;
  Host* best = nullptr;
  double best_cost = 0;
  const Host* turns = turn(fleet());
  for (const bool desperate : {false, true}) {
    for (auto& [id, h] : hosts) {
      if (!usable(h) || !limits.allows(cls(r), id, place_of(h.entry)) || awaited(h) >= limit(h)) continue;
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
  r.attempts.push_back({.host = h.entry.id, .sent = now, .place = place_of(h.entry)});
  out.send(r.ask.id, h.entry.id, r.ask.bounds.attempt_ms);
  return true;
}

Cause Control::State::no_room() const {
  const bool any = std::any_of(hosts.begin(), hosts.end(), [&](auto& h) { return usable(h.second); });
  return any ? Cause::kHostsFull : Cause::kNoHost;
}

void Control::State::finish(Held& r, Ms retry_after, Cause why, Actions& out) {
  if (r.over) return;
  r.over = true;
  if (may_refuse(cls(r), r.attempts)) {
    const double top = set.retry_after ? set.max_retry_after_ms : 0;
    out.refuse(r.ask.id, std::clamp(finite(retry_after, top), 0.0, top), why);
  } else {
    out.fail(r.ask.id, why);
  }
  for (std::uint32_t i = 0; i < r.attempts.size(); ++i) call_off(r, i, out);
  forget_if_done(r.ask.id);
}

void Control::State::call_off(Held& r, std::uint32_t i, Actions& out) {
  auto& a = r.attempts[i];
  if (!set.may_cancel || !a.out || a.cancelled) return;
  a.cancelled = true;
  out.cancel(r.ask.id, i);
}

void Control::State::forget_if_done(RequestId id) {
  const auto it = held.find(id);
  if (it == held.end() || !it->second.over || it->second.out() > 0) return;
  const auto& tries = it->second.attempts;
  if (it->second.drew && std::all_of(tries.begin(), tries.end(), [](auto& a) { return a.never_sent; })) {
    give_back(it->second);
  }
  held.erase(it);
}

bool Control::State::worth_trying(const Held& r) const {
  return !r.over && budget >= 1 && now < r.arrived + kHopelessShare * (aim_end(r) - r.arrived);
}

bool Control::State::send_again(Held& r, Actions& out) {
  if (!worth_trying(r) || !send(r, out)) return false;
  budget -= 1;
  return true;
}

// Whether one could go to a host that was not tried: else the only attempt would be called off for nothing.
bool Control::State::elsewhere(const Held& r) const {
  if (!more(r)) return false;
  return std::any_of(hosts.begin(), hosts.end(), [&](auto& entry) {
    return !r.tried(entry.first) && usable(entry.second) && !ejected(entry.second);
  });
}

Ms Control::State::patience(const Held& r) const {
  return std::max(kPatience * class_time(r.ask.class_index), kPatienceAim * aim_of(r));
}

void Control::State::arm(const Held& r, Actions& out) const {
  const Ms last = r.ask.expires_at - set.tick_ms;
  Ms next = last;
  if (!r.attempts.empty()) {
    const Ms again = r.attempts.back().sent + patience(r);
    if (again > now && again < aim_end(r)) next = std::min(next, again);
  }
  out.wake(std::max(next - now, 0.0), r.ask.id);
}

void Control::State::due(Held& r, Actions& out) {
  if (r.over || r.streaming) return;
  if (now >= r.ask.expires_at - set.tick_ms) return finish(r, 0, Cause::kLate, out);
  const bool late = now + kTokenDust >= r.attempts.back().sent + patience(r) && !pressed();
  if (r.out() == 1 && (late || (r.attempts.back().bad && !jammed())) && worth_trying(r)) {
    const auto last = static_cast<std::uint32_t>(r.attempts.size() - 1);
    if (copies(r)) {
      send_again(r, out);
    } else if (cls(r).repeat != Repeat::kUnsafe && elsewhere(r)) {
      call_off(r, last, out);  // its outcome brings the next attempt
    }
  }
  arm(r, out);
}

// Danger: attempts whose answer never comes fill the bounds until their deadline, and one would shut out its
// host, which looks silent. So one overtaken by much later sends to other hosts leaves the load, its host's
// bound and its silence; later still it is a failure there, which ejects a dead host, and the request goes
// elsewhere. It could hurt where single requests are far longer than their class's mean.
void Control::State::find_overdue(Actions& out) {
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
        out.wake(0, id);
      }
    }
  }
}

}  // namespace cometfold
