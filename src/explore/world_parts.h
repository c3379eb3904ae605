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
#include "resp/resp.h"

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

inline const char* name_of(Repeat repeat) {
  switch (repeat) {
    case Repeat::kSafe:
      return "safe";
    case Repeat::kKeyed:
      return "keyed";
    case Repeat::kUnsafe:
      return "unsafe";
  }
  return "";
}

inline Settings settings_of(const Scenario& s) {
  Settings set;
  for (const auto repeat : {Repeat::kSafe, Repeat::kKeyed, Repeat::kUnsafe}) {
    ClassSettings c;
    c.deadline_ms = s.wait;
    c.aim_ms = s.aim;
    c.repeat = repeat;
    if (repeat == Repeat::kKeyed) c.group = s.group, c.key_ttl_ms = 10'000;
    set.classes.push_back(c);
  }
  PlanSettings plan;
  plan.quota_rate = plan.burst = 1000;
  set.plans = {plan};
  set.second_copies = s.second_copies;
  set.may_cancel = s.may_cancel;
  set.retry_after = true;
  set.max_attempts = s.max_attempts;
  set.max_retry_after_ms = 1000;
  set.tick_ms = 4;
  set.cold_from = 0.2;
  set.warm_after_ms = 1000;
  set.overload_factor = 2;
  set.fall_ms = 1000;
  return set;
}

inline rules::Rules::Figures figures() {
  return {.answer_slack = kAnswerSlack, .drain_grace = 0, .wider = 150};
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
  std::weak_ptr<resp::StreamEvents> events;
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
  resp::Reader reader{resp::Limits{}, false};
  bool gone = false;
};

class World::SimStream : public resp::Stream {
 public:
  SimStream(World& world, std::shared_ptr<Conn> conn) : world_(world), conn_(std::move(conn)) {}

  Written write(std::string_view bytes) override {
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
  void await_end() override {
    conn_->reading = false;
    conn_->awaits_end = true;
  }
  void later() override { conn_->later = true; }
  std::size_t unread() override { return conn_->incoming.size(); }
  bool quiet() override { return conn_->incoming.empty() && !conn_->peer_ended; }
  bool ended() override { return conn_->peer_ended; }
  void shut_send() override {
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
class World::TapModule : public engine::Module, private Actions {
 public:
  TapModule(World& world, std::unique_ptr<engine::Module> inner) : world_(world), inner_(std::move(inner)) {}

  void start(Ms now, Actions& out) override {
    with(out, [&] { inner_->start(now, *this); });
  }
  void on_list(Ms now, ListKind kind, std::span<const HostEntry> entries, Actions& out) override {
    mark(now, 1);
    for (const auto& e : entries) {
      world_.told_.add(std::uint64_t{e.id} << 2 | static_cast<std::uint64_t>(e.state));
      world_.told_.add(e.started_at);
    }
    with(out, [&] { inner_->on_list(now, kind, entries, *this); });
  }
  void on_request(Ms now, const Request& request, Actions& out) override {
    mark(now, 2);
    world_.told_.add(request.id);
    with(out, [&] { inner_->on_request(now, request, *this); });
  }
  void on_attempt_end(Ms now, const AttemptEnd& e, Actions& out) override {
    mark(now, 3);
    world_.told_.add(e.request << 8 | e.attempt);
    world_.told_.add(std::uint64_t{e.host} << 8 | static_cast<std::uint64_t>(e.outcome) << 1 |
                     std::uint64_t{e.finished});
    if (!out_.erase({e.request, e.attempt})) {
      world_.complain("the engine's promise", "the module was told of an attempt's end that is not out");
    }
    with(out, [&] { inner_->on_attempt_end(now, e, *this); });
  }
  void on_gone(Ms now, RequestId request, Actions& out) override {
    mark(now, 4);
    world_.told_.add(request);
    with(out, [&] { inner_->on_gone(now, request, *this); });
  }
  void on_timer(Ms now, std::uint64_t token, Actions& out) override {
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
  void with(Actions& out, Call&& call) {
    Actions* const before = std::exchange(to_, &out);
    const std::unique_ptr<Actions*, std::function<void(Actions**)>> back(
        &to_, [before](Actions** to) { *to = before; });
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
  void refuse(RequestId r, Ms t, Cause why) override {
    world_.say("  module: refuse request " + std::to_string(r));
    to_->refuse(r, t, why);
  }
  void fail(RequestId r, Cause why) override {
    world_.say("  module: fail request " + std::to_string(r));
    to_->fail(r, why);
  }
  void wake(Ms t, std::uint64_t token) override { to_->wake(t, token); }
  void probe(HostId) override {}
  void follow_list() override {}
  void fetch_list() override {}
  void note(std::string_view text) override { world_.say("  module: " + std::string(text)); }

  World& world_;
  std::unique_ptr<engine::Module> inner_;
  Actions* to_ = nullptr;
  std::map<RequestId, std::uint32_t> attempts_;
  std::set<std::pair<RequestId, std::uint32_t>> out_;
};

// Decides anything that the interface can express, the unlawful too: sends after the end and to hosts that
// are gone, cancels of what has ended, second answers, throws.
class World::AnyModule : public engine::Module {
 public:
  explicit AnyModule(World& world) : world_(world), left_(world.scenario_.module_acts) {}

  void start(Ms, Actions&) override {}
  void on_list(Ms, ListKind, std::span<const HostEntry>, Actions& out) override {
    if (requests_.empty()) return;  // the first list: nothing to decide yet
    act(out, requests_.back(), "told a list", false);
  }
  void on_request(Ms, const Request& q, Actions& out) override {
    requests_.push_back(q.id);
    out.wake(100, q.id);
    ++left_;  // the first act on a request is free
    act(out, q.id, "asked", true);
  }
  void on_attempt_end(Ms, const AttemptEnd& e, Actions& out) override {
    act(out, e.request, "told an end", false);
  }
  void on_gone(Ms, RequestId r, Actions& out) override { act(out, r, "told gone", false); }
  void on_timer(Ms, std::uint64_t token, Actions& out) override { act(out, token, "woken", false); }
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
  void act(Actions& out, RequestId r, const char* when, bool fresh) {
    while (left_ > 0) {
      const auto all = menu(std::exchange(fresh, false));
      const Act& picked = all[world_.chooser_.choose(
          all.size(), [&](std::size_t i) { return std::string("module, ") + when + ": " + all[i].name; })];
      if (picked.kind == Act::kNothing) return;
      --left_;
      if (picked.kind == Act::kSend) out.send(r, picked.which, 0);
      if (picked.kind == Act::kRefuse) out.refuse(r, 10, Cause::kShed);
      if (picked.kind == Act::kFail) out.fail(r, Cause::kEnded);
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
  Node(World& world, const Settings& settings)
      : any(nullptr),
        tap(make_tap(world, settings)),
        pool(world, world,
             resp::PoolLimits{
                 .connect_timeout = kConnectTimeout, .connections = 8, .per_host = 4, .rest = kRest},
             [&world](std::string_view what, std::string_view why) {
               world.say("  pool: " + std::string(what) + ", " + std::string(why));
             }),
        engine(*tap, pool, {.open = 10, .bytes = 1000, .margin = 0, .settle_within = kSettleWithin},
               [&world](std::string_view what, std::string_view detail) {
                 world.say("  engine: " + std::string(what) + " " + std::string(detail));
               }),
        front(
            engine, world,
            {{"safe", "keyed", "unsafe"}, {"team"}, {Repeat::kSafe, Repeat::kKeyed, Repeat::kUnsafe}, 1, 4}) {
  }

  std::unique_ptr<TapModule> make_tap(World& world, const Settings& settings) {
    std::unique_ptr<engine::Module> inner;
    if (world.scenario_.real_module) {
      inner = std::make_unique<engine::ControlModule>(settings, 7);
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
  resp::Front front;
  resp::ClientTotals totals;
  std::map<std::uint64_t, std::shared_ptr<resp::ClientLink>> links;
};

}  // namespace cometfold::explore
