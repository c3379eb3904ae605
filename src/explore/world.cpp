// The run of a world: its peers, the end of the gateway, judgement and fingerprint.
#include "explore/world.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "explore/world_parts.h"

namespace cometfold::explore {

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
  list(HostListUpdate::kCached, listed_);
  node_->front.set_ready();
}

void World::list(HostListUpdate kind, std::vector<HostEntry> entries) {
  for (const auto& e : entries) {
    if (e.state == HostState::kReady)
      node_->pool.add_host(e.id, {"10.0.0." + std::to_string(e.cell.value_or(0)), 1}, e.started_at);
  }
  node_->engine.on_host_list(now_, kind, entries);
  node_->pool.fail_stale_attempts(now_);
  for (const auto& e : entries) {
    Event told{.kind = Event::kHostUpdate, .gateway = 1, .host = e.id};
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
  rules_.check_deadlines(now_);
  for (; breaches_seen_ < rules_.violations().size(); ++breaches_seen_) {
    const auto& b = rules_.violations()[breaches_seen_];
    // A module that decides anything breaks what is the module's to keep.
    const bool engines = b.rule == "no request lost" || b.rule == "drains kept";
    if (scenario_.real_module || engines) complain(b.rule, b.description);
  }
  return !breach_;
}

void World::complain(const std::string& rule, const std::string& why) {
  if (breach_) return;
  breach_ = rules::Violation{rule, why};
  say("BROKEN: " + rule + ": " + why);
}

void World::say(const std::string& text) {
  if (log_) log_(text);
}

void World::report(Event event) {
  event.at = now_;
  rules_.observe(event);
}

bool World::anything_open() const {
  if (node_->engine.open_count() > 0) return true;
  return std::any_of(clients_.begin(), clients_.end(), [](const auto& c) { return !c.owed.empty(); });
}

// ---- clients ----

void World::connect_client(std::size_t i) {
  const auto conn = std::make_shared<Conn>();
  conn->id = ++last_conn_;
  conn->client = i;
  conn->state = Conn::kUp;
  conns_.push_back(conn);
  clients_[i].conn = conn;
  const auto link = std::make_shared<resp::ClientConnection>(*this, node_->totals, conn->id, now_);
  conn->events = link;
  node_->links.emplace(conn->id, link);
  link->start(std::make_unique<SimStream>(*this, conn));
}

resp::CommandResult World::on_command(Ms now, resp::ResponseHandle ticket, std::span<const resp::Item> words,
                                      Ms waited) {
  return node_->front.on_command(now, ticket, words, waited);
}
void World::on_reply_pending(std::uint64_t identity) { node_->front.on_reply_pending(identity); }
void World::on_reply_flushed(std::uint64_t identity) { node_->front.on_reply_flushed(identity); }
void World::on_client_disconnected(Ms now, std::uint64_t name) {
  node_->engine.on_client_disconnected(now, name);
}
void World::on_closed(std::uint64_t id) { node_->links.erase(id); }

void World::send_reply(Ms now, resp::ResponseHandle ticket, std::string_view reply) {
  if (!answered_.insert({ticket.connection, ticket.sequence}).second) {
    complain("the engine's promise", "a second answer reached the front end for one request");
  }
  const auto it = node_->links.find(ticket.connection);
  if (it != node_->links.end()) std::shared_ptr(it->second)->send_reply(now, ticket.sequence, reply);
}
void World::send_error(Ms now, resp::ResponseHandle ticket, std::string_view why) {
  const auto it = node_->links.find(ticket.connection);
  if (it != node_->links.end()) std::shared_ptr(it->second)->send_error(now, ticket.sequence, why);
}

// The client takes in what the gateway has written: answers in the order of its requests.
void World::client_reads(Conn& conn) {
  Client& client = clients_[conn.client];
  while (!conn.sent.empty()) {
    const auto space = client.reader.prepare();
    const auto n = std::min(space.size(), conn.sent.size());
    std::memcpy(space.data(), conn.sent.data(), n);
    client.reader.commit(n);
    conn.sent.erase(0, n);
    resp::Frame frame;
    while (client.reader.next(frame) == resp::ReadResult::kFrame) {
      if (client.owed.empty()) {
        complain("no request lost", "an answer came on a connection on which none is owed");
        return;
      }
      const auto request = client.owed.front().request;
      client.owed.erase(client.owed.begin());
      const auto& item = frame.items.at(0);
      const bool value = item.type == resp::ItemType::kBulk, refused = item.text.starts_with("BUSY");
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
                      : refused ? Event::kRejected
                                : Event::kFailed,
              .gateway = 1,
              .request = request,
              .value = item.text});
    }
  }
}

// ---- hosts ----

std::unique_ptr<resp::Stream> World::dial(const resp::Address& at, Ms timeout,
                                          resp::StreamCallbacks& events) {
  const auto conn = std::make_shared<Conn>();
  conn->id = ++last_conn_;
  conn->to_host = true;
  // Whoever is at the address now: the process that was listed there last.
  const auto cell = static_cast<std::uint32_t>(std::stoul(at.ip.substr(at.ip.rfind('.') + 1)));
  for (const auto& e : listed_) {
    if (e.cell == cell && (conn->host == 0 || e.state != HostState::kRemoved)) conn->host = e.id;
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
    report({.kind = Event::kAttemptFirstByte,
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
  report({.kind = Event::kAttemptWritten,
          .gateway = 1,
          .request = conn.request,
          .connection = conn.id,
          .host = conn.host});
}

// The attempt on this connection is out no more.
void World::over(Conn& conn, bool never_ran) {
  if (conn.request == 0) return;
  const auto kind = never_ran || !conn.whole ? Event::kNotExecuted : Event::kAttemptEnded;
  report({.kind = kind, .gateway = 1, .request = conn.request, .connection = conn.id, .host = conn.host});
  conn.request = 0;
  conn.whole = false;
  conn.sent.clear();
}

std::optional<Ms> World::may_write(Ms now, engine::AttemptId attempt, bool begun) {
  return node_->engine.may_write(now, attempt, begun);
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
  const auto events = conn->events.lock();
  if (conn->state == Conn::kUp && conn->peer_ended && events && std::exchange(conn->awaits_end, false)) {
    events->on_read(now_, 0, true);
  }
}

void World::end_stream(Conn& conn) {
  conn.peer_ended = true;
  deliver(conn, "");
}

// ---- crash and end ----

void World::crashes(const Option&) {
  report({.kind = Event::kGatewayCrashed, .gateway = 1});
  for (const auto& c : conns_) {
    saw(Sight::kCrashWithAttemptOut, c->to_host && c->whole && c->state != Conn::kClosed);
    if (c->state != Conn::kClosed && c->to_host) over(*c, false);
    c->state = Conn::kClosed;
    c->events.reset();
  }
  for (auto& c : clients_) {  // what it held is lost with it; a client that has more to ask connects anew
    c.owed.clear();
    c.conn.reset();
    c.reader = resp::RespReader(resp::RespLimits{}, false);
  }
  told_ = {};
  ++life_;
  winding_down_ = false;
  begin();
}

void World::final_checks() {
  if (anything_open())
    return complain("no request lost", "an answer is owed, and nothing can happen any more");
  if (node_->engine.unanswered_count() > 0)
    return complain("the engine's promise", "it counts requests that nobody has open");
  if (node_->engine.payload_bytes() > 0)
    return complain("the engine's promise", "it holds payloads of nothing");
  if (node_->totals.unsent_bytes > 0)
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
          std::uint64_t{c->shut} << 40 | std::uint64_t{c->awaits_end} << 42 |
          std::uint64_t{c->stalled} << 41);
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

}  // namespace cometfold::explore
