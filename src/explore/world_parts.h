// What a world is made of: its streams, its clients, the module's two parts and the gateway under test. Only
// for the files of World.
#pragma once

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

#include "engine/controller_policy.h"
#include "explore/world.h"
#include "resp/resp_reader.h"
#include "resp/resp_writer.h"

namespace cometfold::explore {

using engine::Engine;
using rules::Event;

inline constexpr Ms kConnectTimeoutMs = 120;
inline constexpr Ms kReuseDelayMs = 25;
inline constexpr Ms kShutdownTimeoutMs = 150;
inline constexpr Ms kReplySlackMs = 1;
inline constexpr HostId kFirstHost = 1;

inline std::string hex(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

inline std::string write_label(std::size_t i) {
  return i == 0 ? "all can be written" : "all but the last byte can be written";
}

inline const char* name_of(Idempotency repeat) {
  switch (repeat) {
    case Idempotency::kIdempotent:
      return "safe";
    case Idempotency::kIdempotencyKey:
      return "keyed";
    case Idempotency::kNonIdempotent:
      return "unsafe";
  }
  return "";
}

inline AdmissionSettings settings_of(const Scenario& s) {
  AdmissionSettings set;
  for (const auto repeat :
       {Idempotency::kIdempotent, Idempotency::kIdempotencyKey, Idempotency::kNonIdempotent}) {
    ClassSettings c;
    c.deadline_ms = s.client_timeout_ms;
    c.latency_objective_ms = s.latency_objective_ms;
    c.idempotency = repeat;
    if (repeat == Idempotency::kIdempotencyKey)
      c.idempotency_scope = s.idempotency_scope, c.idempotency_key_ttl_ms = 10'000;
    set.classes.push_back(c);
  }
  PlanSettings plan;
  plan.quota_rate = plan.quota_burst = 1000;
  set.plans = {plan};
  set.hedging_allowed = s.hedging_allowed;
  set.cancellation_allowed = s.cancellation_allowed;
  set.retry_after_allowed = true;
  set.max_attempts = s.max_attempts;
  set.max_retry_after_ms = 1000;
  set.min_event_interval_ms = 4;
  set.slow_start_initial_weight = 0.2;
  set.slow_start_duration_ms = 1000;
  set.overload_factor = 2;
  set.overload_window_ms = 1000;
  return set;
}

inline rules::RuleMonitors::Tolerances tolerances() {
  return {.reply_slack_ms = kReplySlackMs, .drain_grace_ms = 0, .ceiling_slack_ms = 150};
}

inline std::string reply_bytes(const std::string& value) {
  std::string text;
  resp::append_array(text, 3);
  resp::append_bulk(text, value);
  return text + "$-1\r\n$7\r\ndepth=0\r\n";
}

inline HostEntry host_entry(HostId id, HostState state, Ms started_at = 0) {
  return {id, state, started_at, 0, 0, id, 1};
}

// A connection as the world sees it. Its peer is a simulated host or client.
struct World::Connection {
  std::uint64_t id = 0;
  bool to_host = false;
  HostId host = 0;  // whose process it reaches
  std::size_t client = 0;
  enum { kConnecting, kUp, kClosed } state = kConnecting;
  std::weak_ptr<resp::StreamCallbacks> callbacks;
  Ms connect_by = 0;
  std::span<char> read_buffer;
  bool reading = false, awaits_close = false, awaits_writable = false, blocked = false, posted = false;
  std::string incoming;  // has arrived and is not read
  bool peer_closed = false;
  bool send_shutdown = false;      // the gateway sends no more: what comes now crosses its close
  bool stalled = false;            // its peer is slow: time may pass before it does anything
  std::string sent;                // by the gateway, of the request that is being written
  std::uint64_t request = 0;       // whose bytes those are
  bool request_complete = false;   // it has come whole and has no answer
  std::size_t attempt_number = 0;  // of the request's sends, from 1
};

struct World::Client {
  std::shared_ptr<Connection> connection;
  std::vector<std::size_t> requests;  // to be sent on this connection, in order
  std::size_t sent_count = 0;
  struct ExpectedReply {
    std::uint64_t request = 0;  // 0: a mistake, owed an error
  };
  std::vector<ExpectedReply> expected_replies;  // answers still to come, in order
  resp::RespReader reader{resp::RespLimits{}, false};
  bool disconnected = false;
};

class World::SimulatedStream : public resp::Stream {
 public:
  SimulatedStream(World& world, std::shared_ptr<Connection> conn)
      : world_(world), connection_(std::move(conn)) {}

  WriteResult write(std::string_view bytes) override {
    Connection& c = *connection_;
    if (c.state == Connection::kClosed || c.peer_closed) return {0, false, true};
    if (c.blocked) return {0, true, false};
    std::size_t n = bytes.size();
    if (world_.scenario_.enabled_faults.partial_write && world_.faults_left_ > 0 && n > 1 &&
        world_.chooser_.choose(2, write_label) == 1) {
      --world_.faults_left_;
      c.blocked = true;
      n -= 1;
    }
    c.sent += bytes.substr(0, n);
    c.to_host ? world_.receive_at_host(c) : world_.receive_at_client(c);
    return {n, false, false};
  }
  void await_writable() override { connection_->awaits_writable = true; }
  void read(std::span<char> space) override {
    connection_->read_buffer = space;
    connection_->reading = true;
  }
  void await_peer_close() override {
    connection_->reading = false;
    connection_->awaits_close = true;
  }
  void post() override { connection_->posted = true; }
  std::size_t unread_bytes() override { return connection_->incoming.size(); }
  bool is_quiet() override { return connection_->incoming.empty() && !connection_->peer_closed; }
  bool peer_closed() override { return connection_->peer_closed; }
  void shutdown_send() override {
    connection_->send_shutdown = true;
    if (!world_.clients_[connection_->client].expected_replies.empty()) {
      world_.report_violation("no request lost", "the gateway ended a connection on which it owes an answer");
    }
  }
  void close() override {
    if (std::exchange(connection_->state, Connection::kClosed) == Connection::kClosed) return;
    if (connection_->to_host) {
      world_.end_attempt(*connection_, false);
    } else if (!world_.clients_[connection_->client].expected_replies.empty() && !connection_->peer_closed) {
      world_.report_violation("no request lost",
                              "the gateway closed a connection on which it owes an answer");
    }
  }

 private:
  World& world_;
  std::shared_ptr<Connection> connection_;
};

// Passes on, and remembers what was told: a deterministic module's state is a function of that. Also judges
// that each attempt's end is told once.
class World::RecordingPolicy : public engine::AdmissionPolicy, private ActionSink {
 public:
  RecordingPolicy(World& world, std::unique_ptr<engine::AdmissionPolicy> inner)
      : world_(world), inner_(std::move(inner)) {}

  void start(Ms now, ActionSink& out) override {
    forward(out, [&] { inner_->start(now, *this); });
  }
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                    ActionSink& out) override {
    record(now, 1);
    for (const auto& e : entries) {
      world_.policy_input_.add(std::uint64_t{e.id} << 2 | static_cast<std::uint64_t>(e.state));
      world_.policy_input_.add(e.started_at);
    }
    forward(out, [&] { inner_->on_host_list(now, kind, entries, *this); });
  }
  void on_request(Ms now, const Request& request, ActionSink& out) override {
    record(now, 2);
    world_.policy_input_.add(request.id);
    forward(out, [&] { inner_->on_request(now, request, *this); });
  }
  void on_attempt_end(Ms now, const AttemptResult& e, ActionSink& out) override {
    record(now, 3);
    world_.policy_input_.add(e.request << 8 | e.attempt);
    world_.policy_input_.add(std::uint64_t{e.host} << 8 | static_cast<std::uint64_t>(e.outcome) << 1 |
                             std::uint64_t{e.request_finished});
    if (!in_flight_.erase({e.request, e.attempt})) {
      world_.report_violation("the engine's promise",
                              "the module was told of an attempt's end that is not out");
    }
    forward(out, [&] { inner_->on_attempt_end(now, e, *this); });
  }
  void on_client_disconnected(Ms now, RequestId request, ActionSink& out) override {
    record(now, 4);
    world_.policy_input_.add(request);
    forward(out, [&] { inner_->on_client_disconnected(now, request, *this); });
  }
  void on_timer(Ms now, std::uint64_t token, ActionSink& out) override {
    record(now, 5);
    world_.policy_input_.add(token);
    forward(out, [&] { inner_->on_timer(now, token, *this); });
  }
  std::size_t in_flight_count() const { return in_flight_.size(); }

 private:
  void record(Ms now, std::uint64_t kind) {
    world_.policy_input_.add(now);
    world_.policy_input_.add(kind);
  }
  template <class Call>
  void forward(ActionSink& out, Call&& call) {
    ActionSink* const before = std::exchange(sink_, &out);
    const std::unique_ptr<ActionSink*, std::function<void(ActionSink**)>> back(
        &sink_, [before](ActionSink** to) { *to = before; });
    call();
  }
  // The engine knows attempts by their number among a request's sends; sends for what it has never taken, or
  // has forgotten, are none.
  void send(RequestId r, HostId h, Ms t) override {
    world_.log("  module: send request " + std::to_string(r) + " to host " + std::to_string(h));
    in_flight_.insert({r, attempt_counts_[r]++});
    sink_->send(r, h, t);
  }
  void cancel(RequestId r, std::uint32_t a) override {
    world_.log("  module: cancel attempt " + std::to_string(a) + " of request " + std::to_string(r));
    sink_->cancel(r, a);
  }
  void reject(RequestId r, Ms t, RejectionReason why) override {
    world_.log("  module: refuse request " + std::to_string(r));
    sink_->reject(r, t, why);
  }
  void fail(RequestId r, RejectionReason why) override {
    world_.log("  module: fail request " + std::to_string(r));
    sink_->fail(r, why);
  }
  void schedule_timer(Ms t, std::uint64_t token) override { sink_->schedule_timer(t, token); }
  void send_health_check(HostId) override {}
  void watch_hosts() override {}
  void poll_hosts() override {}
  void log(std::string_view text) override { world_.log("  module: " + std::string(text)); }

  World& world_;
  std::unique_ptr<engine::AdmissionPolicy> inner_;
  ActionSink* sink_ = nullptr;
  std::map<RequestId, std::uint32_t> attempt_counts_;
  std::set<std::pair<RequestId, std::uint32_t>> in_flight_;
};

// Decides anything that the interface can express, the unlawful too: sends after the end and to hosts that
// are gone, cancels of what has ended, second answers, throws.
class World::ArbitraryPolicy : public engine::AdmissionPolicy {
 public:
  explicit ArbitraryPolicy(World& world) : world_(world), actions_left_(world.scenario_.max_policy_actions) {}

  void start(Ms, ActionSink&) override {}
  void on_host_list(Ms, HostListUpdate, std::span<const HostEntry>, ActionSink& out) override {
    if (requests_.empty()) return;  // the first list: nothing to decide yet
    take_actions(out, requests_.back(), "told a list", false);
  }
  void on_request(Ms, const Request& q, ActionSink& out) override {
    requests_.push_back(q.id);
    out.schedule_timer(100, q.id);
    ++actions_left_;  // the first act on a request is free
    take_actions(out, q.id, "asked", true);
  }
  void on_attempt_end(Ms, const AttemptResult& e, ActionSink& out) override {
    take_actions(out, e.request, "told an end", false);
  }
  void on_client_disconnected(Ms, RequestId r, ActionSink& out) override {
    take_actions(out, r, "told gone", false);
  }
  void on_timer(Ms, std::uint64_t token, ActionSink& out) override {
    take_actions(out, token, "woken", false);
  }
  void digest(engine::Digest& into) const {
    into.add(static_cast<std::uint64_t>(actions_left_));
    for (const auto r : requests_) into.add(r);
  }

 private:
  struct Action {
    enum Kind { kNothing, kSend, kReject, kFail, kCancel, kThrow } kind;
    std::uint32_t target = 0;  // host or attempt
    std::string label;
  };

  std::vector<Action> possible_actions(bool fresh) const {
    std::vector<Action> all;
    if (!fresh) all.push_back({Action::kNothing, 0, "nothing more"});
    for (const auto& e : world_.hosts_)
      all.push_back({Action::kSend, e.id, "send to " + std::to_string(e.id)});
    all.push_back({Action::kReject, 0, "refuse"});
    all.push_back({Action::kFail, 0, "fail"});
    all.push_back({Action::kCancel, 0, "cancel 0"});
    all.push_back({Action::kCancel, 1, "cancel 1"});
    all.push_back({Action::kThrow, 0, "throw"});
    if (fresh) all.push_back({Action::kNothing, 0, "nothing more"});
    return all;
  }

  // One or more acts about a request; the first option is the plain one.
  void take_actions(ActionSink& out, RequestId r, const char* when, bool fresh) {
    while (actions_left_ > 0) {
      const auto all = possible_actions(std::exchange(fresh, false));
      const Action& picked = all[world_.chooser_.choose(
          all.size(), [&](std::size_t i) { return std::string("module, ") + when + ": " + all[i].label; })];
      if (picked.kind == Action::kNothing) return;
      --actions_left_;
      if (picked.kind == Action::kSend) out.send(r, picked.target, 0);
      if (picked.kind == Action::kReject) out.reject(r, 10, RejectionReason::kLoadShed);
      if (picked.kind == Action::kFail) out.fail(r, RejectionReason::kAttemptsExhausted);
      if (picked.kind == Action::kCancel) out.cancel(r, picked.target);
      world_.cover(CoverageGoal::kPolicyThrew, picked.kind == Action::kThrow);
      world_.cover(CoverageGoal::kPolicyActedAfterReply,
                   picked.kind != Action::kCancel && world_.answered_at_.contains(r));
      if (picked.kind == Action::kThrow) throw std::runtime_error("as chosen");
    }
  }

  World& world_;
  int actions_left_;
  std::vector<RequestId> requests_;
};

struct World::Gateway {
  Gateway(World& world, const AdmissionSettings& settings)
      : arbitrary_policy(nullptr),
        policy(make_policy(world, settings)),
        pool(world, world,
             resp::HostPoolLimits{.connect_timeout_ms = kConnectTimeoutMs,
                                  .max_connections = 8,
                                  .max_connections_per_host = 4,
                                  .reuse_delay_ms = kReuseDelayMs},
             [&world](std::string_view what, std::string_view why) {
               world.log("  pool: " + std::string(what) + ", " + std::string(why));
             }),
        engine(*policy, pool,
               {.max_open_requests = 10,
                .max_payload_bytes = 1000,
                .deadline_margin_ms = 0,
                .shutdown_timeout_ms = kShutdownTimeoutMs},
               [&world](std::string_view what, std::string_view detail) {
                 world.log("  engine: " + std::string(what) + " " + std::string(detail));
               }),
        handler(engine, world,
                {{"safe", "keyed", "unsafe"},
                 {"team"},
                 {Idempotency::kIdempotent, Idempotency::kIdempotencyKey, Idempotency::kNonIdempotent},
                 1,
                 4}) {}

  std::unique_ptr<RecordingPolicy> make_policy(World& world, const AdmissionSettings& settings) {
    std::unique_ptr<engine::AdmissionPolicy> inner;
    if (world.scenario_.real_policy) {
      inner = std::make_unique<engine::ControllerPolicy>(settings, 7);
    } else {
      auto module = std::make_unique<ArbitraryPolicy>(world);
      arbitrary_policy = module.get();
      inner = std::move(module);
    }
    return std::make_unique<RecordingPolicy>(world, std::move(inner));
  }

  ArbitraryPolicy* arbitrary_policy;
  std::unique_ptr<RecordingPolicy> policy;
  resp::HostPool pool;
  Engine engine;
  resp::RespHandler handler;
  resp::ClientTotals totals;
  std::map<std::uint64_t, std::shared_ptr<resp::ClientConnection>> clients;
};

}  // namespace cometfold::explore
