// What the module remembers: buckets and customers, hosts, attempts and requests.
#pragma once

#include <vector>

#include "admission/tuning.h"
#include "cometfold/attempt_rules.h"

namespace cometfold::detail {

// The paper's token bucket TB(T, rho, mu), equations (1) to (5).
struct TokenBucket {
  double volume = 0;  // T
  double rate = 0;    // rho, units a second
  double level = 0;   // mu
  Ms at = 0;

  void refill(Ms now) {  // A = min(T - mu, rho dt)
    level += std::max(0.0, std::min(volume - level, rate * std::max(now - at, 0.0) / 1000));
    at = std::max(at, now);
  }
  // G = min(mu + A, N), whole or not at all. One larger than the bucket passes a full one, into debt.
  bool has(double units) const { return level + kTokenDust >= std::min(units, volume); }
  void give(double units) { level -= units; }
  Ms wait_for(double units) const { return rate > 0 ? (units - level) / rate * 1000 : kNoTime; }
};

struct Child {
  TokenBucket bucket;
  double asked = 0;  // U: units that arrived of late
};

struct Customer {
  std::uint32_t plan = 0;
  TokenBucket parent;
  TokenBucket ceiling;
  std::vector<Child> children;
  double given = 0;      // G1: what the parent gave in this tick
  double allowance = 0;  // kappa dt: what it could have given
  TokenBucket whole;     // the whole quota, drawn on by this gateway alone
  double demand = 0;     // units asked for here of late
  double open = 0;       // attempts out through this gateway
  double elsewhere = 0;  // and through the one that it took over from
  double spread = 1;
  Ms met_at = -kNoTime;  // its first request in a while, if its set is large
  bool met_sent = false;
  Ms seen = 0;
};

struct Host {
  HostEntry entry;
  bool listed = false;
  Ms told_leaving = kNoTime;
  double out = 0;
  double slow = 1;  // latency against what its class takes on the whole
  double fails = 0;
  std::vector<double> fulls;  // of late, by plan, then by class
  double crowd = 0;           // reported: requests waiting and part of the cores in use
  Ms reported_at = -kNoTime;
  double done_rate = 0;   // completions a second, through this gateway
  Ms woken = 0;           // the send that ended its last idle time
  double done_since = 0;  // completions since then
  double proven = 0;      // most completions a second so measured, as of proven_at
  Ms proven_at = 0;
  Ms touched = 0;
  Ms newest_answered = 0;  // when the latest send that was answered went out
  double overdue = 0;      // attempts out that the fleet has overtaken
  Ms quiet_since = 0;      // last answer, or the send that ended an idle time
  Ms ejected_until = 0;
  Ms eject_span = kFirstEjectMs;
};

struct Attempt {
  HostId host = 0;
  Ms sent = 0;
  HostLocation place = {};  // of the host when it was sent: what a key binds repeats to
  bool out = true;
  bool may_have_run = true;
  bool never_sent = false;
  bool cancelled = false;
  bool overdue = false;  // see find_overdue
  bool bad = false;      // and was told to its host's record
  bool streams = false;  // its long value is coming: counts at its host no more
};

struct Held {
  Request ask;
  ClassSettings terms;  // of its class when it came: later settings are for later requests
  Ms arrived = 0;
  bool inside = false;  // drew tokens from its parent
  bool over = false;    // has its final answer; kept until its attempts are in
  bool streaming = false;
  bool drew = false;  // units taken: the first send is done
  std::vector<Attempt> attempts;
  bool tried(HostId host) const {
    return std::any_of(attempts.begin(), attempts.end(), [&](auto& a) { return a.host == host; });
  }
  double out() const {
    return static_cast<double>(
        std::count_if(attempts.begin(), attempts.end(), [](auto& a) { return a.out; }));
  }
};

}  // namespace cometfold::detail
