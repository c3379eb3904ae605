#include "rules/rules.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cometfold/attempt_rules.h"

namespace cometfold::rules {

namespace {

constexpr std::size_t kMostBreaches = 100;
constexpr double kDust = 1e-6;  // of units and milliseconds: rounding is no breach

std::string number(double v) {
  auto text = std::to_string(v);
  while (text.size() > 1 && (text.back() == '0' || text.back() == '.')) {
    const bool point = text.back() == '.';
    text.pop_back();
    if (point) break;
  }
  return text;
}
std::string request_named(std::uint64_t id) { return "request " + std::to_string(id); }

Violation lost(const std::string& why) { return {"no request lost", why}; }
Violation repeated(const std::string& why) { return {"no effect twice", why}; }

}  // namespace

// ---- no request lost ----

std::optional<Violation> SingleReplyMonitor::observe(const Event& e) {
  if (e.kind == Event::kRequestReceived) {
    requests_[e.request] = {e.gateway, e.expires_at, false, false, {}};
    return {};
  }
  if (e.kind == Event::kGatewayCrashed) {
    std::erase_if(requests_, [&](auto& entry) { return entry.second.gateway == e.gateway; });
    return {};
  }
  const auto it = requests_.find(e.request);
  const bool answer = e.kind == Event::kServed || e.kind == Event::kRejected || e.kind == Event::kFailed;
  if (it == requests_.end()) {
    if (answer) return lost("an answer for " + request_named(e.request) + ", which nobody asked");
    return {};
  }
  Request& r = it->second;
  if (e.kind == Event::kExecuted) r.made.emplace_back(e.value);
  if (e.kind == Event::kClientDisconnected) r.gone = true;
  if (e.kind == Event::kAttemptFirstByte || e.kind == Event::kAttemptWritten) {
    if (r.answered) return lost("something was sent for " + request_named(e.request) + " after its answer");
    if (r.gone) return lost("something was sent for " + request_named(e.request) + " after its client went");
  }
  if (!answer) return {};
  if (r.answered) return lost("a second answer for " + request_named(e.request));
  r.answered = true;
  if (e.kind == Event::kServed && std::find(r.made.begin(), r.made.end(), e.value) == r.made.end()) {
    return lost(request_named(e.request) + " was served with '" + std::string(e.value) +
                "', which no host made for it");
  }
  if (e.at > r.expires_at + slack_) return lost("the answer for " + request_named(e.request) + " came late");
  return {};
}

std::optional<Violation> SingleReplyMonitor::check_deadlines(Ms now) {
  for (const auto& [id, r] : requests_) {
    if (!r.answered && !r.gone && now > r.expires_at + slack_) {
      return lost(request_named(id) + " has no answer, and its time is up");
    }
  }
  return {};
}

void SingleReplyMonitor::digest(engine::Digest& into) const {
  for (const auto& [id, r] : requests_) {
    into.add(id << 2 | std::uint64_t{r.answered} << 1 | std::uint64_t{r.gone});
    into.add(r.expires_at);
    for (const auto& value : r.made) into.add(value);
  }
}

// ---- no effect twice ----

bool AtMostOnceMonitor::same_group(IdempotencyScope group, HostId a, HostId b) const {
  if (a == b || group == IdempotencyScope::kAll) return true;
  const auto x = hosts_.find(a), y = hosts_.find(b);
  if (x == hosts_.end() || y == hosts_.end() || group == IdempotencyScope::kNone) return false;
  return cometfold::in_same_scope(group, location_of(x->second), location_of(y->second));
}

std::optional<Violation> AtMostOnceMonitor::observe(const Event& e) {
  if (e.kind == Event::kHostUpdate) hosts_[e.entry.id] = e.entry;
  if (e.kind == Event::kRequestReceived) requests_[e.request] = {e.class_index, {}};
  const auto it = requests_.find(e.request);
  if (it == requests_.end()) return {};
  Request& r = it->second;
  const auto attempt = std::find_if(r.attempts.rbegin(), r.attempts.rend(),
                                    [&](auto& a) { return a.connection == e.connection && a.out; });
  if (e.kind == Event::kAttemptEnded && attempt != r.attempts.rend()) attempt->out = false;
  if (e.kind == Event::kNotExecuted && attempt != r.attempts.rend()) attempt->out = attempt->ran = false;
  if (e.kind == Event::kAttemptWritten) return sent(e, r);
  if (e.kind != Event::kRejected) return {};
  // A refusal tells the client that a repeat is harmless.
  const auto& c = settings_.classes[r.class_index];
  const bool harmless =
      c.idempotency == Idempotency::kIdempotent ||
      (c.idempotency == Idempotency::kIdempotencyKey && c.idempotency_scope == IdempotencyScope::kAll);
  if (!harmless && std::any_of(r.attempts.begin(), r.attempts.end(), [](auto& a) { return a.ran; })) {
    return repeated(request_named(e.request) + " was refused though an attempt may have run");
  }
  return {};
}

std::optional<Violation> AtMostOnceMonitor::sent(const Event& e, Request& r) {
  const auto& c = settings_.classes[r.class_index];
  std::optional<Violation> breach;
  for (const auto& a : r.attempts) {
    if (!a.ran || c.idempotency == Idempotency::kIdempotent) continue;
    if (c.idempotency == Idempotency::kNonIdempotent) {
      breach = repeated(request_named(e.request) + ", unsafe, was sent again though an attempt may have run");
    } else if (!same_group(c.idempotency_scope, a.host, e.host)) {
      breach = repeated(request_named(e.request) + ", keyed, was sent again outside its group");
    } else if (e.at > a.sent + c.idempotency_key_ttl_ms) {
      breach = repeated(request_named(e.request) + ", keyed, was sent again after its key's lifetime");
    }
  }
  const auto out = std::count_if(r.attempts.begin(), r.attempts.end(), [](auto& a) { return a.out; });
  r.attempts.push_back({e.connection, e.host, e.at, true, true});
  if (!breach && out >= (settings_.hedging_allowed ? 2 : 1)) {
    breach = repeated(request_named(e.request) + " has more attempts out at once than the site allows");
  }
  if (!breach && static_cast<double>(r.attempts.size()) > settings_.max_attempts) {
    breach = repeated(request_named(e.request) + " had more attempts than the site allows");
  }
  return breach;
}

void AtMostOnceMonitor::digest(engine::Digest& into) const {
  for (const auto& [id, r] : requests_) {
    into.add(id);
    for (const auto& a : r.attempts) {
      into.add(std::uint64_t{a.host} << 2 | std::uint64_t{a.out} << 1 | std::uint64_t{a.ran});
      into.add(a.out ? a.connection : 0);
      into.add(a.sent);
    }
  }
}

// ---- drains kept ----

std::optional<Violation> DrainMonitor::observe(const Event& e) {
  if (e.kind == Event::kGatewayCrashed) {  // what starts again has been told of nothing
    std::erase_if(told_, [&](auto& entry) { return entry.first.first == e.gateway; });
  }
  if (e.kind == Event::kHostUpdate) {
    if (e.entry.state == HostState::kReady) {
      told_.erase({e.gateway, e.entry.id});
    } else {
      told_.try_emplace({e.gateway, e.entry.id}, e.at);
    }
  }
  if (e.kind != Event::kAttemptFirstByte) return {};
  const auto it = told_.find({e.gateway, e.host});
  if (it == told_.end() || e.at <= it->second + grace_ - (grace_ > 0 ? 0 : kDust)) return {};
  return Violation{"drains kept", request_named(e.request) + " was sent to host " + std::to_string(e.host) +
                                      " " + number(e.at - it->second) +
                                      " ms after the gateway was told that it goes"};
}

void DrainMonitor::digest(engine::Digest& into) const {
  for (const auto& [key, at] : told_) {
    into.add(std::uint64_t{key.first} << 32 | key.second);
    into.add(at);
  }
}

// ---- no cold host pushed over ----

double SlowStartMonitor::ability(Ms age) const {
  const double share = std::clamp(age / std::max(settings_.slow_start_duration_ms, 1.0), 0.0, 1.0);
  return settings_.slow_start_initial_weight + (1 - settings_.slow_start_initial_weight) * share;
}

double SlowStartMonitor::can_do(Ms started, Ms from,
                                Ms to) const {  // ability rises evenly: the mean is the middle's
  const Ms warm = std::min(to, started + settings_.slow_start_duration_ms);
  const double rising = from < warm ? ability((from + warm) / 2 - started) * (warm - from) : 0;
  return capacity_ * (rising + std::max(to - std::max(warm, from), 0.0)) / 1000;
}

std::optional<Violation> SlowStartMonitor::observe(const Event& e) {
  if (e.kind == Event::kHostUpdate && e.entry.state == HostState::kReady) {
    hosts_[e.entry.id].started_at = e.entry.started_at;
  }
  if (e.kind == Event::kHostUpdate && e.entry.state == HostState::kRemoved) hosts_.erase(e.entry.id);
  if (e.kind != Event::kAttemptWritten || capacity_ <= 0) return {};
  const auto it = hosts_.find(e.host);
  if (it == hosts_.end() || it->second.started_at <= 0) return {};
  Host& h = it->second;
  h.sends.push_back(e.at);
  while (h.sends.front() <= e.at - settings_.overload_window_ms) h.sends.pop_front();
  if (e.at >= h.started_at + settings_.slow_start_duration_ms + settings_.overload_window_ms) return {};
  const Ms from = std::max(h.started_at, e.at - settings_.overload_window_ms);
  const double most =
      settings_.overload_factor * can_do(h.started_at, from, from + settings_.overload_window_ms);
  if (static_cast<double>(h.sends.size()) <= most + kDust) return {};
  return Violation{"no cold host pushed over",
                   "host " + std::to_string(e.host) + ", started " + number(e.at - h.started_at) +
                       " ms ago, was sent " + std::to_string(h.sends.size()) + " requests within " +
                       number(settings_.overload_window_ms) + " ms and bears " + number(most)};
}

void SlowStartMonitor::digest(engine::Digest& into) const {
  if (capacity_ <= 0) return;
  for (const auto& [id, h] : hosts_) {
    into.add(std::uint64_t{id});
    into.add(h.started_at);
    for (const Ms at : h.sends) into.add(at);
  }
}

// ---- ceilings kept ----

std::optional<Violation> CeilingMonitor::observe(const Event& e) {
  if (e.kind == Event::kRequestReceived) requests_[e.request] = {e.plan_index, e.customer, e.units, false};
  if (e.kind == Event::kAttemptEnded || e.kind == Event::kNotExecuted) {
    const auto out = out_.find(e.connection);
    if (out == out_.end()) return {};
    const auto r = requests_.find(out->second);
    if (r != requests_.end()) customers_[r->second.customer].open -= 1;
    out_.erase(out);
  }
  if (e.kind != Event::kAttemptWritten) return {};
  const auto it = requests_.find(e.request);
  if (it == requests_.end()) return {};
  Request& r = it->second;
  const auto& plan = settings_.plans[r.plan];
  Customer& c = customers_[r.customer];
  out_[e.connection] = e.request;
  c.open += 1;
  if (plan.max_concurrent_attempts > 0 &&
      c.open > std::ceil(plan.max_concurrent_attempts + plan.ceiling_slack) + kDust) {
    return Violation{"ceilings kept", "customer " + std::to_string(r.customer) + " has " + number(c.open) +
                                          " attempts out at once, of " +
                                          number(plan.max_concurrent_attempts)};
  }
  if (plan.ceiling_rate <= 0 || std::exchange(r.drew, true)) return {};
  if (!std::exchange(c.known, true)) c.level = plan.ceiling_burst, c.at = e.at;
  c.level = std::min(plan.ceiling_burst, c.level + plan.ceiling_rate * (e.at - c.at) / 1000) - r.units;
  c.at = e.at;
  const double slack = plan.ceiling_slack + plan.ceiling_rate * wider_ / 1000;
  if (c.level >= -slack - kDust) return {};
  return Violation{"ceilings kept", "customer " + std::to_string(r.customer) + " was sent on " +
                                        number(-c.level) + " units beyond its ceiling; the slack is " +
                                        number(slack)};
}

void CeilingMonitor::digest(engine::Digest& into) const {
  for (const auto& [id, c] : customers_) {
    into.add(id);
    into.add(c.level);
    into.add(c.at);
    into.add(c.open);
  }
}

// ---- all ----

RuleMonitors::RuleMonitors(const AdmissionSettings& settings, const Tolerances& figures) {
  monitors_.push_back(std::make_unique<SingleReplyMonitor>(figures.reply_slack_ms));
  monitors_.push_back(std::make_unique<AtMostOnceMonitor>(settings));
  monitors_.push_back(std::make_unique<DrainMonitor>(figures.drain_grace_ms));
  monitors_.push_back(std::make_unique<SlowStartMonitor>(settings, figures.warm_host_capacity));
  monitors_.push_back(std::make_unique<CeilingMonitor>(settings, figures.ceiling_slack_ms));
}

void RuleMonitors::observe(const Event& event) {
  for (const auto& m : monitors_) {
    auto breach = m->observe(event);
    if (breach && breaches_.size() < kMostBreaches) breaches_.push_back(std::move(*breach));
  }
}

void RuleMonitors::check_deadlines(Ms now) {
  for (const auto& m : monitors_) {
    auto breach = m->check_deadlines(now);
    if (breach && breaches_.size() < kMostBreaches) breaches_.push_back(std::move(*breach));
  }
}

void RuleMonitors::digest(engine::Digest& into) const {
  for (const auto& m : monitors_) m->digest(into);
}

}  // namespace cometfold::rules
