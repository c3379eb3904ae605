#include "world.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "faults.h"
#include "resp.h"

namespace thistlepond::explore {

using engine::Engine;
using rules::Event;

namespace {

constexpr Ms kConnectTimeout = 120;
constexpr Ms kRest = 25;
constexpr Ms kSettleWithin = 150;
constexpr Ms kAnswerSlack = 1;
constexpr HostId kFirstHost = 1;

std::string hex(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
  return text;
}

std::string part_label(std::size_t i) {
  return i == 0 ? "all can be written" : "all but the last byte can be written";
}

const char* name_of(Repeat repeat) {
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

Settings settings_of(const Scenario& s) {
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

rules::Rules::Figures figures() { return {.answer_slack = kAnswerSlack, .drain_grace = 0, .wider = 150}; }

std::string served(const std::string& value) {
  std::string text;
  resp::append_array(text, 3);
  resp::append_bulk(text, value);
  return text + "$-1\r\n$7\r\ndepth=0\r\n";
}

HostEntry entry(HostId id, HostState state, Ms started_at = 0) {
  return {id, state, started_at, 0, 0, id, 1};
}

}  // namespace

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
  bool reading = false, awaits_room = false, blocked = false, later = false;
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
    if (c.to_host && world_.scenario_.menu.partial && world_.faults_left_ > 0 && n > 1 &&
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
  void later() override { conn_->later = true; }
  std::size_t unread() override { return conn_->incoming.size(); }
  bool quiet() override { return conn_->incoming.empty() && !conn_->peer_ended; }
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
  void refuse(RequestId r, Ms t) override {
    world_.say("  module: refuse request " + std::to_string(r));
    to_->refuse(r, t);
  }
  void fail(RequestId r) override {
    world_.say("  module: fail request " + std::to_string(r));
    to_->fail(r);
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
      if (picked.kind == Act::kRefuse) out.refuse(r, 10);
      if (picked.kind == Act::kFail) out.fail(r);
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

const char* name_of(Sight sight) {
  switch (sight) {
    case Sight::kSecondCopyOut:
      return "a second copy out";
    case Sight::kThirdAttempt:
      return "a third attempt";
    case Sight::kAnswerAfterRetry:
      return "an earlier attempt answered after a retry";
    case Sight::kLossBeforeRetry:
      return "an attempt lost after its last byte";
    case Sight::kDrainWhileWaiting:
      return "a drain told while an attempt waits for its connection";
    case Sight::kDrainDuringResend:
      return "a drain told during a resend";
    case Sight::kReplacedWhileWaiting:
      return "a host replaced at its address while an attempt waits";
    case Sight::kAnswerAtDeadline:
      return "an answer at the deadline, before its timer";
    case Sight::kDeadlineBeforeAnswer:
      return "a deadline's timer with an attempt out";
    case Sight::kGoneWithAttemptOut:
      return "a client gone with an attempt out";
    case Sight::kGoneAfterAnswerAtOnce:
      return "a client gone at the instant of its answer";
    case Sight::kStopWithSecondCopy:
      return "a stop with a second copy out";
    case Sight::kCrashWithAttemptOut:
      return "a crash with an attempt out";
    case Sight::kIdUsedAgain:
      return "an id used again after its answer";
    case Sight::kModuleThrew:
      return "the module threw";
    case Sight::kSentAfterEnd:
      return "the module sent or answered after the end";
    case Sight::kCount:
      break;
  }
  return "";
}

// ---- the run ----

void World::saw(Sight sight, bool when) {
  if (when) sights_ |= Sights{1} << static_cast<unsigned>(sight);
}

std::size_t World::sends_of(std::uint64_t request) const {
  const auto it = sends_.find(request);
  return it == sends_.end() ? 0 : it->second;
}

bool World::copies_out() const {
  std::map<std::uint64_t, int> out;
  return std::any_of(conns_.begin(), conns_.end(), [&](const auto& c) {
    return c->to_host && c->state != Conn::kClosed && c->whole && ++out[c->request] > 1;
  });
}

World::World(const Scenario& scenario, Chooser& chooser, Log log)
    : scenario_(scenario),
      settings_(settings_of(scenario)),
      chooser_(chooser),
      log_(std::move(log)),
      faults_left_(scenario.faults),
      rules_(settings_, figures()) {
  for (HostId h = 0; h < scenario_.hosts; ++h) listed_.push_back(entry(kFirstHost + h, HostState::kReady));
  for (std::size_t i = 0; i < scenario_.requests.size(); ++i) {
    if (i == 0 || !scenario_.one_connection) clients_.emplace_back();
    clients_.back().requests.push_back(i);
  }
  begin();
}

World::~World() {
  for (const auto& c : conns_) c->state = Conn::kClosed;  // the end of the world is no breach
}

void World::begin() {
  node_ = std::make_unique<Node>(*this, settings_);
  node_->engine.start(now_);
  list(ListKind::kCached, listed_);
  node_->front.set_ready();
}

void World::list(ListKind kind, std::vector<HostEntry> entries) {
  for (const auto& e : entries) {
    if (e.state == HostState::kReady)
      node_->pool.add(e.id, {"10.0.0." + std::to_string(e.cell), 1}, e.started_at);
  }
  node_->engine.on_list(now_, kind, entries);
  for (const auto& e : entries) {
    Event told{.kind = Event::kTold, .gateway = 1, .host = e.id};
    told.entry = e;
    report(told);
  }
}

bool World::step() {
  if (breach_) return false;
  options(options_);
  if (options_.empty()) {
    final_checks();
    return false;
  }
  if (steps_ >= scenario_.depth) {
    cut_off_ = true;
    return false;
  }
  ++steps_;
  const Option picked =
      options_[chooser_.choose(options_.size(), [&](std::size_t i) { return label(options_[i]); })];
  if (picked.fault) --faults_left_;
  try {
    (this->*picked.act)(picked);
  } catch (const std::exception& error) {
    complain("the engine's promise", std::string("an exception came out: ") + error.what());
  }
  rules_.at(now_);
  for (; breaches_seen_ < rules_.breaches().size(); ++breaches_seen_) {
    const auto& b = rules_.breaches()[breaches_seen_];
    // A module that decides anything breaks what is the module's to keep.
    const bool engines = b.rule == "no request lost" || b.rule == "drains kept";
    if (scenario_.real_module || engines) complain(b.rule, b.why);
  }
  return !breach_;
}

void World::complain(const std::string& rule, const std::string& why) {
  if (breach_) return;
  breach_ = rules::Breach{rule, why};
  say("BROKEN: " + rule + ": " + why);
}

void World::say(const std::string& text) {
  if (log_) log_(text);
}

void World::report(Event event) {
  event.at = now_;
  rules_.see(event);
}

bool World::anything_open() const {
  if (node_->engine.held() > 0) return true;
  return std::any_of(clients_.begin(), clients_.end(), [](const auto& c) { return !c.owed.empty(); });
}

// ---- what can happen next ----

void World::options(std::vector<Option>& all) {
  all.clear();
  host_options(all);
  client_options(all);
  time_options(all);
  list_options(all);
  if (faults_left_ <= 0) std::erase_if(all, [](const auto& o) { return o.fault; });
}

std::string World::label(const Option& o) const {
  std::string text;
  for (const char* p = o.text; *p; ++p) {
    if (*p != '{') {
      text += *p;
      continue;
    }
    switch (*++p) {
      case 'c':
        text += std::to_string(o.conn->id);
        break;
      case 'r':
        text += std::to_string(o.conn->request);
        break;
      case 'h':
        text += std::to_string(o.conn->host);
        break;
      default:
        text += std::to_string(o.n);
    }
    ++p;  // the closing brace
  }
  return text;
}

void World::client_options(std::vector<Option>& all) {
  for (std::size_t k = 0; k < clients_.size(); ++k) {
    Client& c = clients_[k];
    const bool can = c.conn ? c.conn->state == Conn::kUp && !c.conn->shut : !winding_down_;
    // Clients that are alike send in their order: the other way round is the same run under other names.
    const bool turn = k == 0 || clients_[k - 1].sent > 0 || clients_[k - 1].gone;
    if (can && turn && !c.gone && c.sent < c.requests.size()) {
      const std::size_t i = c.requests[c.sent];
      all.push_back({"client sends request {n}", false, &World::client_sends, nullptr, i + 1, k});
      if (scenario_.menu.same_id && i > 0) {
        all.push_back({"client sends request {n} under the first one's id", true, &World::client_sends,
                       clients_[0].conn.get(), i + 1, k});
      }
    }
    if (scenario_.menu.client_gone && c.conn && !c.gone && c.conn->state == Conn::kUp) {
      all.push_back({"client {n} closes", true, &World::client_closes, nullptr, k + 1, k});
    }
  }
}

void World::host_options(std::vector<Option>& all) {
  const auto& menu = scenario_.menu;
  for (const auto& shared : conns_) {
    Conn* const conn = shared.get();
    if (conn->state == Conn::kClosed) continue;
    if (conn->later) {
      all.push_back({"the loop comes back to connection {c}", false, &World::loop_comes_back, conn});
    }
    if (conn->blocked && conn->state == Conn::kUp) {
      all.push_back({"connection {c} has room to write", false, &World::room_to_write, conn});
    }
    const bool waits = conn->to_host && (conn->state == Conn::kConnecting || conn->whole);
    if (waits && !conn->stalled) {
      all.push_back({"the peer of connection {c} is slow", true, &World::stalls, conn});
    }
    if (conn->state == Conn::kConnecting) {
      all.push_back({"connection {c} comes up", false, &World::comes_up, conn});
      if (menu.refused) all.push_back({"connection {c} is refused", true, &World::never_up, conn});
      if (now_ >= conn->connect_by) {
        all.push_back({"connection {c} never came up", false, &World::never_up, conn});
      }
      continue;
    }
    if (!conn->to_host) continue;
    if (conn->whole) answer_options(all, conn);
    if (conn->reading && (!conn->incoming.empty() || conn->peer_ended)) {
      all.push_back({"the loop reads connection {c}", false, &World::loop_reads, conn});
    } else if (!conn->peer_ended && !conn->whole) {
      if (menu.noise && conn->sent.empty()) {
        all.push_back({"noise arrives on connection {c}", true, &World::noise_arrives, conn});
      }
      if (menu.broken) all.push_back({"the host closes connection {c}", true, &World::host_closes, conn});
    }
  }
}

// What a host may do with a request that it has whole.
enum World::Reply : std::size_t { kGood, kError, kBusy, kSpoilt, kTwin, kNone, kHalf };

void World::answer_options(std::vector<Option>& all, Conn* conn) {
  const auto& menu = scenario_.menu;
  const auto add = [&](bool on, const char* text, Reply reply) {
    if (on) all.push_back({text, reply != kGood, &World::host_answers, conn, reply});
  };
  add(true, "host {h} answers request {r} on connection {c}", kGood);
  add(menu.error, "host {h} fails request {r} on connection {c}", kError);
  add(menu.busy, "host {h} turns request {r} away on connection {c}", kBusy);
  add(menu.spoilt, "host {h} answers request {r} on connection {c}, spoilt", kSpoilt);
  add(menu.noise, "host {h} answers request {r} on connection {c}, and more behind", kTwin);
  add(menu.broken, "host {h} closes connection {c} without an answer to request {r}", kNone);
  add(menu.broken, "host {h} breaks off connection {c} within its answer to request {r}", kHalf);
}

void World::host_answers(const Option& o) {
  Conn& conn = *o.conn;
  const auto value = "v" + std::to_string(conn.request) + "." + std::to_string(conn.id);
  if (o.n == kGood || o.n == kTwin || o.n == kHalf) {
    report({.kind = Event::kMade, .request = conn.request, .host = conn.host, .value = value});
  }
  saw(Sight::kAnswerAfterRetry, conn.number < sends_of(conn.request) && o.n == kGood);
  saw(Sight::kLossBeforeRetry, o.n == kNone || o.n == kHalf || o.n == kSpoilt);
  saw(Sight::kAnswerAtDeadline, o.n == kGood && now_ == expires_[conn.request]);
  over(conn, o.n == kBusy);
  switch (static_cast<Reply>(o.n)) {
    case kGood:
      return deliver(conn, served(value));
    case kError:
      return deliver(conn, "-ERR failed\r\n");
    case kBusy:
      return deliver(conn, "-BUSY\r\n");
    case kSpoilt:
      return deliver(conn, "*2\r\n$3\r\nbad\r\n$-1\r\n");
    case kTwin:
      return deliver(conn, served(value) + served("twin"));
    case kHalf:
      deliver(conn, served(value).substr(0, 10));
      return end_stream(conn);
    case kNone:
      return end_stream(conn);
  }
}

// What the list may say of host 1, by `Option::n`.
enum World::Change : std::size_t { kDrains, kRestarted, kGone, kReplaced };

void World::list_options(std::vector<Option>& all) {
  const auto& menu = scenario_.menu;
  const auto first =
      std::find_if(listed_.begin(), listed_.end(), [](const auto& e) { return e.id == kFirstHost; });
  const auto add = [&](bool on, const char* text, Change change) {
    if (on) all.push_back({text, true, &World::list_changes, nullptr, change});
  };
  const bool ready = first->state == HostState::kReady, there = first->state != HostState::kGone;
  add(menu.drain && ready, "list: host 1 drains", kDrains);
  add(menu.restarted && ready && first->started_at == 0, "list: host 1 has restarted", kRestarted);
  add(menu.gone && there, "list: host 1 is gone", kGone);
  add(menu.replaced && there, "list: host 1 is gone, host 9 is at its address", kReplaced);
  if (menu.relist) all.push_back({"reload: the whole list again", true, &World::reloads});
  if (menu.crash && life_ == 0) {
    all.push_back({"the gateway crashes and starts again", true, &World::crashes});
  }
  if (menu.stop && !node_->engine.settle_at()) all.push_back({"SIGTERM", true, &World::stop_begins});
  if (node_->engine.settle_at() && !winding_down_) {
    all.push_back({"the stop winds down", false, &World::stop_winds_down});
  }
}

std::optional<Ms> World::next_time() const {
  std::optional<Ms> next = node_->engine.next_due();
  const auto sooner = [&](Ms at) {
    if (!next || at < *next) next = at;
  };
  for (const auto& c : conns_) {
    if (c->state == Conn::kConnecting) sooner(c->connect_by);
  }
  const auto settle = node_->engine.settle_at();
  if (settle && node_->engine.owed() > 0) sooner(*settle);
  return next;
}

// Something that would happen at once, as no peer is slow there: time waits for it.
bool World::anything_prompt() const {
  return std::any_of(conns_.begin(), conns_.end(), [](const auto& c) {
    if (c->state == Conn::kClosed) return false;
    const bool loop = c->later || c->blocked || (c->reading && (!c->incoming.empty() || c->peer_ended));
    const bool peer = c->to_host && (c->state == Conn::kConnecting || c->whole);
    return loop || (peer && !c->stalled);
  });
}

void World::time_options(std::vector<Option>& all) {
  const auto due = node_->engine.next_due();
  const auto settle = node_->engine.settle_at();
  if (due && *due <= now_) all.push_back({"due timers run", false, &World::timers_run});
  if (settle && *settle <= now_ && node_->engine.owed() > 0) {
    all.push_back({"the stop settles all", false, &World::stop_settles});
  }
  const auto next = next_time();
  if (next && *next > now_ && anything_open() && !anything_prompt()) {
    all.push_back({"time passes", false, &World::time_passes});
  }
}

// ---- what options do ----

void World::client_sends(const Option& o) {
  Client& client = clients_[o.k];
  const std::size_t i = o.n - 1;
  const bool same = o.fault;
  if (!client.conn) connect_client(o.k);
  ++client.sent;
  bool first_open = false;  // as far as clients can know
  for (const auto& other : clients_) {
    for (const auto& owed : other.owed) first_open = first_open || owed.request == 1;
  }
  const bool mistake = same && first_open;
  client.owed.push_back({mistake ? 0 : i + 1});
  const Repeat repeat = scenario_.requests[i];
  if (!mistake) {
    Event taken{.kind = Event::kTaken, .gateway = 1, .request = i + 1};
    taken.class_index = static_cast<std::uint32_t>(repeat);
    taken.customer = 1;
    taken.expires_at = now_ + scenario_.wait;
    expires_[i + 1] = taken.expires_at;
    saw(Sight::kIdUsedAgain, same);
    report(taken);
  }
  std::string text;
  resp::append_array(text, 5);
  resp::append_bulk(text, repeat == Repeat::kSafe ? "SVC.QUERY" : "SVC.SUBMIT");
  resp::append_bulk(text, hex(1));
  resp::append_bulk(text, hex(same ? 1 : i + 1));
  resp::append_bulk(text, std::string("c=") + name_of(repeat) +
                              ",t=team,d=" + std::to_string(static_cast<int>(scenario_.wait)) +
                              ",k=ab,units=1,spread=1,first=0");
  resp::append_bulk(text, "L" + std::to_string(i + 1));
  deliver(*client.conn, text);
}

void World::client_closes(const Option& o) {
  Client& client = clients_[o.k];
  client.gone = true;
  for (const auto& [request, at] : answered_at_) saw(Sight::kGoneAfterAnswerAtOnce, at == now_);
  for (const auto& owed : client.owed) {
    saw(Sight::kGoneWithAttemptOut, sends_of(owed.request) > 0);
    if (owed.request != 0) report({.kind = Event::kGone, .gateway = 1, .request = owed.request});
  }
  client.owed.clear();
  end_stream(*client.conn);
}

void World::loop_comes_back(const Option& o) {
  o.conn->later = false;
  if (const auto events = o.conn->events.lock()) events->on_later(now_);
}

void World::room_to_write(const Option& o) {
  o.conn->blocked = false;
  if (!std::exchange(o.conn->awaits_room, false)) return;
  if (const auto events = o.conn->events.lock()) events->on_writable(now_, true);
}

void World::comes_up(const Option& o) {
  o.conn->state = Conn::kUp;
  o.conn->stalled = false;
  if (const auto events = o.conn->events.lock()) events->on_connected(now_, true);
}

void World::never_up(const Option& o) {
  if (const auto events = o.conn->events.lock()) events->on_connected(now_, false);
}

void World::stalls(const Option& o) { o.conn->stalled = true; }
void World::loop_reads(const Option& o) { deliver(*o.conn, ""); }
void World::noise_arrives(const Option& o) {
  o.conn->incoming += served("noise of " + std::to_string(o.conn->id));
}

void World::host_closes(const Option& o) {
  over(*o.conn, true);
  o.conn->peer_ended = true;
}

void World::list_changes(const Option& o) {
  for (const auto& c : conns_) {
    if (!c->to_host || c->host != kFirstHost || c->state == Conn::kClosed) continue;
    const bool waits = c->state == Conn::kConnecting, drains = o.n == kDrains || o.n == kGone;
    saw(Sight::kDrainWhileWaiting, drains && waits);
    saw(Sight::kReplacedWhileWaiting, o.n == kReplaced && waits);
    // Whatever waits while some request has been sent before, and lost its attempt, is its resend.
    const bool again = std::any_of(sends_.begin(), sends_.end(), [](auto& s) { return s.second > 0; });
    saw(Sight::kDrainDuringResend, drains && ((waits && again) || (c->whole && c->number > 1)));
  }
  std::vector<HostEntry> changes;
  switch (static_cast<Change>(o.n)) {
    case kDrains:
      changes = {entry(1, HostState::kDraining)};
      break;
    case kRestarted:
      changes = {entry(1, HostState::kReady, now_)};
      break;
    case kGone:
      changes = {entry(1, HostState::kGone)};
      break;
    case kReplaced:
      changes = {entry(1, HostState::kGone), entry(9, HostState::kReady, now_)};
      changes.back().cell = 1;  // host 1's address
      break;
  }
  for (const auto& e : changes) {
    std::erase_if(listed_, [&](const auto& known) { return known.id == e.id; });
    listed_.push_back(e);
  }
  list(ListKind::kChanges, changes);
}

void World::reloads(const Option&) { list(ListKind::kWhole, listed_); }
void World::stop_begins(const Option&) {
  saw(Sight::kStopWithSecondCopy, copies_out());
  node_->engine.stop(now_);
}

void World::stop_winds_down(const Option&) {
  winding_down_ = true;
  const auto links = node_->links;
  for (const auto& [id, link] : links) link->wind_down(now_);
}

void World::stop_settles(const Option&) {
  node_->engine.settle_all(now_);
  if (node_->engine.owed() > 0) complain("no request lost", "the stop left a request without its answer");
}

void World::timers_run(const Option&) {
  for (const auto& c : conns_) {
    const bool out = c->to_host && c->state != Conn::kClosed && c->whole;
    saw(Sight::kDeadlineBeforeAnswer, out && now_ == expires_[c->request]);
  }
  node_->engine.run_due(now_);
}

void World::time_passes(const Option&) {
  now_ = *next_time();
  say("  it is " + std::to_string(static_cast<long>(now_)));
}

// ---- clients ----

void World::connect_client(std::size_t i) {
  const auto conn = std::make_shared<Conn>();
  conn->id = ++last_conn_;
  conn->client = i;
  conn->state = Conn::kUp;
  conns_.push_back(conn);
  clients_[i].conn = conn;
  const auto link = std::make_shared<resp::ClientLink>(*this, node_->totals, conn->id, now_);
  conn->events = link;
  node_->links.emplace(conn->id, link);
  link->start(std::make_unique<SimStream>(*this, conn));
}

std::uint64_t World::on_command(Ms now, resp::Ticket ticket, std::span<const resp::Item> words) {
  return node_->front.on_command(now, ticket, words);
}
void World::on_client_gone(Ms now, std::uint64_t name) { node_->engine.gone(now, name); }
void World::on_closed(std::uint64_t id) { node_->links.erase(id); }

void World::answer(Ms now, resp::Ticket ticket, std::string_view reply) {
  if (!answered_.insert({ticket.connection, ticket.place}).second) {
    complain("the engine's promise", "a second answer reached the front end for one request");
  }
  const auto it = node_->links.find(ticket.connection);
  if (it != node_->links.end()) std::shared_ptr(it->second)->answer(now, ticket.place, reply);
}
void World::reject(Ms now, resp::Ticket ticket, std::string_view why) {
  const auto it = node_->links.find(ticket.connection);
  if (it != node_->links.end()) std::shared_ptr(it->second)->reject(now, ticket.place, why);
}

// The client takes in what the gateway has written: answers in the order of its requests.
void World::client_reads(Conn& conn) {
  Client& client = clients_[conn.client];
  while (!conn.sent.empty()) {
    const auto space = client.reader.space();
    const auto n = std::min(space.size(), conn.sent.size());
    std::memcpy(space.data(), conn.sent.data(), n);
    client.reader.commit(n);
    conn.sent.erase(0, n);
    resp::Frame frame;
    while (client.reader.next(frame) == resp::Progress::kFrame) {
      if (client.owed.empty()) {
        complain("no request lost", "an answer came on a connection on which none is owed");
        return;
      }
      const auto request = client.owed.front().request;
      client.owed.erase(client.owed.begin());
      const auto& item = frame.items.at(0);
      const bool value = item.kind == resp::Kind::kBulk, refused = item.text.starts_with("BUSY");
      say("  client: request " + std::to_string(request) + " gets '" + std::string(item.text) + "'");
      answered_at_[request] = now_;
      if (request == 0) {
        if (value) complain("no request lost", "a mistaken request was served");
        continue;
      }
      if (item.text.starts_with("ERR another open request")) {
        complain("the engine's promise", "a request whose id is free was turned away");
      }
      report({.kind = value     ? Event::kServed
                      : refused ? Event::kRefused
                                : Event::kFailed,
              .gateway = 1,
              .request = request,
              .value = item.text});
    }
  }
}

// ---- hosts ----

std::unique_ptr<resp::Stream> World::dial(const resp::Address& at, Ms timeout, resp::StreamEvents& events) {
  const auto conn = std::make_shared<Conn>();
  conn->id = ++last_conn_;
  conn->to_host = true;
  // Whoever is at the address now: the process that was listed there last.
  const auto cell = static_cast<std::uint32_t>(std::stoul(at.ip.substr(at.ip.rfind('.') + 1)));
  for (const auto& e : listed_) {
    if (e.cell == cell && (conn->host == 0 || e.state != HostState::kGone)) conn->host = e.id;
  }
  conn->events = events.weak_from_this();
  conn->connect_by = now_ + timeout;
  conns_.push_back(conn);
  say("  pool: connection " + std::to_string(conn->id) + " to host " + std::to_string(conn->host));
  return std::make_unique<SimStream>(*this, conn);
}

// What the gateway has written to a host so far.
void World::host_reads(Conn& conn) {
  if (conn.request == 0) {
    // The body names the request, whatever id it has; a part that is written holds all but the last byte.
    conn.request = std::stoull(conn.sent.substr(conn.sent.rfind("\r\nL") + 3));
    report({.kind = Event::kSendBegun,
            .gateway = 1,
            .request = conn.request,
            .connection = conn.id,
            .host = conn.host});
  }
  if (!conn.sent.ends_with("\r\n")) return;
  conn.whole = true;
  saw(Sight::kThirdAttempt, ++sends_[conn.request] > 2);
  saw(Sight::kSecondCopyOut, copies_out());
  conn.number = sends_[conn.request];
  say("  host " + std::to_string(conn.host) + ": has request " + std::to_string(conn.request) + " whole");
  report({.kind = Event::kSendWhole,
          .gateway = 1,
          .request = conn.request,
          .connection = conn.id,
          .host = conn.host});
}

// The attempt on this connection is out no more.
void World::over(Conn& conn, bool never_ran) {
  if (conn.request == 0) return;
  const auto kind = never_ran || !conn.whole ? Event::kNeverRan : Event::kOver;
  report({.kind = kind, .gateway = 1, .request = conn.request, .connection = conn.id, .host = conn.host});
  conn.request = 0;
  conn.whole = false;
  conn.sent.clear();
}

void World::on_attempt_end(Ms now, engine::AttemptId attempt, Outcome outcome, std::string_view value,
                           std::string_view) {
  node_->engine.on_attempt_end(now, attempt, outcome, value, {});
}

// `bytes` arrive, and the loop reads what has arrived if somebody wants it.
void World::deliver(Conn& c, const std::string& bytes) {
  Conn* const conn = &c;
  conn->incoming += bytes;
  while (conn->state == Conn::kUp && conn->reading && (!conn->incoming.empty() || conn->peer_ended)) {
    const auto events = conn->events.lock();
    if (!events) return;
    conn->reading = false;
    const auto n = std::min(conn->space.size(), conn->incoming.size());
    std::memcpy(conn->space.data(), conn->incoming.data(), n);
    conn->incoming.erase(0, n);
    events->on_read(now_, n, n == 0);
  }
}

void World::end_stream(Conn& conn) {
  conn.peer_ended = true;
  deliver(conn, "");
}

// ---- crash and end ----

void World::crashes(const Option&) {
  report({.kind = Event::kCrashed, .gateway = 1});
  for (const auto& c : conns_) {
    saw(Sight::kCrashWithAttemptOut, c->to_host && c->whole && c->state != Conn::kClosed);
    if (c->state != Conn::kClosed && c->to_host) over(*c, false);
    c->state = Conn::kClosed;
    c->events.reset();
  }
  for (auto& c : clients_) {  // what it held is lost with it; a client that has more to ask connects anew
    c.owed.clear();
    c.conn.reset();
    c.reader = resp::Reader(resp::Limits{}, false);
  }
  told_ = {};
  ++life_;
  winding_down_ = false;
  begin();
}

void World::final_checks() {
  if (anything_open())
    return complain("no request lost", "an answer is owed, and nothing can happen any more");
  if (node_->engine.owed() > 0)
    return complain("the engine's promise", "it counts requests that nobody has open");
  if (node_->engine.held_bytes() > 0) return complain("the engine's promise", "it holds payloads of nothing");
  if (node_->totals.unsent > 0)
    return complain("the engine's promise", "it counts unsent answers, and all are sent");
  if (scenario_.real_module && node_->tap->out() > 0)
    return complain("the engine's promise", "the module was not told of an attempt's end");
}

std::uint64_t World::fingerprint() const {
  engine::Digest d;
  d.add(now_);
  d.add(static_cast<std::uint64_t>(faults_left_));
  d.add(std::uint64_t{life_} << 1 | std::uint64_t{winding_down_});
  node_->engine.digest(d);
  node_->pool.digest(d);
  for (const auto& [id, link] : node_->links) link->digest(d);
  for (const auto& c : conns_) {
    if (c->state == Conn::kClosed) continue;
    d.add(c->id << 8 | std::uint64_t{c->state} << 4 | std::uint64_t{c->reading} << 3 |
          std::uint64_t{c->awaits_room} << 2 | std::uint64_t{c->blocked} << 1 | std::uint64_t{c->later});
    d.add(std::uint64_t{c->host} << 2 | std::uint64_t{c->peer_ended} << 1 | std::uint64_t{c->whole} |
          std::uint64_t{c->shut} << 40 | std::uint64_t{c->stalled} << 41);
    d.add(c->connect_by);
    d.add(c->request);
    d.add(c->incoming);
    d.add(c->sent);
  }
  for (const auto& c : clients_) {
    d.add(std::uint64_t{c.sent} << 1 | std::uint64_t{c.gone});
    for (const auto& owed : c.owed) d.add(owed.request);
  }
  for (const auto& e : listed_) {
    d.add(std::uint64_t{e.id} << 2 | static_cast<std::uint64_t>(e.state));
    d.add(e.started_at);
  }
  rules_.digest(d);
  if (scenario_.real_module) {
    d.add(told_.value());
  } else {
    node_->any->digest(d);
  }
  return d.value();
}

}  // namespace thistlepond::explore
