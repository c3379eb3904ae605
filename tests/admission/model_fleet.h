// A fleet of real decision modules in one process, with a simulated clock and simulated hosts. Runs with
// equal settings are equal.
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

// How and when an attempt ends. `kNotSent`: it never does.
struct AttemptFate {
  Outcome outcome = Outcome::kOk;
  Ms after = 0;
};

class ModelFleet {
 public:
  static constexpr Ms kConnectionIdleMs = 7500;  // connections that are idle for longer are closed
  // Called for each attempt when it is sent.
  using HostModel = std::function<AttemptFate(ModelFleet&, HostId)>;

  // Called when a request's first attempt is sent and when it is rejected. Both may submit requests later.
  struct Observer {
    std::function<void(const Request&)> on_first_send = [](const Request&) {};
    std::function<void(const Request&, Ms retry_after, RejectionReason)> on_rejected = [](const Request&, Ms,
                                                                                          RejectionReason) {};
  };

  struct Counts {
    int requests = 0;
    int sent_requests = 0;
    int attempts = 0;
    int other_zone = 0;  // attempts at hosts outside the gateway's zone
    int handshakes = 0;  // attempts that needed a new connection
    std::map<HostId, int> attempts_by_host;
    std::map<HostId, int> in_flight_by_host;
  };

  ModelFleet(const AdmissionSettings& settings, std::size_t gateways, const std::vector<HostEntry>& list,
             HostModel host, Ms start = 0)
      : settings_(settings), list_(list), host_model_(std::move(host)), random_(17), now_(start) {
    for (const auto& entry : list) zones_[entry.id] = entry.zone.value_or(0);
    const auto zones = 1 + std::max_element(list.begin(), list.end(), [](auto& a, auto& b) {
                             return a.zone < b.zone;
                           })->zone.value_or(0);
    for (std::size_t i = 0; i < gateways; ++i) {
      AdmissionSettings own = settings;
      own.local_zone = static_cast<std::uint32_t>(i) % zones;
      members_.push_back(std::make_unique<Member>(
          Member{AdmissionController(own, 1000 + i), Sink(*this, i), own.local_zone, {}, {}, {}}));
      members_[i]->controller.start(now_, members_[i]->sink);
      members_[i]->controller.on_host_list(now_, HostListUpdate::kCached, list, members_[i]->sink);
    }
  }

  double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  Ms exponential(Ms mean) { return -mean * std::log(1 - draw()); }
  Counts& counts() { return counts_; }
  Observer& observer() { return observer_; }
  Ms now() const { return now_; }
  std::size_t gateways() const { return members_.size(); }
  std::size_t rejecting_gateway() const { return rejecting_gateway_; }  // during `on_rejected`

  // Kills a gateway and restarts it without state.
  void restart(std::size_t gateway) {
    Member& member = *members_[gateway];
    for (auto& [request_id, attempts] : member.attempts) {
      for (Attempt& record : attempts) {
        if (std::exchange(record.in_flight, false)) --counts_.in_flight_by_host[record.host];
      }
    }
    member.pending.clear();
    member.last_used.clear();
    AdmissionSettings own = settings_;
    own.local_zone = member.zone;
    member.controller = AdmissionController(own, 5000 + gateway + ++restarts_);
    member.controller.start(now_, member.sink);
    member.controller.on_host_list(now_, HostListUpdate::kCached, list_, member.sink);
  }

  // Sends a request to one gateway now. Its id and deadline are set here.
  void submit(std::size_t gateway, Request request) {
    request.id = ++last_request_;
    request.expires_at = now_ + settings_.classes[request.class_index].deadline_ms;
    ++counts_.requests;
    Member& member = *members_[gateway];
    member.pending.emplace(request.id, request);
    member.controller.on_request(now_, request, member.sink);
  }
  void submit_later(Ms after, std::size_t gateway, const Request& request) {
    schedule_in(after, [this, gateway, request] { submit(gateway, request); });
  }

  // Calls `action` at a time of the fleet's clock.
  void schedule_at(Ms when, std::function<void()> action) { schedule_in(when - now_, std::move(action)); }
  // Processes all events of the next `span` milliseconds.
  void wait(Ms span) {
    const Ms until = now_ + span;
    play_until(until);
    now_ = until;
  }

  // Submits a Poisson process of `rate` requests per second for `span` milliseconds, each to a random
  // gateway. `make_request` returns a request without id and deadline.
  template <class MakeRequest>
  void run(double rate, Ms span, MakeRequest&& make_request) {
    run_at(rate, span, [&](ModelFleet&) {
      Request request = make_request(*this);
      return std::pair{static_cast<std::size_t>(draw() * static_cast<double>(members_.size())), request};
    });
  }
  // Like `run`, but `make_request` returns the gateway and the request.
  template <class MakeRequest>
  void run_at(double rate, Ms span, MakeRequest&& make_request) {
    const Ms until = now_ + span;
    for (Ms next = now_ + exponential(1000 / rate); next < until; next += exponential(1000 / rate)) {
      play_until(next);
      now_ = next;
      const auto [gateway, request] = make_request(*this);
      submit(gateway, request);
    }
    play_until(until);
    now_ = until;
  }

 private:
  class Sink : public ActionSink {
   public:
    Sink(ModelFleet& fleet, std::size_t gateway) : fleet_(&fleet), gateway_(gateway) {}
    void send(RequestId request_id, HostId host_id, Ms) override {
      fleet_->send(gateway_, request_id, host_id);
    }
    void cancel(RequestId request_id, std::uint32_t attempt) override {
      fleet_->schedule_end(gateway_, request_id, attempt, Outcome::kCancelled, 0);
    }
    void reject(RequestId request_id, Ms after, RejectionReason reason) override {
      fleet_->on_request_rejected(gateway_, request_id, after, reason);
    }
    void fail(RequestId request_id, RejectionReason) override {
      fleet_->members_[gateway_]->pending.erase(request_id);
    }
    void schedule_timer(Ms after, std::uint64_t token) override {
      fleet_->schedule_in(after, [fleet = fleet_, gateway = gateway_, token] {
        fleet->members_[gateway]->controller.on_timer(fleet->now_, token, fleet->members_[gateway]->sink);
      });
    }
    void send_health_check(HostId) override {}
    void watch_hosts() override {}
    void poll_hosts() override {}
    void log(std::string_view) override {}

   private:
    ModelFleet* fleet_;
    std::size_t gateway_;
  };
  struct Attempt {
    HostId host = 0;
    Ms sent_at = 0;
    bool in_flight = true;
  };
  struct Member {
    AdmissionController controller;
    Sink sink;
    std::uint32_t zone;
    std::map<RequestId, Request> pending;
    std::map<RequestId, std::vector<Attempt>> attempts;
    std::map<HostId, Ms> last_used;
  };
  struct Event {
    Ms at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void schedule_in(Ms after, std::function<void()> action) {
    events_.push({now_ + std::max(after, 0.0), ++order_, std::move(action)});
  }
  void play_until(Ms until) {
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }
  void send(std::size_t gateway, RequestId request_id, HostId host_id) {
    auto& attempts = members_[gateway]->attempts[request_id];
    counts_.other_zone += zones_[host_id] != members_[gateway]->zone;
    if (attempts.empty()) {
      ++counts_.sent_requests;
      observer_.on_first_send(members_[gateway]->pending.at(request_id));
    }
    ++counts_.attempts;
    ++counts_.attempts_by_host[host_id];
    ++counts_.in_flight_by_host[host_id];
    const auto [last_used, is_new] = members_[gateway]->last_used.try_emplace(host_id, now_);
    if (is_new || now_ - std::exchange(last_used->second, now_) > kConnectionIdleMs) ++counts_.handshakes;
    const auto attempt = static_cast<std::uint32_t>(attempts.size());
    attempts.push_back({host_id, now_, true});
    const AttemptFate fate = host_model_(*this, host_id);
    if (fate.outcome != Outcome::kNotSent)
      schedule_end(gateway, request_id, attempt, fate.outcome, fate.after);
  }
  void on_request_rejected(std::size_t gateway, RequestId request_id, Ms after, RejectionReason reason) {
    const auto node = members_[gateway]->pending.extract(request_id);
    rejecting_gateway_ = gateway;
    observer_.on_rejected(node.mapped(), after, reason);
  }
  void schedule_end(std::size_t gateway, RequestId request_id, std::uint32_t attempt, Outcome outcome,
                    Ms after) {
    schedule_in(after, [this, gateway, request_id, attempt, outcome] {
      Member& member = *members_[gateway];
      Attempt& record = member.attempts[request_id][attempt];
      if (!record.in_flight) return;
      record.in_flight = false;
      --counts_.in_flight_by_host[record.host];
      if (outcome == Outcome::kOk) member.pending.erase(request_id);
      member.controller.on_attempt_end(
          now_,
          {request_id, attempt, record.host, outcome, now_ - record.sent_at, outcome == Outcome::kOk, {}, {}},
          member.sink);
    });
  }

  AdmissionSettings settings_;
  std::vector<HostEntry> list_;
  HostModel host_model_;
  std::mt19937_64 random_;
  Ms now_;
  RequestId last_request_ = 0;
  std::size_t restarts_ = 0;
  std::size_t rejecting_gateway_ = 0;
  std::uint64_t order_ = 0;
  Counts counts_;
  Observer observer_;
  std::map<HostId, std::uint32_t> zones_;
  std::vector<std::unique_ptr<Member>> members_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace cometfold::testing
