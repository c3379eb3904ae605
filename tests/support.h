// Shared helpers: an action sink that records actions, basic settings, and a gateway with a simulated clock.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::testing {

struct Act {
  enum Kind { kSend, kCancel, kRefuse, kFail, kWake, kProbe, kFollow, kFetch, kNote } kind;
  std::uint64_t id = 0;  // request or token
  HostId host = 0;
  double value = 0;                                   // milliseconds, or the attempt's index
  RejectionReason why = RejectionReason::kMalformed;  // of rejections and failures
};

class Recorder : public ActionSink {
 public:
  std::vector<Act> acts;

  void send(RequestId r, HostId h, Ms t) override { acts.push_back({Act::kSend, r, h, t}); }
  void cancel(RequestId r, std::uint32_t a) override { acts.push_back({Act::kCancel, r, 0, double(a)}); }
  void reject(RequestId r, Ms t, RejectionReason why) override {
    acts.push_back({Act::kRefuse, r, 0, t, why});
  }
  void fail(RequestId r, RejectionReason why) override { acts.push_back({Act::kFail, r, 0, 0, why}); }
  void schedule_timer(Ms t, std::uint64_t token) override { acts.push_back({Act::kWake, token, 0, t}); }
  void send_health_check(HostId h) override { acts.push_back({Act::kProbe, 0, h, 0}); }
  void watch_hosts() override { acts.push_back({Act::kFollow, 0, 0, 0}); }
  void poll_hosts() override { acts.push_back({Act::kFetch, 0, 0, 0}); }
  void log(std::string_view) override { acts.push_back({Act::kNote, 0, 0, 0}); }

  std::size_t count(Act::Kind kind) const {
    return static_cast<std::size_t>(
        std::count_if(acts.begin(), acts.end(), [&](const Act& a) { return a.kind == kind; }));
  }
  const Act* of(Act::Kind kind, std::uint64_t id) const {
    for (const auto& a : acts) {
      if (a.kind == kind && a.id == id) return &a;
    }
    return nullptr;
  }
  // Why this request was rejected or failed; empty if it was neither.
  std::optional<RejectionReason> why(std::uint64_t id) const {
    for (const auto kind : {Act::kRefuse, Act::kFail}) {
      if (const Act* a = of(kind, id)) return a->why;
    }
    return {};
  }
  std::vector<Act> take() { return std::exchange(acts, {}); }
};

inline AdmissionSettings plain_settings(std::size_t classes = 1) {
  AdmissionSettings s;
  s.classes.resize(classes);
  for (auto& c : s.classes) c = {1000, 4000, 1, 0, Idempotency::kIdempotent, IdempotencyScope::kNone, 0};
  s.plans.resize(1);
  s.plans[0].quota_rate = 4;
  s.plans[0].quota_burst = 8;
  s.plans[0].over_quota_cost = 1;
  s.gateway_count = 2;
  s.hedging_allowed = true;
  s.cancellation_allowed = true;
  s.retry_after_allowed = true;
  s.max_attempts = 4;
  s.max_retry_after_ms = 100000;
  s.min_event_interval_ms = 4;
  s.slow_start_initial_weight = 0.2;
  s.slow_start_duration_ms = 10000;
  s.overload_factor = 2;
  s.overload_window_ms = 1000;
  return s;
}

inline HostEntry host(HostId id, HostState state = HostState::kReady, Ms started = 0,
                      std::uint32_t zone = 0) {
  return {id, state, started, 0, zone, zone * 10, 1};
}

// An admission controller with its action sink and a simulated clock.
struct Gateway {
  AdmissionSettings settings;
  AdmissionController control;
  Recorder out;
  Ms now = 0;

  explicit Gateway(const AdmissionSettings& s, std::vector<HostEntry> hosts = {host(1), host(2), host(3)},
                   Ms start = 0, std::uint64_t seed = 7)
      : settings(s), control(s, seed), now(start) {
    control.start(now, out);
    control.on_host_list(now, HostListUpdate::kCached, hosts, out);
    out.take();
  }
  void list(HostListUpdate kind, std::vector<HostEntry> hosts) {
    control.on_host_list(now, kind, hosts, out);
  }
  // Passes a request to the controller. Returns whether an attempt was sent.
  bool ask(RequestId id, double units = 1, double spread = 2, CustomerId customer = 1, std::uint32_t cls = 0,
           Ms lasts = 4000) {
    control.on_request(now, {id, cls, 0, customer, now + lasts, units, spread}, out);
    return out.of(Act::kSend, id) != nullptr;
  }
  void end(RequestId id, std::uint32_t attempt, HostId h, Outcome outcome, Ms took = 50,
           bool finished = false, std::optional<double> units = {}) {
    control.on_attempt_end(
        now, {id, attempt, h, outcome, took, finished || outcome == Outcome::kOk, units, {}}, out);
  }
  void answer_all(Ms took = 50) {
    for (const auto& a : out.take()) {
      if (a.kind == Act::kSend) end(a.id, 0, a.host, Outcome::kOk, took);
    }
  }
  void tick() { control.on_timer(now, ~std::uint64_t{0}, out); }
  void wait(Ms span) {  // in steps of 100 ms, with a timer event after each
    for (Ms left = span; left > 0; left -= 100) {
      now += std::min(left, 100.0);
      tick();
    }
  }
  RequestId fill(RequestId id, int n) {  // n requests of different customers, each answered at once
    for (int i = 0; i < n; ++i, ++id) {
      ask(id, 1, 2, 1'000'000 + id);
      answer_all();
    }
    return id;
  }
};

}  // namespace cometfold::testing
