#include "simulated_day.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <utility>

namespace action_stream {

using namespace cometfold;

namespace {

constexpr Ms kRushPeriodMs = 4000;  // every third of these periods is a rush
constexpr Ms kFirstListChangeMs = 500;
constexpr Ms kPredecessorLifetimeMs = 3000;  // after the start of its successor
constexpr Ms kSilenceMs = 3000;              // a silent host is silent in every fifth of these periods
constexpr Ms kHealthCheckMs = 15;
constexpr HostId kSlowHost = 3;
constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();

}  // namespace

SimulatedDay::SimulatedDay(const Scenario& scenario, std::uint64_t seed)
    : settings_(scenario.settings),
      surroundings_(scenario.surroundings),
      succession_(scenario.succession),
      random_(seed),
      seed_(seed),
      controller_(settings_, seed),
      now_(surroundings_.start_ms) {}

void SimulatedDay::run(std::size_t requests) {
  controller_.start(now_, *this);
  for (HostId host = 1; host <= surroundings_.hosts; ++host)
    list_.push_back(entry(host, HostState::kReady, 0));
  controller_.on_host_list(now_, HostListUpdate::kCached, list_, *this);
  push(now_ + 1, {.kind = EventKind::kRequest});
  push(now_ + kFirstListChangeMs, {.kind = EventKind::kList});
  const std::size_t succession_at = succession_ == Succession::kNone ? requests : requests / 3;
  while (!queue_.empty() && submitted_requests_ < requests) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = event.at;
    handle(event);
    if (submitted_requests_ == succession_at && event.kind == EventKind::kRequest) start_succession();
  }
  add(std::uint64_t{controller_.excluded_host_count(now_)});
}

HostEntry SimulatedDay::entry(HostId id, HostState state, Ms started_at) const {
  return {id, state, started_at, id % 3, id % 2, id % 4, 1};
}

void SimulatedDay::push(Ms at, Event event) {
  event.at = at;
  event.order = ++order_;
  queue_.push(event);
}

void SimulatedDay::handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kRequest:
      return request();
    case EventKind::kAttemptEnd:
      in_flight_[event.end.host] -= 1;
      return controller_.on_attempt_end(now_, event.end, *this);
    case EventKind::kStreamStarted:
      return controller_.on_stream_started(now_, event.end.request, event.end.attempt, *this);
    case EventKind::kTimer:
      return controller_.on_timer(now_, event.token, *this);
    case EventKind::kClientDisconnected:
      return controller_.on_client_disconnected(now_, event.token, *this);
    case EventKind::kList:
      return change_list();
    case EventKind::kHealthCheckEnd: {
      const auto host = static_cast<HostId>(event.token);
      return controller_.on_health_check_end(now_, host, kHealthCheckMs, draw() < 0.8, draw_report(host),
                                             *this);
    }
    case EventKind::kSuccession:
      return take_over_state();
    case EventKind::kPredecessorEnd:
      return controller_.on_predecessor_exited(now_);
  }
}

void SimulatedDay::request() {
  const std::uint64_t id = ++submitted_requests_;
  Request submitted{id, 0, 0, 0, 0, 1, 1, false};
  submitted.class_index = static_cast<std::uint32_t>(draw() * static_cast<double>(settings_.classes.size()));
  submitted.plan_index = static_cast<std::uint32_t>(draw() * static_cast<double>(settings_.plans.size()));
  submitted.customer =
      static_cast<CustomerId>(draw() * draw() * static_cast<double>(surroundings_.customers)) +
      10'000 * submitted.plan_index;
  if (chance(0.01))
    submitted.customer = 10'000 + static_cast<CustomerId>(draw() * 4);  // a customer changes its plan
  submitted.expires_at = now_ + 800 + 1200 * draw();
  submitted.units = 1 + std::floor(draw() * surroundings_.max_units);
  submitted.gateway_count = 1 + std::floor(draw() * surroundings_.gateways_per_customer);
  submitted.is_client_retry = draw() < surroundings_.client_retries;
  if (chance(0.1))
    submitted.bounds = {
        .max_attempts = 2, .hedging_allowed = false, .attempt_timeout_ms = 400, .retry_window_ms = 300};
  if (chance(surroundings_.malformed)) submitted.class_index = 99;
  if (chance(surroundings_.malformed)) submitted.units = submitted.gateway_count = kNotANumber;
  if (chance(surroundings_.malformed)) submitted.expires_at = kNotANumber;
  if (chance(surroundings_.malformed)) submitted.id = id - 1;
  requests_[submitted.id] = submitted;
  controller_.on_request(now_, submitted, *this);
  if (draw() < surroundings_.client_disconnects)
    push(now_ + 300 * draw(), {.kind = EventKind::kClientDisconnected, .token = id});
  const bool rush = static_cast<std::uint64_t>(now_ / kRushPeriodMs) % 3 == 2;
  const Ms gap = surroundings_.request_gap_ms * (rush ? surroundings_.rush : 1.0) * draw();
  push(now_ + gap, {.kind = EventKind::kRequest});
}

void SimulatedDay::change_list() {
  if (chance(surroundings_.list_fails)) {
    controller_.on_host_list(now_, HostListUpdate::kFailed, {}, *this);
  } else if (chance(surroundings_.list_is_snapshot)) {
    replace_list();
  } else {
    HostEntry& changed = list_[static_cast<std::size_t>(draw() * static_cast<double>(list_.size()))];
    const double position = draw();
    const HostState state = position < 0.5   ? HostState::kReady
                            : position < 0.8 ? HostState::kDraining
                                             : HostState::kRemoved;
    changed = entry(changed.id, state, state == HostState::kReady ? now_ : changed.started_at);
    controller_.on_host_list(now_, HostListUpdate::kDelta, std::span(&changed, 1), *this);
  }
  push(now_ + surroundings_.list_gap_ms * draw(), {.kind = EventKind::kList});
}

void SimulatedDay::replace_list() {
  if (chance(surroundings_.all_hosts_removed)) {
    controller_.on_host_list(now_, HostListUpdate::kSnapshot, {}, *this);
    return;
  }
  std::vector<HostEntry> snapshot;
  for (auto& host : list_) {
    if (chance(0.1)) host = entry(host.id, HostState::kReady, host.started_at > 0 ? 0 : now_);
    if (draw() < 0.9) snapshot.push_back(host);
  }
  if (chance(0.2)) snapshot.push_back(HostEntry::removed(surroundings_.hosts + 1));  // an unknown host
  controller_.on_host_list(now_, HostListUpdate::kSnapshot, snapshot, *this);
}

void SimulatedDay::start_succession() {
  switch (succession_) {
    case Succession::kNone:
      return;
    case Succession::kNewSettings:
      return use_new_settings();
    case Succession::kHandOver:
      // Events before the successor's start are still the predecessor's.
      controller_.export_handover(now_);
      push(now_ + kPredecessorLifetimeMs / 2, {.kind = EventKind::kSuccession});
      return;
    case Succession::kUnknown:
      push(now_, {.kind = EventKind::kSuccession});
  }
}

void SimulatedDay::take_over_state() {
  HandoverSnapshot state = controller_.export_handover(now_);
  for (const auto& customer : state.customers) {
    add(customer.id);
    for (const double value :
         {customer.gateway_count, customer.quota_level, customer.undivided_quota_level,
          customer.ceiling_level, customer.demand, customer.idle_ms, customer.attempts_in_flight}) {
      add(value);
    }
    for (const double level : customer.class_levels) add(level);
  }
  for (const auto& host : state.hosts) {
    add(std::uint64_t{host.id});
    for (const double value : {host.uptime_ms, host.relative_latency, host.failure_rate, host.reported_load,
                               host.proven_rate, host.ejection_remaining_ms}) {
      add(value);
    }
  }
  for (const double latency : state.class_latency_ms) add(latency);
  add(state.unloaded_latency_ms);
  add(state.age_ms);
  if (!state.customers.empty())
    state.customers.front().plan_index = 99;  // a plan that the successor does not have

  controller_ = AdmissionController(settings_, seed_ + 1);
  controller_.start(now_, *this);
  controller_.on_host_list(now_, HostListUpdate::kCached, list_, *this);
  if (succession_ == Succession::kUnknown) {
    controller_.assume_unknown_predecessor(now_);
  } else {
    controller_.import_handover(now_, state);
  }
  push(now_ + kPredecessorLifetimeMs, {.kind = EventKind::kPredecessorEnd});
}

void SimulatedDay::use_new_settings() {
  settings_.classes.push_back(settings_.classes.front());
  settings_.classes.back().priority_weight = 4;
  settings_.plans.push_back(settings_.plans.front());
  settings_.plans[0].quota_burst = 30;
  controller_.update_settings(now_, settings_);
}

bool SimulatedDay::is_silent(HostId host) const {
  const auto span = static_cast<std::uint64_t>(now_ / kSilenceMs);
  return host <= surroundings_.silent_hosts * surroundings_.hosts && (span + host) % 5 == 0;
}

Outcome SimulatedDay::draw_outcome(const Request& request) {
  double remaining = draw();
  const bool last_class = request.class_index + 1 == settings_.classes.size();
  const bool last_plan = request.plan_index + 1 == settings_.plans.size();
  const bool all_may_be_overloaded = !surroundings_.overloaded_by_class && !surroundings_.overloaded_by_plan;
  const bool may_be_overloaded = all_may_be_overloaded || (surroundings_.overloaded_by_class && last_class) ||
                                 (surroundings_.overloaded_by_plan && last_plan);
  const std::pair<Outcome, double> bad[] = {
      {Outcome::kError, surroundings_.error},
      {Outcome::kConnectionLost, surroundings_.connection_lost},
      {Outcome::kOverloaded, may_be_overloaded ? surroundings_.overloaded : 0},
      {Outcome::kConnectFailed, surroundings_.connect_failed},
      {Outcome::kNotSent, surroundings_.not_sent}};
  for (const auto& [outcome, probability] : bad) {
    if (remaining < probability) return outcome;
    remaining -= probability;
  }
  return Outcome::kOk;
}

LoadReport SimulatedDay::draw_report(HostId host) {
  LoadReport report;
  if (chance(surroundings_.reports_queue)) report.queue_length = in_flight_[host] / 2;
  if (chance(surroundings_.reports_in_flight)) report.in_flight = in_flight_[host];
  if (chance(surroundings_.reports_utilization)) report.utilization = draw();
  return report;
}

void SimulatedDay::add(std::uint64_t word) {
  fingerprint_ = (fingerprint_ ^ word) * 0x9fb21c651e98df25u;
  fingerprint_ ^= fingerprint_ >> 29;
}

void SimulatedDay::add(double number) { add(std::bit_cast<std::uint64_t>(number)); }

void SimulatedDay::count(ActionKind kind, std::uint64_t about, double value) {
  ++actions_;
  ++counts_[kind];
  add(std::uint64_t{kind});
  add(about);
  add(value);
}

void SimulatedDay::send(RequestId request, HostId host, Ms attempt_timeout_ms) {
  count(kSend, request << 12 | host, attempt_timeout_ms);
  const Request& pending = requests_[request];
  auto& attempts = attempts_[request];
  AttemptResult end{request, static_cast<std::uint32_t>(attempts.size()), host, Outcome::kOk, 0, false, {},
                    {}};
  attempts.push_back(host);
  const double slowdown = 1 + surroundings_.slowdown_per_attempt * (in_flight_[host] += 1);
  end.duration_ms =
      (20 + surroundings_.service_ms * draw() * draw()) * slowdown * (host == kSlowHost ? 4 : 1);
  end.outcome = draw_outcome(pending);
  if (end.outcome == Outcome::kConnectFailed || end.outcome == Outcome::kNotSent) end.duration_ms = 2;
  const Ms max_duration =
      attempt_timeout_ms > 0 ? attempt_timeout_ms : std::max(pending.expires_at - now_, 0.0);
  if (is_silent(host)) end.duration_ms = 60'000;
  if (end.duration_ms > max_duration) {
    end.duration_ms = max_duration;
    end.outcome = Outcome::kTimedOut;
  }
  end.request_finished = end.outcome == Outcome::kOk;
  end.load_report = draw_report(host);
  if (chance(surroundings_.reports_actual_units)) end.actual_units = pending.units * (0.5 + draw());
  if (end.outcome == Outcome::kOk && chance(surroundings_.streamed)) {
    push(now_ + end.duration_ms / 2, {.kind = EventKind::kStreamStarted, .end = end});
  }
  push(now_ + end.duration_ms, {.kind = EventKind::kAttemptEnd, .end = end});
}

void SimulatedDay::cancel(RequestId request, std::uint32_t attempt) {
  count(kCancel, request << 12 | attempt, 0);
  if (!surroundings_.cancelling_ends_attempts) return;
  const HostId host = attempts_[request][attempt];
  in_flight_[host] += 1;  // its end is handled twice: now, and at its original time
  AttemptResult end{request, attempt, host, Outcome::kCancelled, 1, false, {}, {}};
  push(now_ + 1, {.kind = EventKind::kAttemptEnd, .end = end});
}

void SimulatedDay::reject(RequestId request, Ms retry_after, RejectionReason reason) {
  count(kReject, request << 8 | static_cast<std::uint64_t>(reason), retry_after);
}

void SimulatedDay::fail(RequestId request, RejectionReason reason) {
  count(kFail, request << 8 | static_cast<std::uint64_t>(reason), 0);
}

void SimulatedDay::schedule_timer(Ms after, std::uint64_t token) {
  count(kTimer, token, after);
  push(now_ + after, {.kind = EventKind::kTimer, .token = token});
}

void SimulatedDay::send_health_check(HostId host) {
  count(kHealthCheck, host, 0);
  push(now_ + kHealthCheckMs, {.kind = EventKind::kHealthCheckEnd, .token = host});
}

}  // namespace action_stream
