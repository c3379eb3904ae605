// A fleet of real modules in one process, on one simulated clock, against hosts that are modelled: for what
// only shows in sums over many gateways. Same seed, same run.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "tests/support.h"

namespace cometfold::testing {

// What becomes of an attempt, and when. `kNotSent` here: never answered.
struct Fate {
  Outcome outcome = Outcome::kOk;
  Ms after = 0;
};

class ModelFleet {
 public:
  static constexpr Ms kIdle = 7500;  // a connection is kept so long without use
  // Called for each attempt that reaches a host, at the time that it is sent.
  using Host = std::function<Fate(ModelFleet&, HostId)>;

  // Called when a request gets its final answer; and when its first attempt goes out. Both may ask anew
  // later.
  struct Watcher {
    std::function<void(const Request&)> on_first_send = [](const Request&) {};
    std::function<void(const Request&, Ms retry_after, RejectionReason)> on_refused = [](const Request&, Ms,
                                                                                         RejectionReason) {};
  };

  struct Counts {
    int asked = 0, sent = 0, attempts = 0;
    int other_zone = 0;         // attempts at hosts of zones other than the gateway's
    int handshakes = 0;         // attempts at a host that this gateway had not met for kIdle
    std::map<HostId, int> at;   // attempts by host
    std::map<HostId, int> out;  // of them those not yet ended
  };

  ModelFleet(const AdmissionSettings& settings, std::size_t gateways, const std::vector<HostEntry>& list,
             Host host, Ms start = 0)
      : settings_(settings), list_(list), host_(std::move(host)), random_(17), now_(start) {
    for (const auto& h : list) zones_[h.id] = h.zone.value_or(0);
    const auto zones = 1 + std::max_element(list.begin(), list.end(), [](auto& a, auto& b) {
                             return a.zone < b.zone;
                           })->zone.value_or(0);
    for (std::size_t i = 0; i < gateways; ++i) {
      AdmissionSettings own = settings;
      own.local_zone = static_cast<std::uint32_t>(i) % zones;
      members_.push_back(std::make_unique<Member>(
          Member{AdmissionController(own, 1000 + i), Sink(*this, i), own.local_zone, {}, {}, {}}));
      members_[i]->control.start(now_, members_[i]->sink);
      members_[i]->control.on_host_list(now_, HostListUpdate::kCached, list, members_[i]->sink);
    }
  }

  double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  Ms exponential(Ms mean) { return -mean * std::log(1 - draw()); }
  Counts& counts() { return counts_; }
  Watcher& watcher() { return watcher_; }
  Ms now() const { return now_; }
  std::size_t gateways() const { return members_.size(); }
  std::size_t asking() const { return asking_; }  // the gateway whose refusal is being told

  // Killed and back at once under its name: it knows the list, and nothing of what went before.
  void restart(std::size_t gateway) {
    Member& m = *members_[gateway];
    for (auto& [r, tries] : m.tries) {
      for (Try& t : tries) {
        if (std::exchange(t.out, false)) --counts_.out[t.host];
      }
    }
    m.asked.clear(), m.met.clear();
    AdmissionSettings own = settings_;
    own.local_zone = m.zone;
    m.control = AdmissionController(own, 5000 + gateway + ++restarts_);
    m.control.start(now_, m.sink);
    m.control.on_host_list(now_, HostListUpdate::kCached, list_, m.sink);
  }

  // A request at one gateway, now. Its id and deadline are given here.
  void ask(std::size_t gateway, Request q) {
    q.id = ++last_;
    q.expires_at = now_ + settings_.classes[q.class_index].deadline_ms;
    ++counts_.asked;
    Member& m = *members_[gateway];
    m.asked.emplace(q.id, q);
    m.control.on_request(now_, q, m.sink);
  }
  void ask_later(Ms after, std::size_t gateway, const Request& q) {
    at(after, [this, gateway, q] { ask(gateway, q); });
  }

  // Later on the fleet's own clock, and all that falls due meanwhile.
  void at_time(Ms when, std::function<void()> what) { at(when - now_, std::move(what)); }
  void wait(Ms span) {
    const Ms until = now_ + span;
    play(until);
    now_ = until;
  }

  // Requests by Poisson at `rate` a second over all gateways, for `span`; then nothing more is asked. `make`
  // gives class, plan, customer, units and spread.
  template <class Make>
  void run(double rate, Ms span, Make&& make) {
    run_at(rate, span, [&](ModelFleet&) {
      Request q = make(*this);
      return std::pair{static_cast<std::size_t>(draw() * static_cast<double>(members_.size())), q};
    });
  }
  // The same, where `make` also gives the gateway.
  template <class Make>
  void run_at(double rate, Ms span, Make&& make) {
    const Ms until = now_ + span;
    for (Ms next = now_ + exponential(1000 / rate); next < until; next += exponential(1000 / rate)) {
      play(next);
      now_ = next;
      const auto [gateway, q] = make(*this);
      ask(gateway, q);
    }
    play(until);
    now_ = until;
  }

 private:
  class Sink : public ActionSink {
   public:
    Sink(ModelFleet& fleet, std::size_t me) : fleet_(&fleet), me_(me) {}
    void send(RequestId r, HostId h, Ms) override { fleet_->send(me_, r, h); }
    void cancel(RequestId r, std::uint32_t a) override {
      fleet_->end_soon(me_, r, a, Outcome::kCancelled, 0);
    }
    void reject(RequestId r, Ms after, RejectionReason why) override { fleet_->refused(me_, r, after, why); }
    void fail(RequestId r, RejectionReason) override { fleet_->members_[me_]->asked.erase(r); }
    void schedule_timer(Ms after, std::uint64_t token) override {
      fleet_->at(after, [f = fleet_, me = me_, token] {
        f->members_[me]->control.on_timer(f->now_, token, f->members_[me]->sink);
      });
    }
    void send_health_check(HostId) override {}
    void watch_hosts() override {}
    void poll_hosts() override {}
    void log(std::string_view) override {}

   private:
    ModelFleet* fleet_;
    std::size_t me_;
  };
  struct Try {
    HostId host = 0;
    Ms sent = 0;
    bool out = true;
  };
  struct Member {
    AdmissionController control;
    Sink sink;
    std::uint32_t zone;
    std::map<RequestId, Request> asked;  // not yet ended
    std::map<RequestId, std::vector<Try>> tries;
    std::map<HostId, Ms> met;
  };
  struct Event {
    Ms at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  void at(Ms after, std::function<void()> what) {
    events_.push({now_ + std::max(after, 0.0), ++order_, std::move(what)});
  }
  void play(Ms until) {
    while (!events_.empty() && events_.top().at <= until) {
      const Event e = events_.top();
      events_.pop();
      now_ = e.at;
      e.what();
    }
  }
  void send(std::size_t me, RequestId r, HostId h) {
    auto& tries = members_[me]->tries[r];
    counts_.other_zone += zones_[h] != members_[me]->zone;
    if (tries.empty()) {
      ++counts_.sent;
      watcher_.on_first_send(members_[me]->asked.at(r));
    }
    ++counts_.attempts, ++counts_.at[h], ++counts_.out[h];
    const auto [met, fresh] = members_[me]->met.try_emplace(h, now_);
    if (fresh || now_ - std::exchange(met->second, now_) > kIdle) ++counts_.handshakes;
    const auto attempt = static_cast<std::uint32_t>(tries.size());
    tries.push_back({h, now_, true});
    const Fate fate = host_(*this, h);
    if (fate.outcome != Outcome::kNotSent) end_soon(me, r, attempt, fate.outcome, fate.after);
  }
  void refused(std::size_t me, RequestId r, Ms after, RejectionReason why) {
    const auto node = members_[me]->asked.extract(r);
    asking_ = me;
    watcher_.on_refused(node.mapped(), after, why);
  }
  void end_soon(std::size_t me, RequestId r, std::uint32_t attempt, Outcome outcome, Ms after) {
    at(after, [this, me, r, attempt, outcome] {
      Member& m = *members_[me];
      Try& t = m.tries[r][attempt];
      if (!t.out) return;
      t.out = false;
      --counts_.out[t.host];
      if (outcome == Outcome::kOk) m.asked.erase(r);
      m.control.on_attempt_end(
          now_, {r, attempt, t.host, outcome, now_ - t.sent, outcome == Outcome::kOk, {}, {}}, m.sink);
    });
  }

  AdmissionSettings settings_;
  std::vector<HostEntry> list_;
  Host host_;
  std::mt19937_64 random_;
  Ms now_;
  RequestId last_ = 0;
  std::size_t restarts_ = 0, asking_ = 0;
  std::uint64_t order_ = 0;
  Counts counts_;
  Watcher watcher_;
  std::map<HostId, std::uint32_t> zones_;
  std::vector<std::unique_ptr<Member>> members_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

// Customers of some plans at a fleet, each with its store as one that saw all its requests would keep it, and
// with a way of spreading them unevenly over the gateways of its set. Refused ones come again, elsewhere.
class ModelCustomers {
 public:
  struct Account {              // of one plan, in units
    double asked = 0, due = 0;  // by first tries; what one store would have let in of them
    double inside = 0, beyond = 0;
    double refused_with_room = 0;  // first tries and further ones
  };

  // Of the refused, `comes_again` ask again; of these `stays` at the gateway that refused them.
  ModelCustomers(ModelFleet& fleet, const AdmissionSettings& settings, double comes_again, double stays = 0)
      : fleet_(fleet),
        settings_(settings),
        comes_again_(comes_again),
        stays_(stays),
        accounts_(settings.plans.size()) {
    fleet.watcher().on_first_send = [this](const Request& q) { sent(q); };
    fleet.watcher().on_refused = [this](const Request& q, Ms after, RejectionReason) { refused(q, after); };
  }

  // One that asks for `use` times its rate through `gateway_count` gateways from `first`. The part of the
  // gateway of rank n among them goes by 1 / n^skew.
  void add(std::uint32_t plan, double use, std::size_t spread, std::size_t first, double skew) {
    Customer c{plan,        first, {}, settings_.plans[plan].quota_burst, settings_.plans[plan].quota_burst,
               fleet_.now()};
    for (std::size_t n = 1; n <= spread; ++n) {
      c.parts.push_back((c.parts.empty() ? 0 : c.parts.back()) + std::pow(static_cast<double>(n), -skew));
    }
    const double asks = use * settings_.plans[plan].quota_rate;
    rates_.push_back((rates_.empty() ? 0 : rates_.back()) + asks);
    customers_.push_back(std::move(c));
  }

  void run(Ms span) {
    fleet_.run_at(rates_.back(), span, [this](ModelFleet& f) {
      const std::size_t i = pick(rates_, f.draw());
      Customer& c = customers_[i];
      account(c).asked += 1;
      refill(c);
      if (c.ideal >= 1) c.ideal -= 1, account(c).due += 1;
      return std::pair{
          gateway(c),
          Request{.plan_index = c.plan, .customer = i, .gateway_count = static_cast<double>(c.parts.size())}};
    });
  }
  const std::vector<Account>& accounts() const { return accounts_; }

 private:
  struct Customer {
    std::uint32_t plan;
    std::size_t first;
    std::vector<double> parts;  // summed up
    double store, ideal;        // as it is used; as one store that lets in all it can would be
    Ms at;
  };
  static std::size_t pick(const std::vector<double>& sums, double draw) {
    return static_cast<std::size_t>(std::upper_bound(sums.begin(), sums.end(), draw * sums.back()) -
                                    sums.begin());
  }
  Account& account(const Customer& c) { return accounts_[c.plan]; }
  std::size_t gateway(const Customer& c) {
    return (c.first + pick(c.parts, fleet_.draw())) % fleet_.gateways();
  }
  void refill(Customer& c) {
    const auto& p = settings_.plans[c.plan];
    const double more = p.quota_rate * (fleet_.now() - c.at) / 1000;
    c.store = std::min(p.quota_burst, c.store + more), c.ideal = std::min(p.quota_burst, c.ideal + more);
    c.at = fleet_.now();
  }
  void sent(const Request& q) {
    Customer& c = customers_[q.customer];
    refill(c);
    if (c.store >= q.units) {
      c.store -= q.units;
      account(c).inside += q.units;
    } else {
      account(c).beyond += q.units;
    }
  }
  void refused(const Request& q, Ms after) {
    Customer& c = customers_[q.customer];
    refill(c);
    if (c.store >= q.units) account(c).refused_with_room += q.units;
    if (fleet_.draw() >= comes_again_) return;
    const std::size_t at = stays_ > 0 && fleet_.draw() < stays_ ? fleet_.asking() : gateway(c);
    fleet_.ask_later(std::clamp(after, 200.0, 1000.0), at, q);
  }

  ModelFleet& fleet_;
  const AdmissionSettings& settings_;
  double comes_again_, stays_;
  std::vector<Account> accounts_;
  std::vector<Customer> customers_;
  std::vector<double> rates_;  // requests a second, summed up
};

}  // namespace cometfold::testing
