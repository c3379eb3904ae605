// A fleet of real modules in one process, on one simulated clock, against hosts that are modelled: for what
// only shows in sums over many gateways. Same seed, same run.
#pragma once

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "support.h"

namespace thistlepond::testing {

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

  struct Counts {
    int asked = 0, sent = 0, attempts = 0;
    int handshakes = 0;         // attempts at a host that this gateway had not met for kIdle
    std::map<HostId, int> at;   // attempts by host
    std::map<HostId, int> out;  // of them those not yet ended
  };

  ModelFleet(const Settings& settings, std::size_t gateways, const std::vector<HostEntry>& list, Host host,
             Ms start = 0)
      : settings_(settings), host_(std::move(host)), random_(17), now_(start) {
    for (std::size_t i = 0; i < gateways; ++i) {
      members_.push_back(
          std::make_unique<Member>(Member{Control(settings, 1000 + i), Sink(*this, i), {}, {}}));
      members_[i]->control.start(now_, members_[i]->sink);
      members_[i]->control.on_list(now_, ListKind::kCached, list, members_[i]->sink);
    }
  }

  double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  Ms exponential(Ms mean) { return -mean * std::log(1 - draw()); }
  Counts& counts() { return counts_; }

  // Requests by Poisson at `rate` a second over all gateways, for `span`; then nothing more is asked. `make`
  // gives class, plan, customer, units and spread.
  template <class Make>
  void run(double rate, Ms span, Make&& make) {
    const Ms until = now_ + span;
    for (Ms next = now_ + exponential(1000 / rate); next < until; next += exponential(1000 / rate)) {
      play(next);
      now_ = next;
      Request q = make(*this);
      q.id = ++last_;
      q.expires_at = now_ + settings_.classes[q.class_index].deadline_ms;
      ++counts_.asked;
      Member& m = *members_[static_cast<std::size_t>(draw() * static_cast<double>(members_.size()))];
      m.control.on_request(now_, q, m.sink);
    }
    play(until);
    now_ = until;
  }

 private:
  class Sink : public Actions {
   public:
    Sink(ModelFleet& fleet, std::size_t me) : fleet_(&fleet), me_(me) {}
    void send(RequestId r, HostId h, Ms) override { fleet_->send(me_, r, h); }
    void cancel(RequestId r, std::uint32_t a) override {
      fleet_->end_soon(me_, r, a, Outcome::kCancelled, 0);
    }
    void refuse(RequestId, Ms, Cause) override {}
    void fail(RequestId, Cause) override {}
    void wake(Ms after, std::uint64_t token) override {
      fleet_->at(after, [f = fleet_, me = me_, token] {
        f->members_[me]->control.on_timer(f->now_, token, f->members_[me]->sink);
      });
    }
    void probe(HostId) override {}
    void follow_list() override {}
    void fetch_list() override {}
    void note(std::string_view) override {}

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
    Control control;
    Sink sink;
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
    if (tries.empty()) ++counts_.sent;
    ++counts_.attempts, ++counts_.at[h], ++counts_.out[h];
    const auto [met, fresh] = members_[me]->met.try_emplace(h, now_);
    if (fresh || now_ - std::exchange(met->second, now_) > kIdle) ++counts_.handshakes;
    const auto attempt = static_cast<std::uint32_t>(tries.size());
    tries.push_back({h, now_, true});
    const Fate fate = host_(*this, h);
    if (fate.outcome != Outcome::kNotSent) end_soon(me, r, attempt, fate.outcome, fate.after);
  }
  void end_soon(std::size_t me, RequestId r, std::uint32_t attempt, Outcome outcome, Ms after) {
    at(after, [this, me, r, attempt, outcome] {
      Member& m = *members_[me];
      Try& t = m.tries[r][attempt];
      if (!t.out) return;
      t.out = false;
      --counts_.out[t.host];
      m.control.on_attempt_end(
          now_, {r, attempt, t.host, outcome, now_ - t.sent, outcome == Outcome::kOk, {}, {}}, m.sink);
    });
  }

  Settings settings_;
  Host host_;
  std::mt19937_64 random_;
  Ms now_;
  RequestId last_ = 0;
  std::uint64_t order_ = 0;
  Counts counts_;
  std::vector<std::unique_ptr<Member>> members_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace thistlepond::testing
