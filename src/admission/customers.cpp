// Customers: the paper's buckets at this gateway's slice, lending, and what a customer is taken for.
#include "admission/state.h"

namespace cometfold {

// Volumes and rates as the settings have them for this customer; levels stay, within the volumes.
void AdmissionController::State::shape(Customer& c) {
  const auto& p = set.plans[c.plan];
  const auto fit = [&](TokenBucket& b, double volume, double rate) {
    b.refill(now);
    b = {volume, rate, std::min(b.level, volume), now};
  };
  const double rate = refills() * p.quota_rate / c.spread, volume = p.quota_burst / c.spread;
  fit(c.parent, volume, rate);
  fit(c.whole, p.quota_burst, refills() * p.quota_rate);
  fit(c.ceiling, p.ceiling_burst / c.spread, refills() * p.ceiling_rate / c.spread);
  const auto n = static_cast<double>(set.classes.size());
  c.children.resize(set.classes.size(), Child{{volume, rate / n, volume, now}, 0});
  for (auto& child : c.children) fit(child.bucket, volume, rate / n);
  c.allowance = std::min(c.allowance, volume + rate * kTickMs / 1000);
}

Customer& AdmissionController::State::customer_of(const Request& q) {
  auto [it, fresh] = customers.try_emplace(q.customer);
  Customer& c = it->second;
  if (fresh) c.parent.level = c.whole.level = kNoTime;  // full, once they have a volume
  // Danger: one that moves to another plan would keep the ceiling of the plan before, and one whose set grows
  // a slice that is too large.
  const double spread = std::clamp(q.gateway_count, 1.0, std::max(1.0, set.gateway_count));
  if (fresh || c.plan != q.plan_index || c.spread != spread) {
    c.plan = q.plan_index;
    c.spread = spread;
    shape(c);
  }
  if (fresh) {
    const double part = handed ? kKeptShare : 1;
    c.allowance = c.parent.level *= part, c.whole.level *= part;
    for (auto& child : c.children) child.bucket.level *= part;
    // A ceiling's slice starts empty at each start of this gateway: it may have given all before it fell.
    c.ceiling.level = std::min(c.ceiling.volume, c.ceiling.rate * (now - born) / 1000);
  }
  c.seen = now;
  return c;
}

// Danger: two gateways that each think they have the slice would give it twice. Levels are divided, debts go
// over whole, and only one of the two refills.
HandoverSnapshot AdmissionController::State::hand_over() {
  HandoverSnapshot all{now - born, {}, {}, class_ms, calm_ms};
  const auto divide = [&](TokenBucket& b) {
    b.refill(now);
    const double kept = std::max(b.level, 0.0) * kKeptShare;
    const double given = b.level - kept;
    b.level = kept;
    return given;
  };
  for (auto& [id, c] : customers) {
    CustomerSnapshot s{
        id,       c.plan,       c.spread, divide(c.parent), divide(c.whole), divide(c.ceiling), {},
        c.demand, now - c.seen, c.open};
    for (auto& child : c.children) s.class_levels.push_back(divide(child.bucket));
    all.customers.push_back(std::move(s));
  }
  for (auto& [id, h] : hosts) {
    if (!usable(h)) continue;
    settle(h);
    all.hosts.push_back(
        {id, up_for(h), h.slow, h.fails, h.crowd, proven(h), std::max(h.ejected_until - now, 0.0)});
  }
  handed = true;
  for (auto& [id, c] : customers) shape(c);
  return all;
}

// Danger: a process that has waited for its turn for long is not old: what it has not given, the one before
// may have. So a customer that is not handed over counts from that one's beginning, and from now where that
// is not known.
void AdmissionController::State::take_over(const HandoverSnapshot& from) {
  born = now - finite(from.age_ms, 0);
  for (const auto& s : from.customers) {
    if (s.plan_index >= set.plans.size()) continue;
    Customer& c = customer_of(
        {.plan_index = s.plan_index, .customer = s.id, .gateway_count = finite(s.gateway_count, 1, 1)});
    const auto fill = [](TokenBucket& b, double level) {
      b.level = std::min(b.volume, finite(level, 0, -kNoTime));
    };
    fill(c.parent, s.quota_level), fill(c.whole, s.undivided_quota_level), fill(c.ceiling, s.ceiling_level);
    for (std::size_t i = 0; i < std::min(c.children.size(), s.class_levels.size()); ++i) {
      fill(c.children[i].bucket, s.class_levels[i]);
    }
    c.allowance = std::max(c.parent.level, 0.0);
    c.demand = finite(s.demand, 0);
    c.seen = now - finite(s.idle_ms, 0);
    c.elsewhere = finite(s.attempts_in_flight, 0);
  }
  know_hosts(from);
}

// Danger: a host that has started anew since is not the one that is known.
void AdmissionController::State::know_hosts(const HandoverSnapshot& from) {
  for (std::size_t i = 0; i < std::min(class_ms.size(), from.class_latency_ms.size()); ++i) {
    class_ms[i] = finite(from.class_latency_ms[i], 0);
    class_seen[i] = class_ms[i] > 0 ? kCalmSamples : 0;
  }
  calm_ms = finite(from.unloaded_latency_ms, 0), calm_at = now;
  if (calm_ms > 0) completions = kCalmSamples, recent_ms = calm_ms;
  for (const auto& k : from.hosts) {
    const auto it = hosts.find(k.id);
    if (it == hosts.end() || !usable(it->second)) continue;
    Host& h = it->second;
    if (std::abs(up_for(h) - k.uptime_ms) > kSameStartMs) continue;
    settle(h);
    h.slow = finite(k.relative_latency, 1), h.fails = std::min(finite(k.failure_rate, 0), 1.0),
    h.crowd = finite(k.reported_load, 0);
    h.proven = finite(k.proven_rate, 0), h.proven_at = now;
    const Ms left = std::min(finite(k.ejection_remaining_ms, 0), kLongestEjectMs);
    if (left > 0) h.ejected_until = now + left;
  }
}

// Danger: customers that come once would fill the memory. One with full buckets is as if it came anew.
bool AdmissionController::State::like_new(Customer& c) {
  c.whole.refill(now);
  return c.demand < kForgotten && c.whole.has(c.whole.volume) &&
         std::all_of(c.children.begin(), c.children.end(),
                     [](auto& child) { return child.bucket.has(child.bucket.volume); });
}

// Lending (19), every tick: a child's next rate is the guaranteed one and, by arrivals, its part of the rest.
void AdmissionController::State::lend() {
  for (auto it = customers.begin(); it != customers.end();) {
    Customer& c = it->second;
    double all = 0;
    for (auto& child : c.children) all += child.asked;
    const double room = std::max(c.allowance - c.given, 0.0);
    const double guaranteed = c.parent.rate / static_cast<double>(c.children.size());
    for (auto& child : c.children) {
      child.bucket.refill(now);
      child.bucket.rate = guaranteed + (all > kTokenDust ? room * child.asked / all : 0) / (kTickMs / 1000);
      child.asked *= faded(kTickMs, kShareMemoryMs);
    }
    c.parent.refill(now);
    c.given = 0;
    c.demand *= faded(kTickMs, memory(c));
    c.allowance = c.parent.level + c.parent.rate * kTickMs / 1000;
    c.ceiling.refill(now);
    // Never dropped while that would give tokens back early: only full buckets go.
    const bool full = c.parent.has(c.parent.volume) && c.ceiling.has(c.ceiling.volume);
    const bool idle = now - c.seen > kIdleMs || (full && like_new(c));
    it = c.open + c.elsewhere <= 0 && full && idle ? customers.erase(it) : std::next(it);
  }
}

bool AdmissionController::State::capped(const Customer& c) const {
  const double limit = set.plans[c.plan].max_concurrent_attempts;
  if (limit > 0 && handed) return true;  // what comes still would be counted twice over
  return limit > 0 && c.open + c.elsewhere >= std::max(1.0, std::ceil(limit / c.spread - kTokenDust));
}

// Why this request is not inside what its customer's slice holds; nothing if it is.
std::optional<RejectionReason> AdmissionController::State::quota_lacks(Customer& c, const Request& q) {
  const auto& p = set.plans[c.plan];
  if (capped(c)) return RejectionReason::kConcurrencyLimit;
  if (p.quota_rate <= 0) return {};
  Child& child = c.children[q.class_index];
  c.parent.refill(now);
  child.bucket.refill(now);
  if (!c.parent.has(q.units)) return RejectionReason::kCustomerQuota;
  if (!child.bucket.has(q.units)) return RejectionReason::kClassQuota;
  return {};
}

Ms AdmissionController::State::memory(const Customer& c) const {
  return std::clamp(kDemandRequests * 1000 / std::max(c.parent.rate, kTokenDust), kDemandMemoryMs, kIdleMs);
}

Ms AdmissionController::State::exposure(const Customer& c) const {
  return std::max(kTickMs, memory(c) * (1 - faded(now - born, memory(c))));
}

// Danger: with one bound for all, customers inside their quota were refused where sets are large: of four
// gateways one can get four times its part, of a hundred five times; the more a slice lets expect, the surer.
double AdmissionController::State::rare_skew(const Customer& c, const Request& q) const {
  if (!thin(c, q)) return kRareSkew + kMoreSkew * std::clamp(c.spread - 2, 0.0, kMostSkewed - 2);
  const double expects = c.parent.rate * exposure(c) / 1000 / mean_units;
  return kRareSkew +
         kCrowdSkew * std::min(1.0, kCrowdMs / exposure(c)) * expects / (kCrowdRequests + expects);
}

// Learns how many of the refused ask again. Who was refused for what it asked before comes anyway: so only
// first requests in a while count.
void AdmissionController::State::meet(Customer& c, const Request& q) {
  if (now - c.met_at < kAgainTimes * set.max_retry_after_ms) firsts[c.met_sent].came += 1;
  c.met_at = -kNoTime;
  if (!large_set(c) || c.demand >= kForgotten || q.is_client_retry) return;
  c.met_at = now, c.met_sent = false;
  firsts[0].asked += 1;
}

// The part of the refused whose clients ask again, at any gateway.
double AdmissionController::State::again() const {
  const auto& [refused, sent] = firsts;
  const double came = (refused.came + kAgainSamples * kAgainPrior * kStays) / (refused.asked + kAgainSamples);
  return std::clamp((came - sent.came / (sent.asked + kAgainSamples)) / kStays, 0.0, 1.0);
}

// Whether what finds its slice full is let on, by chance. Danger: 300 slices that begin full let on 300
// requests of a customer whose burst is four. One gateway can't know which are inside; but where the refused
// ask again elsewhere, a smaller chance at each costs a customer inside its quota little, overruns much.
bool AdmissionController::State::let_on(const Customer& c) {
  const auto& p = set.plans[c.plan];
  if (!large_set(c)) return true;
  return draw() <
         std::clamp(1 - std::max(p.over_quota_cost - p.over_quota_value, 0.0) * again(), kLeastLetOn, 1.0);
}

// The worth expected of letting a customer on whose slice is dry, in parts of the request's. Danger: other
// slices may lie idle, and one gateway of hundreds sees a request or two. So what it asked here is drawn
// towards a usual customer's use, the less the slice lets expect the more; who used up the whole quota here
// is beyond it for sure.
double AdmissionController::State::beyond_worth(Customer& c, const Request& q) {
  const auto& p = set.plans[c.plan];
  c.whole.refill(now);
  double chance = 0;
  if (p.quota_rate > c.parent.rate && c.whole.has(q.units) && !capped(c)) {
    const double usual = kPriorRequests * mean_units * 1000 / exposure(c);
    const double before = std::max(c.demand - (q.is_client_retry ? 0 : q.units), 0.0) * 1000 / exposure(c);
    const double asks = (before + kUsualUse * usual) / (c.parent.rate + usual);
    chance = 1 / (1 + std::pow(asks / rare_skew(c, q), 3));
  }
  const double dearer = large_set(c) ? 1 + kAgainDearer * again() : 1;
  return chance + (1 - chance) * (p.over_quota_value - dearer * p.over_quota_cost);
}

}  // namespace cometfold
