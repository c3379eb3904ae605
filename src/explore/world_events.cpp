// What can happen next in a world, and what it does.
#include "explore/world_parts.h"

namespace cometfold::explore {

void World::collect_steps(std::vector<Step>& all) {
  all.clear();
  collect_connection_steps(all);
  collect_client_steps(all);
  collect_timer_steps(all);
  collect_host_list_steps(all);
  if (faults_left_ <= 0) std::erase_if(all, [](const auto& o) { return o.is_fault; });
}

std::string World::label(const Step& o) const {
  std::string text;
  for (const char* p = o.label; *p; ++p) {
    if (*p != '{') {
      text += *p;
      continue;
    }
    switch (*++p) {
      case 'c':
        text += std::to_string(o.connection->id);
        break;
      case 'r':
        text += std::to_string(o.connection->request);
        break;
      case 'h':
        text += std::to_string(o.connection->host);
        break;
      default:
        text += std::to_string(o.number);
    }
    ++p;  // the closing brace
  }
  return text;
}

void World::collect_client_steps(std::vector<Step>& all) {
  for (std::size_t k = 0; k < clients_.size(); ++k) {
    Client& c = clients_[k];
    const bool can = c.connection ? c.connection->state == Connection::kUp && !c.connection->send_shutdown
                                  : !draining_clients_;
    // Clients that are alike send in their order: the other way round is the same run under other names.
    const bool turn = k == 0 || clients_[k - 1].sent_count > 0 || clients_[k - 1].disconnected;
    if (can && turn && !c.disconnected && c.sent_count < c.requests.size()) {
      const std::size_t i = c.requests[c.sent_count];
      all.push_back({"client sends request {n}", false, &World::send_request, nullptr, i + 1, k});
      if (scenario_.enabled_faults.identity_reuse && i > 0) {
        all.push_back({"client sends request {n} under the first one's id", true, &World::send_request,
                       clients_[0].connection.get(), i + 1, k});
      }
    }
    if (scenario_.enabled_faults.client_disconnect && c.connection && !c.disconnected &&
        c.connection->state == Connection::kUp) {
      all.push_back({"client {n} closes", true, &World::close_client, nullptr, k + 1, k});
    }
  }
}

void World::collect_connection_steps(std::vector<Step>& all) {
  const auto& menu = scenario_.enabled_faults;
  for (const auto& shared : connections_) {
    Connection* const conn = shared.get();
    if (conn->state == Connection::kClosed) continue;
    if (conn->posted) {
      all.push_back({"the loop comes back to connection {c}", false, &World::run_posted, conn});
    }
    if (conn->blocked && conn->state == Connection::kUp) {
      all.push_back({"connection {c} has room to write", false, &World::make_writable, conn});
    }
    const bool waits = conn->to_host && (conn->state == Connection::kConnecting || conn->request_complete);
    if (waits && !conn->stalled) {
      all.push_back({"the peer of connection {c} is slow", true, &World::stall_peer, conn});
    }
    if (conn->state == Connection::kConnecting) {
      all.push_back({"connection {c} comes up", false, &World::complete_connect, conn});
      if (menu.connect_refused)
        all.push_back({"connection {c} is refused", true, &World::fail_connect, conn});
      if (now_ >= conn->connect_by) {
        all.push_back({"connection {c} never came up", false, &World::fail_connect, conn});
      }
      continue;
    }
    if (!conn->to_host) continue;
    if (conn->request_complete) collect_reply_steps(all, conn);
    if (conn->reading && (!conn->incoming.empty() || conn->peer_closed)) {
      all.push_back({"the loop reads connection {c}", false, &World::read_connection, conn});
    } else if (!conn->peer_closed && !conn->request_complete) {
      if (menu.extra_bytes && conn->sent.empty()) {
        all.push_back({"noise arrives on connection {c}", true, &World::send_extra_bytes, conn});
      }
      if (menu.connection_loss)
        all.push_back({"the host closes connection {c}", true, &World::close_by_host, conn});
    }
  }
}

// What a host may do with a request that it has whole.
enum World::ReplyKind : std::size_t { kGood, kError, kBusy, kSpoilt, kSpoiltTwin, kTwin, kNone, kHalf };

void World::collect_reply_steps(std::vector<Step>& all, Connection* conn) {
  const auto& menu = scenario_.enabled_faults;
  const auto add = [&](bool on, const char* text, ReplyKind reply) {
    if (on) all.push_back({text, reply != kGood, &World::reply_by_host, conn, reply});
  };
  add(true, "host {h} answers request {r} on connection {c}", kGood);
  add(menu.error_reply, "host {h} fails request {r} on connection {c}", kError);
  add(menu.busy_reply, "host {h} turns request {r} away on connection {c}", kBusy);
  add(menu.malformed_reply, "host {h} answers request {r} on connection {c}, spoilt", kSpoilt);
  add(menu.malformed_reply, "host {h} answers request {r} on connection {c}, spoilt, and more behind",
      kSpoiltTwin);
  add(menu.extra_bytes, "host {h} answers request {r} on connection {c}, and more behind", kTwin);
  add(menu.connection_loss, "host {h} closes connection {c} without an answer to request {r}", kNone);
  add(menu.connection_loss, "host {h} breaks off connection {c} within its answer to request {r}", kHalf);
}

void World::reply_by_host(const Step& o) {
  Connection& conn = *o.connection;
  const auto value = "v" + std::to_string(conn.request) + "." + std::to_string(conn.id);
  if (o.number == kGood || o.number == kTwin || o.number == kHalf) {
    report({.kind = Event::kExecuted, .request = conn.request, .host = conn.host, .value = value});
  }
  cover(CoverageGoal::kReplyAfterRetry, conn.attempt_number < attempts_of(conn.request) && o.number == kGood);
  cover(CoverageGoal::kAttemptLost, o.number == kNone || o.number == kHalf || o.number == kSpoilt);
  cover(CoverageGoal::kReplyAtDeadline, o.number == kGood && now_ == deadlines_[conn.request]);
  end_attempt(conn, o.number == kBusy);
  switch (static_cast<ReplyKind>(o.number)) {
    case kGood:
      return deliver(conn, reply_bytes(value));
    case kError:
      return deliver(conn, "-ERR failed\r\n");
    case kBusy:
      return deliver(conn, "-BUSY\r\n");
    case kSpoilt:
      return deliver(conn, "*2\r\n$3\r\nbad\r\n$-1\r\n");
    case kSpoiltTwin:
      return deliver(conn, std::string("*2\r\n$3\r\nbad\r\n$-1\r\n").append(reply_bytes("twin")));
    case kTwin:
      return deliver(conn, reply_bytes(value) + reply_bytes("twin"));
    case kHalf:
      deliver(conn, reply_bytes(value).substr(0, 10));
      return close_by_peer(conn);
    case kNone:
      return close_by_peer(conn);
  }
}

// What the list may say of host 1, by `Option::n`.
enum World::HostChange : std::size_t { kDrains, kRestarted, kGone, kReplaced };

void World::collect_host_list_steps(std::vector<Step>& all) {
  const auto& menu = scenario_.enabled_faults;
  const auto first =
      std::find_if(hosts_.begin(), hosts_.end(), [](const auto& e) { return e.id == kFirstHost; });
  const auto add = [&](bool on, const char* text, HostChange change) {
    if (on) all.push_back({text, true, &World::change_host, nullptr, change});
  };
  const bool ready = first->state == HostState::kReady, there = first->state != HostState::kRemoved;
  add(menu.host_drain && ready, "list: host 1 drains", kDrains);
  add(menu.host_restart && ready && first->started_at == 0, "list: host 1 has restarted", kRestarted);
  add(menu.host_removal && there, "list: host 1 is gone", kGone);
  add(menu.host_replacement && there, "list: host 1 is gone, host 9 is at its address", kReplaced);
  if (menu.list_reload) all.push_back({"reload: the whole list again", true, &World::reload_list});
  if (menu.gateway_crash && incarnation_ == 0) {
    all.push_back({"the gateway crashes and starts again", true, &World::crash_gateway});
  }
  if (menu.shutdown && !gateway_->engine.shutdown_deadline())
    all.push_back({"SIGTERM", true, &World::begin_shutdown});
  if (gateway_->engine.shutdown_deadline() && !draining_clients_) {
    all.push_back({"the stop winds down", false, &World::drain_clients});
  }
}

std::optional<Ms> World::next_time() const {
  std::optional<Ms> next = gateway_->engine.next_timer();
  const auto sooner = [&](Ms at) {
    if (!next || at < *next) next = at;
  };
  for (const auto& c : connections_) {
    if (c->state == Connection::kConnecting) sooner(c->connect_by);
  }
  const auto settle = gateway_->engine.shutdown_deadline();
  if (settle && gateway_->engine.unanswered_count() > 0) sooner(*settle);
  return next;
}

// Something that would happen at once, as no peer is slow there: time waits for it.
bool World::has_immediate_event() const {
  return std::any_of(connections_.begin(), connections_.end(), [](const auto& c) {
    if (c->state == Connection::kClosed) return false;
    const bool loop = c->posted || c->blocked || (c->reading && (!c->incoming.empty() || c->peer_closed));
    const bool peer = c->to_host && (c->state == Connection::kConnecting || c->request_complete);
    return loop || (peer && !c->stalled);
  });
}

void World::collect_timer_steps(std::vector<Step>& all) {
  const auto due = gateway_->engine.next_timer();
  const auto settle = gateway_->engine.shutdown_deadline();
  if (due && *due <= now_) all.push_back({"due timers run", false, &World::run_timers});
  if (settle && *settle <= now_ && gateway_->engine.unanswered_count() > 0) {
    all.push_back({"the stop settles all", false, &World::fail_remaining});
  }
  const auto next = next_time();
  if (next && *next > now_ && has_open_requests() && !has_immediate_event()) {
    all.push_back({"time passes", false, &World::advance_time});
  }
}

// ---- what options do ----

void World::send_request(const Step& o) {
  Client& client = clients_[o.client];
  const std::size_t i = o.number - 1;
  const bool same = o.is_fault;
  if (!client.connection) connect_client(o.client);
  ++client.sent_count;
  bool first_open = false;  // as far as clients can know: until the last byte of its answer
  for (const auto& other : clients_) {
    for (const auto& owed : other.expected_replies) first_open = first_open || owed.request == 1;
  }
  const bool mistake = same && first_open;
  client.expected_replies.push_back({mistake ? 0 : i + 1});
  const Idempotency repeat = scenario_.requests[i];
  if (!mistake) {
    Event taken{.kind = Event::kRequestReceived, .gateway = 1, .request = i + 1};
    taken.class_index = static_cast<std::uint32_t>(repeat);
    taken.customer = 1;
    taken.expires_at = now_ + scenario_.client_timeout_ms;
    deadlines_[i + 1] = taken.expires_at;
    cover(CoverageGoal::kIdentityReused, same);
    report(taken);
  }
  std::string text;
  resp::append_array(text, 5);
  resp::append_bulk(text, repeat == Idempotency::kIdempotent ? "SVC.QUERY" : "SVC.SUBMIT");
  resp::append_bulk(text, hex(1));
  resp::append_bulk(text, hex(same ? 1 : i + 1));
  resp::append_bulk(text, std::string("c=") + name_of(repeat) +
                              ",t=team,d=" + std::to_string(static_cast<int>(scenario_.client_timeout_ms)) +
                              ",k=ab,units=1,spread=1,first=0");
  resp::append_bulk(text, "L" + std::to_string(i + 1));
  deliver(*client.connection, text);
}

void World::close_client(const Step& o) {
  Client& client = clients_[o.client];
  client.disconnected = true;
  for (const auto& [request, at] : answered_at_) cover(CoverageGoal::kDisconnectAtInstantOfReply, at == now_);
  for (const auto& owed : client.expected_replies) {
    cover(CoverageGoal::kDisconnectWithAttemptInFlight, attempts_of(owed.request) > 0);
    if (owed.request != 0)
      report({.kind = Event::kClientDisconnected, .gateway = 1, .request = owed.request});
  }
  client.expected_replies.clear();
  close_by_peer(*client.connection);
}

void World::run_posted(const Step& o) {
  o.connection->posted = false;
  if (const auto events = o.connection->callbacks.lock()) events->on_posted(now_);
}

void World::make_writable(const Step& o) {
  o.connection->blocked = false;
  if (!std::exchange(o.connection->awaits_writable, false)) return;
  if (const auto events = o.connection->callbacks.lock()) events->on_writable(now_, true);
}

void World::complete_connect(const Step& o) {
  o.connection->state = Connection::kUp;
  o.connection->stalled = false;
  if (const auto events = o.connection->callbacks.lock()) events->on_connected(now_, true);
}

void World::fail_connect(const Step& o) {
  if (const auto events = o.connection->callbacks.lock()) events->on_connected(now_, false);
}

void World::stall_peer(const Step& o) { o.connection->stalled = true; }
void World::read_connection(const Step& o) { deliver(*o.connection, ""); }
void World::send_extra_bytes(const Step& o) {
  o.connection->incoming += reply_bytes("noise of " + std::to_string(o.connection->id));
}

void World::close_by_host(const Step& o) {
  end_attempt(*o.connection, true);
  o.connection->peer_closed = true;
}

void World::change_host(const Step& o) {
  for (const auto& c : connections_) {
    if (!c->to_host || c->host != kFirstHost || c->state == Connection::kClosed) continue;
    const bool waits = c->state == Connection::kConnecting, drains = o.number == kDrains || o.number == kGone;
    cover(CoverageGoal::kDrainWhileWaiting, drains && waits);
    cover(CoverageGoal::kReplacedWhileWaiting, o.number == kReplaced && waits);
    // Whatever waits while some request has been sent before, and lost its attempt, is its resend.
    const bool again =
        std::any_of(attempts_written_.begin(), attempts_written_.end(), [](auto& s) { return s.second > 0; });
    cover(CoverageGoal::kDrainDuringRetry,
          drains && ((waits && again) || (c->request_complete && c->attempt_number > 1)));
  }
  std::vector<HostEntry> changes;
  switch (static_cast<HostChange>(o.number)) {
    case kDrains:
      changes = {host_entry(1, HostState::kDraining)};
      break;
    case kRestarted:
      changes = {host_entry(1, HostState::kReady, now_)};
      break;
    case kGone:
      changes = {host_entry(1, HostState::kRemoved)};
      break;
    case kReplaced:
      changes = {host_entry(1, HostState::kRemoved), host_entry(9, HostState::kReady, now_)};
      changes.back().cell = 1;  // host 1's address
      break;
  }
  for (const auto& e : changes) {
    std::erase_if(hosts_, [&](const auto& known) { return known.id == e.id; });
    hosts_.push_back(e);
  }
  update_hosts(HostListUpdate::kDelta, changes);
}

void World::reload_list(const Step&) { update_hosts(HostListUpdate::kSnapshot, hosts_); }
void World::begin_shutdown(const Step&) {
  cover(CoverageGoal::kShutdownWithHedgedAttempt, hedged_attempt_in_flight());
  gateway_->engine.begin_shutdown(now_);
}

void World::drain_clients(const Step&) {
  draining_clients_ = true;
  const auto links = gateway_->clients;
  for (const auto& [id, link] : links) link->start_draining(now_);
}

void World::fail_remaining(const Step&) {
  gateway_->engine.fail_all(now_);
  if (gateway_->engine.unanswered_count() > 0)
    report_violation("no request lost", "the stop left a request without its answer");
}

void World::run_timers(const Step&) {
  for (const auto& c : connections_) {
    const bool out = c->to_host && c->state != Connection::kClosed && c->request_complete;
    cover(CoverageGoal::kDeadlineBeforeReply, out && now_ == deadlines_[c->request]);
  }
  gateway_->engine.run_timers(now_);
}

void World::advance_time(const Step&) {
  now_ = *next_time();
  log("  it is " + std::to_string(static_cast<long>(now_)));
}

}  // namespace cometfold::explore
