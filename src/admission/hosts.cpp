// Hosts: their records, what they bear, and what an attempt there would cost.
#include "admission/state.h"

namespace cometfold {

void AdmissionController::State::settle(Host& h) {  // lets a host's record fade
  const Ms dt = now - h.touched;
  if (dt <= 0) return;
  const double like = kind_slow.try_emplace(h.entry.kind, 1.0).first->second;
  const double keep = std::exp2(-dt / kFailMemoryMs), keep_fulls = std::exp2(-dt / kFullMemoryMs);
  h.fails *= keep;
  for (auto& f : h.fulls) f *= keep_fulls;
  h.slow = like + (h.slow - like) * keep;
  h.done_rate *= faded(dt, kDoneMemoryMs);
  h.touched = now;
}

bool AdmissionController::State::cold(const Host& h) const {
  return h.entry.started_at > 0 && now - h.entry.started_at < set.slow_start_duration_ms;
}

double AdmissionController::State::ability(const Host& h) const {
  if (!cold(h)) return 1;
  const double age = std::clamp((now - h.entry.started_at) / set.slow_start_duration_ms, 0.0, 1.0);
  return set.slow_start_initial_weight + (1 - set.slow_start_initial_weight) * age;
}

// Danger: a just started host is pushed over by the sum of all gateways, where any whole number for each is
// hundreds. So each send draws anew whose turn it is: the sum is each cold host's part of what all can do
// now. One draw is for all of them, as turns that fall together would be lost, and whose turn it is goes
// first, as cold hosts would yield to warm ones by cost. Danger: where many are cold, what they don't get
// crowds the warm, and an even share of the less that is sent shrinks with it; what a warm one completes is
// safe to go by.
AdmissionController::State::Fleet AdmissionController::State::fleet() {
  Fleet f;
  for (auto& [id, h] : hosts) {
    if (!usable(h)) continue;
    settle(h);
    f.usable += 1, f.abilities += ability(h);
    if (!cold(h)) f.warm += 1, f.warm_done += h.done_rate;
  }
  return f;
}

// The cold host whose turn it is, if it is one's.
const Host* AdmissionController::State::turn(const Fleet& all) {
  if (all.warm >= all.usable) return nullptr;
  double even = 1 / all.usable;
  if (all.warm > 0 && sent_rate > 0)
    even = std::max(even, std::min(1.0, all.warm_done / sent_rate) / all.warm);
  double left = draw();
  for (auto& [id, h] : hosts) {
    if (!usable(h) || !cold(h)) continue;
    left -= ability(h) * std::min(1 / all.abilities, kColdShare * set.overload_factor * even);
    if (left < 0) return &h;
  }
  return nullptr;
}

// Little's law as a bound: what is out at a host may not pass what it completes within the wait aimed for.
// Danger: a queue that outgrows the aim, so that all is served late. After a lull the least that keeps cores
// busy is allowed. The bound on one host is a little loose; the one on the fleet, which decides shedding, is
// not. Danger: where requests take a good part of their aim on idle hosts, what is out
// looks like a queue. So the wait aimed for is told by what requests take here while nothing queues, within
// bounds by the aim, which holds where all a gateway has ever seen is a jam.
Ms AdmissionController::State::allowed_wait() const {
  return std::clamp(kCalmTimes * calm_ms, kWaitShare * least_aim, kMostWaitShare * least_aim);
}

// Danger: after a lull, or at its start, a gateway knows of no completions. So a warm host that has never
// answered may get more, and one that was idle just now what it has proven, for the wait aimed for.
double AdmissionController::State::fair_out(Host& h) {
  settle(h);
  const bool first = h.newest_answered <= 0 && !cold(h);
  const double least = (first ? kFirstAtHost : kLeastAtHost) / std::max(set.gateway_count, 1.0);
  const bool woken = now - h.woken < allowed_wait() && !cold(h);
  return std::max(least, std::max(h.done_rate, woken ? proven(h) : 0.0) * allowed_wait() / 1000);
}

// Danger: a host with room turns away one plan or one class: what both of the request's met there counts.
double AdmissionController::State::full_for(const Host& h, const Request& q) const {
  return h.fulls.empty() ? 0 : std::min(h.fulls[q.plan_index], h.fulls[class_slot(q.class_index)]);
}

// What waits at a host before a new attempt, by its last report, and by the fleet's the older that is.
double AdmissionController::State::ahead(const Host& h) const {
  const double fresh = faded(now - h.reported_at, kReportMemoryMs);
  return fresh * h.crowd + (1 - fresh) * crowd;
}

bool AdmissionController::State::tells_queue() const {
  return std::count(set.load_report_fields.begin(), set.load_report_fields.end(), LoadField::kQueueLength) >
         0;
}

// Expected time to an answer, for comparison. A host that owes answers and gives none looks as slow as its
// silence is long: that finds dead, cut off and stuck ones before any time-out. In a large fleet a host not
// met of late costs a handshake and is known by nothing: those met go first where costs are near.
double AdmissionController::State::cost(Host& h, const Request& q) {
  settle(h);
  Ms expected = class_time(q.class_index) * h.slow;
  if (awaited(h) > 0) expected = std::max(expected, now - h.quiet_since);
  double c = expected * (h.out + 1 + ahead(h)) * (1 + kFailCost * (h.fails + full_for(h, q)));
  const bool met = h.newest_answered > 0 && now - h.quiet_since <= kMetShare * set.connection_idle_timeout_ms;
  if (set.gateway_count > kThinSet && !met) c *= kStranger;
  return h.entry.zone == set.local_zone ? c : c * kOtherZone;
}

bool AdmissionController::State::ejected(const Host& h) const {
  return now < h.ejected_until || (h.ejected_until > 0 && h.fails > kEjectAt / 2 && awaited(h) >= 1);
}

void AdmissionController::State::judge(Host& h, bool bad, ActionSink& out) {
  settle(h);
  h.fails += kOutcomeGain * 2 * ((bad ? 1 : 0) - h.fails);
  if (!bad && h.fails < kEjectAt / 2) h.ejected_until = 0, h.eject_span = kFirstEjectMs;
  if (!bad || h.fails < kEjectAt || now < h.ejected_until) return;
  double listed = 1, gone = 1;
  for (auto& [id, o] : hosts) {
    if (!usable(o)) continue;
    listed += 1;
    if (&o != &h && now < o.ejected_until) gone += 1;
  }
  if (gone > kMostEjected * listed) return;  // if most look bad, the cause is not the hosts
  h.ejected_until = now + h.eject_span;
  h.eject_span = std::min(h.eject_span * 2, kLongestEjectMs);
  note(out, "outlier ejection: a host fails most of its attempts");
}

}  // namespace cometfold
