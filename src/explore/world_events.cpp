// What can happen next in a world, and what it does.
#include "explore/world_parts.h"

namespace cometfold::explore {

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
enum World::Reply : std::size_t { kGood, kError, kBusy, kSpoilt, kSpoiltTwin, kTwin, kNone, kHalf };

void World::answer_options(std::vector<Option>& all, Conn* conn) {
  const auto& menu = scenario_.menu;
  const auto add = [&](bool on, const char* text, Reply reply) {
    if (on) all.push_back({text, reply != kGood, &World::host_answers, conn, reply});
  };
  add(true, "host {h} answers request {r} on connection {c}", kGood);
  add(menu.error, "host {h} fails request {r} on connection {c}", kError);
  add(menu.busy, "host {h} turns request {r} away on connection {c}", kBusy);
  add(menu.spoilt, "host {h} answers request {r} on connection {c}, spoilt", kSpoilt);
  add(menu.spoilt, "host {h} answers request {r} on connection {c}, spoilt, and more behind", kSpoiltTwin);
  add(menu.noise, "host {h} answers request {r} on connection {c}, and more behind", kTwin);
  add(menu.broken, "host {h} closes connection {c} without an answer to request {r}", kNone);
  add(menu.broken, "host {h} breaks off connection {c} within its answer to request {r}", kHalf);
}

void World::host_answers(const Option& o) {
  Conn& conn = *o.conn;
  const auto value = "v" + std::to_string(conn.request) + "." + std::to_string(conn.id);
  if (o.n == kGood || o.n == kTwin || o.n == kHalf) {
    report({.kind = Event::kExecuted, .request = conn.request, .host = conn.host, .value = value});
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
    case kSpoiltTwin:
      return deliver(conn, std::string("*2\r\n$3\r\nbad\r\n$-1\r\n").append(served("twin")));
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
  const bool ready = first->state == HostState::kReady, there = first->state != HostState::kRemoved;
  add(menu.drain && ready, "list: host 1 drains", kDrains);
  add(menu.restarted && ready && first->started_at == 0, "list: host 1 has restarted", kRestarted);
  add(menu.gone && there, "list: host 1 is gone", kGone);
  add(menu.replaced && there, "list: host 1 is gone, host 9 is at its address", kReplaced);
  if (menu.relist) all.push_back({"reload: the whole list again", true, &World::reloads});
  if (menu.crash && life_ == 0) {
    all.push_back({"the gateway crashes and starts again", true, &World::crashes});
  }
  if (menu.stop && !node_->engine.shutdown_deadline()) all.push_back({"SIGTERM", true, &World::stop_begins});
  if (node_->engine.shutdown_deadline() && !winding_down_) {
    all.push_back({"the stop winds down", false, &World::stop_winds_down});
  }
}

std::optional<Ms> World::next_time() const {
  std::optional<Ms> next = node_->engine.next_timer();
  const auto sooner = [&](Ms at) {
    if (!next || at < *next) next = at;
  };
  for (const auto& c : conns_) {
    if (c->state == Conn::kConnecting) sooner(c->connect_by);
  }
  const auto settle = node_->engine.shutdown_deadline();
  if (settle && node_->engine.unanswered_count() > 0) sooner(*settle);
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
  const auto due = node_->engine.next_timer();
  const auto settle = node_->engine.shutdown_deadline();
  if (due && *due <= now_) all.push_back({"due timers run", false, &World::timers_run});
  if (settle && *settle <= now_ && node_->engine.unanswered_count() > 0) {
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
  bool first_open = false;  // as far as clients can know: until the last byte of its answer
  for (const auto& other : clients_) {
    for (const auto& owed : other.owed) first_open = first_open || owed.request == 1;
  }
  const bool mistake = same && first_open;
  client.owed.push_back({mistake ? 0 : i + 1});
  const Idempotency repeat = scenario_.requests[i];
  if (!mistake) {
    Event taken{.kind = Event::kRequestReceived, .gateway = 1, .request = i + 1};
    taken.class_index = static_cast<std::uint32_t>(repeat);
    taken.customer = 1;
    taken.expires_at = now_ + scenario_.wait;
    expires_[i + 1] = taken.expires_at;
    saw(Sight::kIdUsedAgain, same);
    report(taken);
  }
  std::string text;
  resp::append_array(text, 5);
  resp::append_bulk(text, repeat == Idempotency::kIdempotent ? "SVC.QUERY" : "SVC.SUBMIT");
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
    if (owed.request != 0)
      report({.kind = Event::kClientDisconnected, .gateway = 1, .request = owed.request});
  }
  client.owed.clear();
  end_stream(*client.conn);
}

void World::loop_comes_back(const Option& o) {
  o.conn->later = false;
  if (const auto events = o.conn->events.lock()) events->on_posted(now_);
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
      changes = {entry(1, HostState::kRemoved)};
      break;
    case kReplaced:
      changes = {entry(1, HostState::kRemoved), entry(9, HostState::kReady, now_)};
      changes.back().cell = 1;  // host 1's address
      break;
  }
  for (const auto& e : changes) {
    std::erase_if(listed_, [&](const auto& known) { return known.id == e.id; });
    listed_.push_back(e);
  }
  list(HostListUpdate::kDelta, changes);
}

void World::reloads(const Option&) { list(HostListUpdate::kSnapshot, listed_); }
void World::stop_begins(const Option&) {
  saw(Sight::kStopWithSecondCopy, copies_out());
  node_->engine.begin_shutdown(now_);
}

void World::stop_winds_down(const Option&) {
  winding_down_ = true;
  const auto links = node_->links;
  for (const auto& [id, link] : links) link->start_draining(now_);
}

void World::stop_settles(const Option&) {
  node_->engine.fail_all(now_);
  if (node_->engine.unanswered_count() > 0)
    complain("no request lost", "the stop left a request without its answer");
}

void World::timers_run(const Option&) {
  for (const auto& c : conns_) {
    const bool out = c->to_host && c->state != Conn::kClosed && c->whole;
    saw(Sight::kDeadlineBeforeAnswer, out && now_ == expires_[c->request]);
  }
  node_->engine.run_timers(now_);
}

void World::time_passes(const Option&) {
  now_ = *next_time();
  say("  it is " + std::to_string(static_cast<long>(now_)));
}

}  // namespace cometfold::explore
