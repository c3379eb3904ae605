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

#include "explore/world.h"
#include "resp/resp_reader.h"
#include "resp/resp_writer.h"

namespace cometfold::explore {

using engine::Engine;
using rules::Event;

inline constexpr Ms kConnectTimeout = 120;
inline constexpr Ms kRest = 25;
inline constexpr Ms kSettleWithin = 150;
inline constexpr Ms kAnswerSlack = 1;
inline constexpr HostId kFirstHost = 1;

inline std::string hex(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

inline std::string part_label(std::size_t i) {
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
    c.deadline_ms = s.wait;
    c.latency_objective_ms = s.aim;
    c.idempotency = repeat;
    if (repeat == Idempotency::kIdempotencyKey)
      c.idempotency_scope = s.group, c.idempotency_key_ttl_ms = 10'000;
    set.classes.push_back(c);
  }
  PlanSettings plan;
  plan.quota_rate = plan.quota_burst = 1000;
  set.plans = {plan};
  set.hedging_allowed = s.second_copies;
  set.cancellation_allowed = s.may_cancel;
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

inline rules::RuleMonitors::Tolerances figures() {
  return {.reply_slack_ms = kAnswerSlack, .drain_grace_ms = 0, .ceiling_slack_ms = 150};
}

inline std::string served(const std::string& value) {
  std::string text;
  resp::append_array(text, 3);
  resp::append_bulk(text, value);
  return text + "$-1\r\n$7\r\ndepth=0\r\n";
}

inline HostEntry entry(HostId id, HostState state, Ms started_at = 0) {
  return {id, state, started_at, 0, 0, id, 1};
}

// A connection as the world sees it. Its peer is a simulated host or client.
struct World::Conn {
  std::uint64_t id = 0;
  bool to_host = false;
  HostId host = 0;  // whose process it reaches
  std::size_t client = 0;
  enum { kConnecting, kUp, kClosed } state = kConnecting;
  std::weak_ptr<resp::StreamCallbacks> events;
  Ms connect_by = 0;
  std::span<char> space;
  bool reading = false, awaits_end = false, awaits_room = false, blocked = false, later = false;
  std::string incoming;  // has arrived and is not read
  bool peer_ended = false;
  bool shut = false;          // the gateway sends no more: what comes now crosses its close
  bool stalled = false;       // its peer is slow: time may pass before it does anything
  std::string sent;           // by the gateway, of the request that is being written
  std::uint64_t request = 0;  // whose bytes those are
  bool whole = false;         // it has come whole and has no answer
  std::size_t number = 0;     // of the request's sends, from 1
};

struct World::Client {
  std::shared_ptr<Conn> conn;
  std::vector<std::size_t> requests;  // to be sent on this connection, in order
  std::size_t sent = 0;
  struct Owed {
    std::uint64_t request = 0;  // 0: a mistake, owed an error
  };
  std::vector<Owed> owed;  // answers still to come, in order
  resp::RespReader reader{resp::RespLimits{}, false};
  bool gone = false;
};

class World::SimStream : public resp::Stream {
 public:
  SimStream(World& world, std::shared_ptr<Conn> conn) : world_(world), conn_(std::move(conn)) {}

  WriteResult write(std::string_view bytes) override {
    Conn& c = *conn_;
    if (c.state == Conn::kClosed || c.peer_ended) return {0, false, true};
    if (c.blocked) return {0, true, false};
    std::size_t n = bytes.size();
    if (world_.scenario_.menu.partial && world_.faults_left_ > 0 && n > 1 &&
        world_.chooser_.choose(2, part_label) == 1) {
      --world_.faults_left_;
      c.blocked = true;
      n -= 1;
    }
    c.sent += bytes.substr(0, n);
    c.to_host ? world_.host_reads(c) : world_.client_reads(c);
    return {n, false, false};
  }
  void await_writable() override { conn_->awaits_room = true; }
  void read(std::span<char> space) override {
    conn_->space = space;
    conn_->reading = true;
  }
  void await_peer_close() override {
    conn_->reading = false;
    conn_->awaits_end = true;
  }
  void post() override { conn_->later = true; }
  std::size_t unread_bytes() override { return conn_->incoming.size(); }
  bool is_quiet() override { return conn_->incoming.empty() && !conn_->peer_ended; }
  bool peer_closed() override { return conn_->peer_ended; }
  void shutdown_send() override {
    conn_->shut = true;
    if (!world_.clients_[conn_->client].owed.empty()) {
      world_.complain("no request lost", "the gateway ended a connection on which it owes an answer");
    }
  }
  void close() override {
    if (std::exchange(conn_->state, Conn::kClosed) == Conn::kClosed) return;
    if (conn_->to_host) {
      world_.over(*conn_, false);
    } else if (!world_.clients_[conn_->client].owed.empty() && !conn_->peer_ended) {
      world_.complain("no request lost", "the gateway closed a connection on which it owes an answer");
    }
  }

 private:
  World& world_;
  std::shared_ptr<Conn> conn_;
};

// Passes on, and remembers what was told: a deterministic module's state is a function of that. Also judges
// that each attempt's end is told once.
class World::TapModule : public engine::AdmissionPolicy, private ActionSink {
 public:
  TapModule(World& world, std::unique_ptr<engine::AdmissionPolicy> inner)
      : world_(world), inner_(std::move(inner)) {}

  void start(Ms now, ActionSink& out) override {
    with(out, [&] { inner_->start(now, *this); });
  }
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                    ActionSink& out) override {
    mark(now, 1);
    for (const auto& e : entries) {
      world_.told_.add(std::uint64_t{e.id} << 2 | static_cast<std::uint64_t>(e.state));
      world_.told_.add(e.started_at);
    }
    with(out, [&] { inner_->on_host_list(now, kind, entries, *this); });
  }
  void on_request(Ms now, const Request& request, ActionSink& out) override {
    mark(now, 2);
    world_.told_.add(request.id);
    with(out, [&] { inner_->on_request(now, request, *this); });
  }
  void on_attempt_end(Ms now, const AttemptResult& e, ActionSink& out) override {
    mark(now, 3);
    world_.told_.add(e.request << 8 | e.attempt);
    world_.told_.add(std::uint64_t{e.host} << 8 | static_cast<std::uint64_t>(e.outcome) << 1 |
                     std::uint64_t{e.request_finished});
    if (!out_.erase({e.request, e.attempt})) {
      world_.complain("the engine's promise", "the module was told of an attempt's end that is not out");
    }
    with(out, [&] { inner_->on_attempt_end(now, e, *this); });
  }
  void on_client_disconnected(Ms now, RequestId request, ActionSink& out) override {
    mark(now, 4);
    world_.told_.add(request);
    with(out, [&] { inner_->on_client_disconnected(now, request, *this); });
  }
  void on_timer(Ms now, std::uint64_t token, ActionSink& out) override {
    mark(now, 5);
    world_.told_.add(token);
    with(out, [&] { inner_->on_timer(now, token, *this); });
  }
  std::size_t out() const { return out_.size(); }

 private:
  void mark(Ms now, std::uint64_t kind) {
    world_.told_.add(now);
    world_.told_.add(kind);
  }
  template <class Call>
  void with(ActionSink& out, Call&& call) {
    ActionSink* const before = std::exchange(to_, &out);
    const std::unique_ptr<ActionSink*, std::function<void(ActionSink**)>> back(
        &to_, [before](ActionSink** to) { *to = before; });
    call();
  }
  // The engine knows attempts by their number among a request's sends; sends for what it has never taken, or
  // has forgotten, are none.
  void send(RequestId r, HostId h, Ms t) override {
    world_.say("  module: send request " + std::to_string(r) + " to host " + std::to_string(h));
    out_.insert({r, attempts_[r]++});
    to_->send(r, h, t);
  }
  void cancel(RequestId r, std::uint32_t a) override {
    world_.say("  module: cancel attempt " + std::to_string(a) + " of request " + std::to_string(r));
    to_->cancel(r, a);
  }
  void reject(RequestId r, Ms t, RejectionReason why) override {
    world_.say("  module: refuse request " + std::to_string(r));
    to_->reject(r, t, why);
  }
  void fail(RequestId r, RejectionReason why) override {
    world_.say("  module: fail request " + std::to_string(r));
    to_->fail(r, why);
  }
  void schedule_timer(Ms t, std::uint64_t token) override { to_->schedule_timer(t, token); }
  void send_health_check(HostId) override {}
  void watch_hosts() override {}
  void poll_hosts() override {}
  void log(std::string_view text) override { world_.say("  module: " + std::string(text)); }

  World& world_;
  std::unique_ptr<engine::AdmissionPolicy> inner_;
  ActionSink* to_ = nullptr;
  std::map<RequestId, std::uint32_t> attempts_;
  std::set<std::pair<RequestId, std::uint32_t>> out_;
};

// Decides anything that the interface can express, the unlawful too: sends after the end and to hosts that
// are gone, cancels of what has ended, second answers, throws.
class World::AnyModule : public engine::AdmissionPolicy {
 public:
  explicit AnyModule(World& world) : world_(world), left_(world.scenario_.module_acts) {}

  void start(Ms, ActionSink&) override {}
  void on_host_list(Ms, HostListUpdate, std::span<const HostEntry>, ActionSink& out) override {
    if (requests_.empty()) return;  // the first list: nothing to decide yet
    act(out, requests_.back(), "told a list", false);
  }
  void on_request(Ms, const Request& q, ActionSink& out) override {
    requests_.push_back(q.id);
    out.schedule_timer(100, q.id);
    ++left_;  // the first act on a request is free
    act(out, q.id, "asked", true);
  }
  void on_attempt_end(Ms, const AttemptResult& e, ActionSink& out) override {
    act(out, e.request, "told an end", false);
  }
  void on_client_disconnected(Ms, RequestId r, ActionSink& out) override { act(out, r, "told gone", false); }
  void on_timer(Ms, std::uint64_t token, ActionSink& out) override { act(out, token, "woken", false); }
  void digest(engine::Digest& into) const {
    into.add(static_cast<std::uint64_t>(left_));
    for (const auto r : requests_) into.add(r);
  }

 private:
  struct Act {
    enum Kind { kNothing, kSend, kRefuse, kFail, kCancel, kThrow } kind;
    std::uint32_t which = 0;  // host or attempt
    std::string name;
  };

  std::vector<Act> menu(bool fresh) const {
    std::vector<Act> all;
    if (!fresh) all.push_back({Act::kNothing, 0, "nothing more"});
    for (const auto& e : world_.listed_) all.push_back({Act::kSend, e.id, "send to " + std::to_string(e.id)});
    all.push_back({Act::kRefuse, 0, "refuse"});
    all.push_back({Act::kFail, 0, "fail"});
    all.push_back({Act::kCancel, 0, "cancel 0"});
    all.push_back({Act::kCancel, 1, "cancel 1"});
    all.push_back({Act::kThrow, 0, "throw"});
    if (fresh) all.push_back({Act::kNothing, 0, "nothing more"});
    return all;
  }

  // One or more acts about a request; the first option is the plain one.
  void act(ActionSink& out, RequestId r, const char* when, bool fresh) {
    while (left_ > 0) {
      const auto all = menu(std::exchange(fresh, false));
      const Act& picked = all[world_.chooser_.choose(
          all.size(), [&](std::size_t i) { return std::string("module, ") + when + ": " + all[i].name; })];
      if (picked.kind == Act::kNothing) return;
      --left_;
      if (picked.kind == Act::kSend) out.send(r, picked.which, 0);
      if (picked.kind == Act::kRefuse) out.reject(r, 10, RejectionReason::kLoadShed);
      if (picked.kind == Act::kFail) out.fail(r, RejectionReason::kAttemptsExhausted);
      if (picked.kind == Act::kCancel) out.cancel(r, picked.which);
      world_.saw(Sight::kModuleThrew, picked.kind == Act::kThrow);
      world_.saw(Sight::kSentAfterEnd, picked.kind != Act::kCancel && world_.answered_at_.contains(r));
      if (picked.kind == Act::kThrow) throw std::runtime_error("as chosen");
    }
  }

  World& world_;
  int left_;
  std::vector<RequestId> requests_;
};

struct World::Node {
  Node(World& world, const AdmissionSettings& settings)
      : any(nullptr),
        tap(make_tap(world, settings)),
        pool(world, world,
             resp::HostPoolLimits{.connect_timeout_ms = kConnectTimeout,
                                  .max_connections = 8,
                                  .max_connections_per_host = 4,
                                  .reuse_delay_ms = kRest},
             [&world](std::string_view what, std::string_view why) {
               world.say("  pool: " + std::string(what) + ", " + std::string(why));
             }),
        engine(*tap, pool,
               {.max_open_requests = 10,
                .max_payload_bytes = 1000,
                .deadline_margin_ms = 0,
                .shutdown_timeout_ms = kSettleWithin},
               [&world](std::string_view what, std::string_view detail) {
                 world.say("  engine: " + std::string(what) + " " + std::string(detail));
               }),
        front(engine, world,
              {{"safe", "keyed", "unsafe"},
               {"team"},
               {Idempotency::kIdempotent, Idempotency::kIdempotencyKey, Idempotency::kNonIdempotent},
               1,
               4}) {}

  std::unique_ptr<TapModule> make_tap(World& world, const AdmissionSettings& settings) {
    std::unique_ptr<engine::AdmissionPolicy> inner;
    if (world.scenario_.real_module) {
      inner = std::make_unique<engine::ControllerPolicy>(settings, 7);
    } else {
      auto module = std::make_unique<AnyModule>(world);
      any = module.get();
      inner = std::move(module);
    }
    return std::make_unique<TapModule>(world, std::move(inner));
  }

  AnyModule* any;
  std::unique_ptr<TapModule> tap;
  resp::HostPool pool;
  Engine engine;
  resp::RespHandler front;
  resp::ClientTotals totals;
  std::map<std::uint64_t, std::shared_ptr<resp::ClientConnection>> links;
};

}  // namespace cometfold::explore
