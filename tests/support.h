// Shared helpers: an action sink that records actions, basic settings, and a gateway with a simulated clock.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::testing {

struct RecordedAction {
  enum Kind {
    kSend,
    kCancel,
    kReject,
    kFail,
    kScheduleTimer,
    kHealthCheck,
    kWatchHosts,
    kPollHosts,
    kLog
  } kind;
  std::uint64_t id = 0;  // request or token
  HostId host = 0;
  double value = 0;                                      // milliseconds, or the attempt's index
  RejectionReason reason = RejectionReason::kMalformed;  // of rejections and failures
};

class RecordingSink : public ActionSink {
 public:
  std::vector<RecordedAction> actions;

  void send(RequestId r, HostId h, Ms t) override { actions.push_back({RecordedAction::kSend, r, h, t}); }
  void cancel(RequestId r, std::uint32_t a) override {
    actions.push_back({RecordedAction::kCancel, r, 0, double(a)});
  }
  void reject(RequestId r, Ms t, RejectionReason reason) override {
    actions.push_back({RecordedAction::kReject, r, 0, t, reason});
  }
  void fail(RequestId r, RejectionReason reason) override {
    actions.push_back({RecordedAction::kFail, r, 0, 0, reason});
  }
  void schedule_timer(Ms t, std::uint64_t token) override {
    actions.push_back({RecordedAction::kScheduleTimer, token, 0, t});
  }
  void send_health_check(HostId h) override { actions.push_back({RecordedAction::kHealthCheck, 0, h, 0}); }
  void watch_hosts() override { actions.push_back({RecordedAction::kWatchHosts, 0, 0, 0}); }
  void poll_hosts() override { actions.push_back({RecordedAction::kPollHosts, 0, 0, 0}); }
  void log(std::string_view) override { actions.push_back({RecordedAction::kLog, 0, 0, 0}); }

  std::size_t count(RecordedAction::Kind kind) const {
    return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(),
                                                  [&](const RecordedAction& a) { return a.kind == kind; }));
  }
  const RecordedAction* find(RecordedAction::Kind kind, std::uint64_t id) const {
    for (const auto& a : actions) {
      if (a.kind == kind && a.id == id) return &a;
    }
    return nullptr;
  }
  // Why this request was rejected or failed; empty if it was neither.
  std::optional<RejectionReason> rejection_reason(std::uint64_t id) const {
    for (const auto kind : {RecordedAction::kReject, RecordedAction::kFail}) {
      if (const RecordedAction* a = find(kind, id)) return a->reason;
    }
    return {};
  }
  std::vector<RecordedAction> take() { return std::exchange(actions, {}); }
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
  AdmissionController controller;
  RecordingSink sink;
  Ms now = 0;

  explicit Gateway(const AdmissionSettings& s, std::vector<HostEntry> hosts = {host(1), host(2), host(3)},
                   Ms start = 0, std::uint64_t seed = 7)
      : settings(s), controller(s, seed), now(start) {
    controller.start(now, sink);
    controller.on_host_list(now, HostListUpdate::kCached, hosts, sink);
    sink.take();
  }
  void update_hosts(HostListUpdate kind, std::vector<HostEntry> hosts) {
    controller.on_host_list(now, kind, hosts, sink);
  }
  // Passes a request to the controller. Returns whether an attempt was sent.
  bool submit(RequestId id, double units = 1, double spread = 2, CustomerId customer = 1,
              std::uint32_t cls = 0, Ms timeout = 4000) {
    controller.on_request(now, {id, cls, 0, customer, now + timeout, units, spread}, sink);
    return sink.find(RecordedAction::kSend, id) != nullptr;
  }
  void end_attempt(RequestId id, std::uint32_t attempt, HostId h, Outcome outcome, Ms duration = 50,
                   bool finished = false, std::optional<double> units = {}) {
    controller.on_attempt_end(
        now, {id, attempt, h, outcome, duration, finished || outcome == Outcome::kOk, units, {}}, sink);
  }
  void answer_all(Ms duration = 50) {
    for (const auto& a : sink.take()) {
      if (a.kind == RecordedAction::kSend) end_attempt(a.id, 0, a.host, Outcome::kOk, duration);
    }
  }
  void tick() { controller.on_timer(now, ~std::uint64_t{0}, sink); }
  // Advances the clock in steps of 100 ms, with a timer event after each.
  void advance(Ms span) {
    for (Ms left = span; left > 0; left -= 100) {
      now += std::min(left, 100.0);
      tick();
    }
  }
  // Submits `n` requests of different customers, each answered at once.
  RequestId complete_requests(RequestId id, int n) {
    for (int i = 0; i < n; ++i, ++id) {
      submit(id, 1, 2, 1'000'000 + id);
      answer_all();
    }
    return id;
  }
};

}  // namespace cometfold::testing
