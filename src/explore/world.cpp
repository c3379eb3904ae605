// The run of a world: its peers, the end of the gateway, judgement and fingerprint.
#include "explore/world.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "explore/world_parts.h"

namespace cometfold::explore {

// ---- the run ----

void World::cover(CoverageGoal goal, bool reached) {
  if (reached) coverage_ |= coverage_bit(goal);
}

std::size_t World::attempts_of(std::uint64_t request) const {
  const auto it = attempts_written_.find(request);
  return it == attempts_written_.end() ? 0 : it->second;
}

bool World::hedged_attempt_in_flight() const {
  std::map<std::uint64_t, int> out;
  return std::any_of(connections_.begin(), connections_.end(), [&](const auto& c) {
    return c->to_host && c->state != Connection::kClosed && c->request_complete && ++out[c->request] > 1;
  });
}

World::World(const Scenario& scenario, Chooser& chooser, Log log)
    : scenario_(scenario),
      settings_(settings_of(scenario)),
      chooser_(chooser),
      log_(std::move(log)),
      faults_left_(scenario.max_faults),
      monitors_(settings_, tolerances()) {
  for (HostId h = 0; h < scenario_.host_count; ++h)
    hosts_.push_back(host_entry(kFirstHost + h, HostState::kReady));
  for (std::size_t i = 0; i < scenario_.requests.size(); ++i) {
    if (i == 0 || !scenario_.shared_connection) clients_.emplace_back();
    clients_.back().requests.push_back(i);
  }
  start_gateway();
}

World::~World() {
  for (const auto& c : connections_) c->state = Connection::kClosed;  // the end of the world is no breach
}

void World::start_gateway() {
  gateway_ = std::make_unique<Gateway>(*this, settings_);
  gateway_->engine.start(now_);
  update_hosts(HostListUpdate::kCached, hosts_);
  gateway_->handler.set_ready();
}

void World::update_hosts(HostListUpdate kind, std::vector<HostEntry> entries) {
  for (const auto& e : entries) {
    if (e.state == HostState::kReady)
      gateway_->pool.add_host(e.id, {"10.0.0." + std::to_string(e.cell.value_or(0)), 1}, e.started_at);
  }
  gateway_->engine.on_host_list(now_, kind, entries);
  gateway_->pool.fail_stale_attempts(now_);
  for (const auto& e : entries) {
    Event told{.kind = Event::kHostUpdate, .gateway = 1, .host = e.id};
    told.entry = e;
    report(told);
  }
}

bool World::step() {
  if (violation_) return false;
  collect_steps(next_steps_);
  if (next_steps_.empty()) {
    check_end_state();
    return false;
  }
  if (step_count_ >= scenario_.max_events) {
    truncated_ = true;
    return false;
  }
  ++step_count_;
  const Step picked =
      next_steps_[chooser_.choose(next_steps_.size(), [&](std::size_t i) { return label(next_steps_[i]); })];
  if (picked.is_fault) --faults_left_;
  try {
    (this->*picked.apply)(picked);
  } catch (const std::exception& error) {
    report_violation("the engine's promise", std::string("an exception came out: ") + error.what());
  }
  monitors_.check_deadlines(now_);
  for (; violations_read_ < monitors_.violations().size(); ++violations_read_) {
    const auto& b = monitors_.violations()[violations_read_];
    // A module that decides anything breaks what is the module's to keep.
    const bool engines = b.rule == "no request lost" || b.rule == "drains kept";
    if (scenario_.real_policy || engines) report_violation(b.rule, b.description);
  }
  return !violation_;
}

void World::report_violation(const std::string& rule, const std::string& why) {
  if (violation_) return;
  violation_ = rules::Violation{rule, why};
  log("BROKEN: " + rule + ": " + why);
}

void World::log(const std::string& text) {
  if (log_) log_(text);
}

void World::report(Event event) {
  event.at = now_;
  monitors_.observe(event);
}

bool World::has_open_requests() const {
  if (gateway_->engine.open_count() > 0) return true;
  return std::any_of(clients_.begin(), clients_.end(),
                     [](const auto& c) { return !c.expected_replies.empty(); });
}

// ---- clients ----

void World::connect_client(std::size_t i) {
  const auto conn = std::make_shared<Connection>();
  conn->id = ++last_connection_id_;
  conn->client = i;
  conn->state = Connection::kUp;
  connections_.push_back(conn);
  clients_[i].connection = conn;
  const auto link = std::make_shared<resp::ClientConnection>(*this, gateway_->totals, conn->id, now_);
  conn->callbacks = link;
  gateway_->clients.emplace(conn->id, link);
  link->start(std::make_unique<SimulatedStream>(*this, conn));
}

resp::CommandResult World::on_command(Ms now, resp::ResponseHandle ticket, std::span<const resp::Item> words,
                                      Ms waited) {
  return gateway_->handler.on_command(now, ticket, words, waited);
}
void World::on_reply_pending(std::uint64_t identity) { gateway_->handler.on_reply_pending(identity); }
void World::on_reply_flushed(std::uint64_t identity) { gateway_->handler.on_reply_flushed(identity); }
void World::on_client_disconnected(Ms now, std::uint64_t name) {
  gateway_->engine.on_client_disconnected(now, name);
}
void World::on_closed(std::uint64_t id) { gateway_->clients.erase(id); }

void World::send_reply(Ms now, resp::ResponseHandle ticket, std::string_view reply) {
  if (!replied_.insert({ticket.connection, ticket.sequence}).second) {
    report_violation("the engine's promise", "a second answer reached the front end for one request");
  }
  const auto it = gateway_->clients.find(ticket.connection);
  if (it != gateway_->clients.end()) std::shared_ptr(it->second)->send_reply(now, ticket.sequence, reply);
}
void World::send_error(Ms now, resp::ResponseHandle ticket, std::string_view why) {
  const auto it = gateway_->clients.find(ticket.connection);
  if (it != gateway_->clients.end()) std::shared_ptr(it->second)->send_error(now, ticket.sequence, why);
}

// The client takes in what the gateway has written: answers in the order of its requests.
void World::receive_at_client(Connection& conn) {
  Client& client = clients_[conn.client];
  while (!conn.sent.empty()) {
    const auto space = client.reader.prepare();
    const auto n = std::min(space.size(), conn.sent.size());
    std::memcpy(space.data(), conn.sent.data(), n);
    client.reader.commit(n);
    conn.sent.erase(0, n);
    resp::Frame frame;
    while (client.reader.next(frame) == resp::ReadResult::kFrame) {
      if (client.expected_replies.empty()) {
        report_violation("no request lost", "an answer came on a connection on which none is owed");
        return;
      }
      const auto request = client.expected_replies.front().request;
      client.expected_replies.erase(client.expected_replies.begin());
      const auto& item = frame.items.at(0);
      const bool value = item.type == resp::ItemType::kBulk, refused = item.text.starts_with("BUSY");
      log("  client: request " + std::to_string(request) + " gets '" + std::string(item.text) + "'");
      answered_at_[request] = now_;
      if (request == 0) {
        if (value) report_violation("no request lost", "a mistaken request was served");
        continue;
      }
      if (item.text.starts_with("ERR another open request")) {
        report_violation("the engine's promise", "a request whose id is free was turned away");
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
  const auto conn = std::make_shared<Connection>();
  conn->id = ++last_connection_id_;
  conn->to_host = true;
  // Whoever is at the address now: the process that was listed there last.
  const auto cell = static_cast<std::uint32_t>(std::stoul(at.ip.substr(at.ip.rfind('.') + 1)));
  for (const auto& e : hosts_) {
    if (e.cell == cell && (conn->host == 0 || e.state != HostState::kRemoved)) conn->host = e.id;
  }
  conn->callbacks = events.weak_from_this();
  conn->connect_by = now_ + timeout;
  connections_.push_back(conn);
  log("  pool: connection " + std::to_string(conn->id) + " to host " + std::to_string(conn->host));
  return std::make_unique<SimulatedStream>(*this, conn);
}

// What the gateway has written to a host so far.
void World::receive_at_host(Connection& conn) {
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
  conn.request_complete = true;
  cover(CoverageGoal::kThirdAttempt, ++attempts_written_[conn.request] > 2);
  cover(CoverageGoal::kHedgedAttemptInFlight, hedged_attempt_in_flight());
  conn.attempt_number = attempts_written_[conn.request];
  log("  host " + std::to_string(conn.host) + ": has request " + std::to_string(conn.request) + " whole");
  report({.kind = Event::kAttemptWritten,
          .gateway = 1,
          .request = conn.request,
          .connection = conn.id,
          .host = conn.host});
}

// The attempt on this connection is out no more.
void World::end_attempt(Connection& conn, bool never_ran) {
  if (conn.request == 0) return;
  const auto kind = never_ran || !conn.request_complete ? Event::kNotExecuted : Event::kAttemptEnded;
  report({.kind = kind, .gateway = 1, .request = conn.request, .connection = conn.id, .host = conn.host});
  conn.request = 0;
  conn.request_complete = false;
  conn.sent.clear();
}

std::optional<Ms> World::may_write(Ms now, engine::AttemptId attempt, bool begun) {
  return gateway_->engine.may_write(now, attempt, begun);
}

void World::on_attempt_end(Ms now, engine::AttemptId attempt, Outcome outcome, std::string_view value,
                           std::string_view) {
  gateway_->engine.on_attempt_end(now, attempt, outcome, value, {});
}

// `bytes` arrive, and the loop reads what has arrived if somebody wants it.
void World::deliver(Connection& c, const std::string& bytes) {
  Connection* const conn = &c;
  conn->incoming += bytes;
  while (conn->state == Connection::kUp && conn->reading && (!conn->incoming.empty() || conn->peer_closed)) {
    const auto events = conn->callbacks.lock();
    if (!events) return;
    conn->reading = false;
    const auto n = std::min(conn->read_buffer.size(), conn->incoming.size());
    std::memcpy(conn->read_buffer.data(), conn->incoming.data(), n);
    conn->incoming.erase(0, n);
    events->on_read(now_, n, n == 0);
  }
  const auto events = conn->callbacks.lock();
  if (conn->state == Connection::kUp && conn->peer_closed && events &&
      std::exchange(conn->awaits_close, false)) {
    events->on_read(now_, 0, true);
  }
}

void World::close_by_peer(Connection& conn) {
  conn.peer_closed = true;
  deliver(conn, "");
}

// ---- crash and end ----

void World::crash_gateway(const Step&) {
  report({.kind = Event::kGatewayCrashed, .gateway = 1});
  for (const auto& c : connections_) {
    cover(CoverageGoal::kCrashWithAttemptInFlight,
          c->to_host && c->request_complete && c->state != Connection::kClosed);
    if (c->state != Connection::kClosed && c->to_host) end_attempt(*c, false);
    c->state = Connection::kClosed;
    c->callbacks.reset();
  }
  for (auto& c : clients_) {  // what it held is lost with it; a client that has more to ask connects anew
    c.expected_replies.clear();
    c.connection.reset();
    c.reader = resp::RespReader(resp::RespLimits{}, false);
  }
  policy_input_ = {};
  ++incarnation_;
  draining_clients_ = false;
  start_gateway();
}

void World::check_end_state() {
  if (has_open_requests())
    return report_violation("no request lost", "an answer is owed, and nothing can happen any more");
  if (gateway_->engine.unanswered_count() > 0)
    return report_violation("the engine's promise", "it counts requests that nobody has open");
  if (gateway_->engine.payload_bytes() > 0)
    return report_violation("the engine's promise", "it holds payloads of nothing");
  if (gateway_->totals.unsent_bytes > 0)
    return report_violation("the engine's promise", "it counts unsent answers, and all are sent");
  if (scenario_.real_policy && gateway_->policy->in_flight_count() > 0)
    return report_violation("the engine's promise", "the module was not told of an attempt's end");
}

std::uint64_t World::fingerprint() const {
  engine::Digest d;
  d.add(now_);
  d.add(static_cast<std::uint64_t>(faults_left_));
  d.add(std::uint64_t{incarnation_} << 1 | std::uint64_t{draining_clients_});
  gateway_->engine.digest(d);
  gateway_->pool.digest(d);
  for (const auto& [id, link] : gateway_->clients) link->digest(d);
  for (const auto& c : connections_) {
    if (c->state == Connection::kClosed) continue;
    d.add(c->id << 8 | std::uint64_t{c->state} << 4 | std::uint64_t{c->reading} << 3 |
          std::uint64_t{c->awaits_writable} << 2 | std::uint64_t{c->blocked} << 1 | std::uint64_t{c->posted});
    d.add(std::uint64_t{c->host} << 2 | std::uint64_t{c->peer_closed} << 1 |
          std::uint64_t{c->request_complete} | std::uint64_t{c->send_shutdown} << 40 |
          std::uint64_t{c->awaits_close} << 42 | std::uint64_t{c->stalled} << 41);
    d.add(c->connect_by);
    d.add(c->request);
    d.add(c->incoming);
    d.add(c->sent);
  }
  for (const auto& c : clients_) {
    d.add(std::uint64_t{c.sent_count} << 1 | std::uint64_t{c.disconnected});
    for (const auto& owed : c.expected_replies) d.add(owed.request);
  }
  for (const auto& e : hosts_) {
    d.add(std::uint64_t{e.id} << 2 | static_cast<std::uint64_t>(e.state));
    d.add(e.started_at);
  }
  monitors_.digest(d);
  if (scenario_.real_policy) {
    d.add(policy_input_.value());
  } else {
    gateway_->arbitrary_policy->digest(d);
  }
  return d.value();
}

}  // namespace cometfold::explore
