#include "gateway.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <memory>
#include <utility>

#include "log.h"
#include "settings.h"

namespace thistlepond::net {
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// A client's time runs from its send: the way here, the answer's way and a busy moment must fit besides.
constexpr Ms kMargin = 20;
constexpr Ms kLongestWait = 600'000;   // of a client; more is no sensible time
constexpr double kMostReported = 1e5;  // of a figure in a load report; no host holds so many
constexpr std::size_t kLongestName = 128;
constexpr std::size_t kManyTimers = 2048,
                      kTimersEach = 12;  // more of them are mostly of requests that are done
constexpr Ms kRest = 25;                 // noise behind an answer comes with it or in the moment after
constexpr std::size_t kSpareSockets =
    48;  // standard streams, listener, discovery, epoll and what comes between
constexpr CustomerId kCustomers = CustomerId{1} << 33;
// Connections go on coming for 0.4 s after SIGTERM; SIGKILL comes 0.7 s and the longest deadline after it, or
// 3.7 s after it if the deadline is longer.
constexpr auto kStillComing = std::chrono::milliseconds(550);
constexpr Ms kLongestDeadline = 3000;
constexpr Ms kSettleMargin = 450;
constexpr Ms kLastBytes = 150;  // for clients to read their last answers
constexpr auto kLookAgain = std::chrono::milliseconds(10);

template <typename T>
bool read_number(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool read_hex(std::string_view text, std::uint64_t& value) {
  if (text.size() != 16) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return error == std::errc{} && end == text.data() + text.size();
}

bool read_index(const std::vector<std::string>& names, std::string_view name, std::uint32_t& index) {
  const auto it = std::find(names.begin(), names.end(), name);
  index = static_cast<std::uint32_t>(it - names.begin());
  return it != names.end();
}

std::uint32_t index_of(const std::vector<std::string>& names, const std::string& name) {
  std::uint32_t index = 0;
  return read_index(names, name, index) ? index : static_cast<std::uint32_t>(names.size());
}

// The names that a request's list may hold, as bits; 0 for one that is not known here and just passed on.
constexpr unsigned kClass = 1, kPlan = 2, kWait = 4, kKey = 8, kUnits = 16, kSpread = 32, kFirst = 64;
constexpr unsigned kAgain = 128;
constexpr unsigned kNeeded = kClass | kPlan | kWait | kUnits | kSpread | kFirst;

unsigned bit_of(std::string_view name) {
  constexpr std::pair<std::string_view, unsigned> kNames[] = {
      {"c", kClass},     {"t", kPlan},        {"d", kWait},      {"k", kKey},
      {"units", kUnits}, {"spread", kSpread}, {"first", kFirst}, {"r", kAgain}};
  for (const auto& [known, bit] : kNames) {
    if (known == name) return bit;
  }
  return 0;
}

bool same_word(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return (x >= 'a' && x <= 'z' ? x - 'a' + 'A' : x) == y; });
}

PoolLimits pool_limits(const Config& config) {
  PoolLimits limits;
  const auto sockets = config.sockets > kSpareSockets ? config.sockets - kSpareSockets : 2;
  limits.connections = std::max<std::size_t>(1, sockets * 2 / 5);
  limits.per_host = std::min(limits.per_host, limits.connections);
  limits.idle_limit = config.conn_idle_ms;
  limits.rest = kRest;
  limits.connect_timeout = config.connect_timeout_ms;
  return limits;
}

ClientLimits client_limits(const Config& config) {
  ClientLimits limits;
  const auto sockets = config.sockets > kSpareSockets ? config.sockets - kSpareSockets : 2;
  limits.connections = std::max<std::size_t>(1, sockets - pool_limits(config).connections);
  // Bodies have an eighth too and as much again for their copies: the sum stays well under the limit.
  limits.unsent = limits.buffered = config.memory_mb * 1024 * 1024 / 8;
  return limits;
}

}  // namespace

HostId host_number(std::string_view uid) {
  boost::crc_32_type crc;
  crc.process_bytes(uid.data(), uid.size());
  return crc.checksum();
}

struct Gateway::Parsed {
  Request request;
  std::uint64_t wire_id = 0;
  Ms wait = 0;
  Order order;
};

Gateway::Gateway(asio::io_context& io, Clock& clock, Config config, std::function<void()> on_stopped)
    : io_(io),
      clock_(clock),
      config_(std::move(config)),
      control_(config_.settings, config_.seed),
      clients_(io, clock, *this, client_limits(config_)),
      hosts_(io, clock, *this, pool_limits(config_)),
      discovery_(io, config_.discovery, config_.seed, *this),
      on_stopped_(std::move(on_stopped)),
      timer_(io),
      stop_timer_(io) {
  hosts_.make_room = [this] { return clients_.make_room(); };
}
Gateway::~Gateway() = default;

void Gateway::start() {
  control_.start(clock_.now(), *this);
  apply(config_.known, ListKind::kCached);
  clients_.listen(config_.listen);
  discovery_.start(config_.known.version);
}

// ---- the list of hosts ----

std::vector<HostEntry> Gateway::entries(const TargetList& list) {
  std::vector<HostEntry> all;
  for (const auto& t : list.targets) {
    const HostId id = host_number(t.uid);
    auto [it, fresh] = known_.try_emplace(id);
    Known& known = it->second;
    if (!fresh && known.uid != t.uid) {
      // One in four thousand million pairs. Two hosts under one number would break what is known of both.
      log_line("two hosts have the same number: one is left out", t.uid);
      continue;
    }
    if (fresh || known.boot_ms != t.boot_ms) known = {t.uid, t.boot_ms, clock_.from_unix(t.boot_ms)};
    HostEntry e;
    e.id = id;
    e.state = t.state == TargetState::kActive    ? HostState::kReady
              : t.state == TargetState::kLeaving ? HostState::kDraining
                                                 : HostState::kGone;
    e.started_at = known.started_at;
    e.kind = index_of(config_.kinds, t.kind);
    e.zone = index_of(config_.zones, t.zone);
    e.cell = t.cell;
    e.size = t.size;
    if (e.state == HostState::kReady) hosts_.add(id, t.endpoint, e.started_at);
    all.push_back(e);
  }
  return all;
}

void Gateway::apply(const TargetList& list, ListKind kind) {
  auto all = entries(list);
  if (kind == ListKind::kWhole) {  // whoever is not named any more is gone
    std::unordered_set<HostId> named;
    for (const auto& e : all) named.insert(e.id);
    for (const auto& [id, known] : known_) {
      if (!named.contains(id)) all.push_back({.id = id, .state = HostState::kGone});
    }
  }
  control_.on_list(clock_.now(), kind, all, *this);
  for (const auto& e : all) {
    if (e.state != HostState::kReady) hosts_.retire(e.id);
    if (e.state == HostState::kGone) known_.erase(e.id);
  }
  ready_ = ready_ || !list.targets.empty();
  tell_module();
}

void Gateway::on_targets(const TargetList& list) {
  apply(list, list.whole ? ListKind::kWhole : ListKind::kChanges);
}

// ---- clients ----

std::uint64_t Gateway::on_command(Ticket ticket, std::span<const resp::Item> words) {
  if (words.empty()) {
    clients_.reject(ticket, "ERR empty command");
    return 0;
  }
  const auto verb = words[0].text;
  if (same_word(verb, "SVC.QUERY") || same_word(verb, "SVC.SUBMIT")) return take(ticket, words);
  if (same_word(verb, "PING")) {
    std::string reply;
    if (words.size() > 2) {
      reply = "-ERR wrong number of arguments for 'PING'\r\n";
    } else if (!ready_) {
      reply = "-LOADING no host is known yet\r\n";
    } else if (words.size() == 2) {
      resp::append_bulk(reply, words[1].text);
    } else {
      resp::append_simple(reply, "PONG");
    }
    clients_.answer(ticket, reply);
    return 0;
  }
  clients_.reject(ticket, "ERR unknown command '" + std::string(verb.substr(0, 64)) + "'");
  return 0;
}

// The reason why a request is none, or null.
const char* Gateway::parse(std::span<const resp::Item> words, Parsed& parsed) const {
  if (words.size() != 4 && words.size() != 5) return "wrong number of arguments";
  Request& q = parsed.request;
  if (!read_hex(words[1].text, q.customer) || q.customer >= kCustomers) return "bad customer";
  if (!read_hex(words[2].text, parsed.wire_id)) return "bad id";

  unsigned seen = 0;
  std::uint32_t first = 0;
  auto list = words[3].text;
  std::string* part = &parsed.order.before;
  while (!list.empty()) {
    const auto field = list.substr(0, list.find(','));
    list.remove_prefix(std::min(field.size() + 1, list.size()));
    const auto eq = field.find('=');
    if (eq == std::string_view::npos || eq == 0) return "bad list of names and values";
    const auto name = field.substr(0, eq), value = field.substr(eq + 1);
    const unsigned bit = bit_of(name);
    if (bit != 0 && (seen & bit)) return "a name stands twice";
    seen |= bit;
    if (bit == kClass && !read_index(config_.class_names, value, q.class_index)) return "unknown class";
    if (bit == kPlan && !read_index(config_.plan_names, value, q.plan_index)) return "unknown plan";
    if (bit == kWait &&
        (!read_number(value, parsed.wait) || !(parsed.wait > 0) || parsed.wait > kLongestWait)) {
      return "d is out of range";
    }
    if (bit == kKey && (value.empty() || value.size() > kLongestName)) return "bad key";
    if (bit == kUnits && (!read_number(value, q.units) || !(q.units > 0) ||
                          q.units > config_.settings.largest_units * (1 + 1e-6))) {
      return "units is out of range";
    }
    if (bit == kSpread &&
        (!read_number(value, q.spread) || !(q.spread >= 1) || q.spread > config_.settings.gateways)) {
      return "spread is out of range";
    }
    if (bit == kFirst && (!read_number(value, first) || first >= config_.settings.gateways)) {
      return "first is out of range";
    }
    if (bit == kAgain) q.repeat = value == "1";
    if (bit == kWait) {
      *part += "d=";
      part = &parsed.order.after;
      if (!list.empty()) *part += ',';
    } else {
      *part += field;
      if (!list.empty()) *part += ',';
    }
  }
  if ((seen & kNeeded) != kNeeded) return "c, t, d, units, spread and first are needed";
  const auto repeat = config_.settings.classes[q.class_index].repeat;
  if (repeat == Repeat::kKeyed && !(seen & kKey)) return "a keyed class needs k";
  if (same_word(words[0].text, "SVC.QUERY") != (repeat == Repeat::kSafe))
    return "wrong command for the class";
  for (const auto& w : words.first(3)) resp::append_bulk(parsed.order.head, w.text);
  if (words.size() == 5) resp::append_bulk(parsed.order.body, words[4].text);
  parsed.order.words = words.size();
  return nullptr;
}

std::uint64_t Gateway::take(Ticket ticket, std::span<const resp::Item> words) {
  Parsed parsed;
  if (const char* why = parse(words, parsed)) {
    clients_.reject(ticket, std::string("ERR ") + why);
    return 0;
  }
  // Danger: two requests of one id would be one at the hosts, and one's answer could be taken for the
  // other's.
  if (open_ids_.contains(parsed.wire_id)) {
    clients_.reject(ticket, "ERR another open request has this id");
    return 0;
  }
  // Nothing has been sent for it, so a refusal is lawful. An eighth of the memory may be bodies: an attempt
  // holds a copy, and what comes in and goes out needs as much again.
  if (owed_ >= config_.max_open ||
      held_bytes_ + parsed.order.body.size() > config_.memory_mb * 1024 * 1024 / 8) {
    clients_.answer(ticket, "-BUSY\r\n");
    return 0;
  }
  const Ms now = clock_.now();
  const RequestId id = ++last_request_;
  Ms expires_at = now + std::max(parsed.wait - kMargin, 0.0);
  if (stop_at_) expires_at = std::min(expires_at, *stop_at_);
  parsed.request.id = id;
  parsed.request.expires_at = expires_at;
  held_bytes_ += parsed.order.body.size();
  asked_.emplace(id, Asked{ticket, std::move(parsed.order), expires_at, parsed.wire_id, false, {}, 0});
  open_ids_.insert(parsed.wire_id);
  ++owed_;
  timers_.push({expires_at, Timer::kExpiry, id});
  try {
    control_.on_request(now, parsed.request, *this);
    tell_module();
  } catch (const std::exception& error) {  // its connection reads on; the deadline's timer settles it
    log_line("the module threw", error.what());
  }
  arm_timer();
  return asked_.contains(id) ? id : 0;
}

void Gateway::on_client_gone(std::uint64_t name) {
  const auto it = asked_.find(name);
  if (it == asked_.end() || it->second.answered) return;
  it->second.answered = true;
  open_ids_.erase(it->second.wire_id);
  --owed_;
  control_.on_gone(clock_.now(), name, *this);
  forget_if_done(name);
  tell_module();
}

// ---- the module's actions ----

std::string Gateway::render(const Order& order, Ms left) const {
  std::string list =
      order.before + std::to_string(static_cast<std::int64_t>(std::max(std::floor(left), 1.0)));
  list += order.after;
  std::string request;
  request.reserve(order.head.size() + list.size() + order.body.size() + 32);
  resp::append_array(request, order.words);
  request += order.head;
  resp::append_bulk(request, list);
  request += order.body;
  return request;
}

void Gateway::send(RequestId request, HostId host, Ms give_up_after) {
  const auto it = asked_.find(request);
  if (it == asked_.end()) return;
  Asked& r = it->second;
  const Ms now = clock_.now();
  const auto index = static_cast<std::uint32_t>(r.tries.size());
  const AttemptId attempt = ++last_attempt_;
  Ms left = r.expires_at - now;
  if (give_up_after > 0) left = std::min(left, give_up_after);
  r.tries.push_back({attempt, host, now, now + left, true});
  ++r.out;
  if (r.answered || left <= 0) return end_try(request, index, Outcome::kNotSent, {});
  tries_.emplace(attempt, std::pair{request, index});
  const auto started = hosts_.start(attempt, host, render(r.order, left));
  if (started != StartResult::kStarted) {
    const bool here = started == StartResult::kNoRoomHere;
    return end_try(request, index, here ? Outcome::kNotSent : Outcome::kConnectFailed, {});
  }
  if (now + left < r.expires_at) timers_.push({now + left, Timer::kExpiry, request});
}

void Gateway::cancel(RequestId request, std::uint32_t attempt) {
  const auto it = asked_.find(request);
  if (it == asked_.end() || attempt >= it->second.tries.size() || !it->second.tries[attempt].out) return;
  hosts_.abandon(it->second.tries[attempt].id);
  end_try(request, attempt, Outcome::kCancelled, {});
}

void Gateway::refuse(RequestId request, Ms retry_after) {
  if (retry_after >= 1) {
    settle(request, "-BUSY " + std::to_string(static_cast<std::int64_t>(std::ceil(retry_after))) + "\r\n");
  } else {
    settle(request, "-BUSY\r\n");
  }
}

void Gateway::fail(RequestId request) { settle(request, "-ERR failed\r\n"); }

void Gateway::wake(Ms after, std::uint64_t token) {
  timers_.push({clock_.now() + std::max(after, 0.0), Timer::kModule, token});
}

void Gateway::probe(HostId) {}  // ruled out: the settings never allow it

// The watch is always on, goes on from the list known last and comes back by itself; its first line is what a
// call would tell.
void Gateway::follow_list() {}
void Gateway::fetch_list() {}

void Gateway::note(std::string_view text) { log_line("note", text); }

// ---- ends ----

void Gateway::on_attempt_end(AttemptId attempt, Outcome outcome, std::string_view value,
                             std::string_view report) {
  const auto it = tries_.find(attempt);
  if (it == tries_.end()) return;
  const auto [request, index] = it->second;
  const auto at = asked_.find(request);
  // A value that comes after the final answer goes nowhere.
  if (outcome == Outcome::kOk && !at->second.answered) {
    std::string reply;
    reply.reserve(value.size() + 16);
    resp::append_bulk(reply, value);
    settle(request, reply);
  }
  end_try(request, index, outcome, read_report(report));
  tell_module();
  arm_timer();
}

// The one place where an attempt ends. The module is told from the queue: most calls come from inside it.
void Gateway::end_try(RequestId id, std::uint32_t attempt, Outcome outcome, const LoadReport& load) {
  Asked& r = asked_.at(id);
  Try& t = r.tries[attempt];
  if (!t.out) return;
  t.out = false;
  --r.out;
  tries_.erase(t.id);
  ends_.push_back({id, attempt, outcome, load});
}

void Gateway::tell_module() {
  if (telling_) return;
  telling_ = true;
  // Danger: an exception out of the module would leave the flag set, and no end would ever be told again.
  const std::unique_ptr<bool, void (*)(bool*)> unset(&telling_, [](bool* flag) { *flag = false; });
  while (!ends_.empty()) {
    const End end = ends_.front();
    ends_.pop_front();
    const auto it = asked_.find(end.request);
    if (it == asked_.end()) continue;
    const Try& t = it->second.tries[end.attempt];
    AttemptEnd told{end.request,           end.attempt,         t.host, end.outcome,
                    clock_.now() - t.sent, it->second.answered, {},     end.load};
    control_.on_attempt_end(clock_.now(), told, *this);
    forget_if_done(end.request);
  }
}

void Gateway::settle(RequestId id, std::string_view reply) {
  const auto it = asked_.find(id);
  if (it == asked_.end() || it->second.answered) return;
  it->second.answered = true;
  open_ids_.erase(it->second.wire_id);
  --owed_;
  clients_.answer(it->second.ticket, reply);
  if (it->second.out == 0 && !telling_) forget_if_done(id);
}

void Gateway::forget_if_done(RequestId id) {
  const auto it = asked_.find(id);
  if (it == asked_.end() || !it->second.answered || it->second.out > 0) return;
  if (std::any_of(ends_.begin(), ends_.end(), [&](const End& e) { return e.request == id; })) return;
  held_bytes_ -= it->second.order.body.size();
  asked_.erase(it);
}

LoadReport Gateway::read_report(std::string_view text) const {
  LoadReport load;
  while (!text.empty()) {
    const auto field = text.substr(0, text.find(','));
    text.remove_prefix(std::min(field.size() + 1, text.size()));
    const auto eq = field.find('=');
    double v = 0;
    if (eq == std::string_view::npos || !read_number(field.substr(eq + 1), v) ||
        !(v >= 0 && v <= kMostReported))
      continue;
    switch (wire::load_field(field.substr(0, eq))) {
      case LoadField::kQueue:
        load.queue = v;
        break;
      case LoadField::kInHand:
        load.in_hand = v;
        break;
      case LoadField::kBusy:
        load.busy = v;
        break;
      case LoadField::kOther:
        break;
    }
  }
  return load;
}

// ---- time ----

// A request's time, or an attempt's, is up. The module settles each request before; this holds if it did not.
void Gateway::expire(RequestId id) {
  const auto it = asked_.find(id);
  if (it == asked_.end()) return;
  const Ms now = clock_.now();
  for (std::uint32_t i = 0; i < it->second.tries.size(); ++i) {
    Try& t = it->second.tries[i];
    if (!t.out || now < t.until) continue;
    hosts_.abandon(t.id);
    end_try(id, i, Outcome::kTimedOut, {});
  }
  tell_module();
  if (const auto left = asked_.find(id); left != asked_.end() && now >= left->second.expires_at) {
    if (!left->second.answered) log_line("settled at its deadline, not by the module");
    settle(id, "-ERR timed out\r\n");
  }
  forget_if_done(id);
}

void Gateway::run_timers() {
  const Ms now = clock_.now();
  while (!timers_.empty() && timers_.top().at <= now) {
    const Timer t = timers_.top();
    timers_.pop();
    if (t.kind == Timer::kModule) {
      control_.on_timer(now, t.token, *this);
      tell_module();
    } else {
      expire(t.token);
    }
  }
  arm_timer();
}

// Most requests are done long before their timers are due, and the module's can't be revoked. Such timers are
// dropped here instead of waking the program for nothing: that was two wake-ups and four system calls a
// request.
void Gateway::drop_dead_timers() {
  const auto dead = [&](const Timer& t) { return t.token <= last_request_ && !asked_.contains(t.token); };
  while (!timers_.empty() && dead(timers_.top())) timers_.pop();
  // Danger: those of requests with far deadlines that are done long before would pile up below the top.
  if (timers_.size() <= kManyTimers + kTimersEach * asked_.size()) return;
  std::vector<Timer> alive;
  for (; !timers_.empty(); timers_.pop()) {
    if (!dead(timers_.top())) alive.push_back(timers_.top());
  }
  timers_ = decltype(timers_)(std::greater<>(), std::move(alive));
}

void Gateway::arm_timer() {
  drop_dead_timers();
  if (timers_.empty() || (timer_at_ > 0 && timer_at_ <= timers_.top().at)) return;
  timer_at_ = timers_.top().at;
  timer_.expires_at(clock_.at(timer_at_));
  timer_.async_wait([this](error_code error) {
    if (error) return;
    timer_at_ = 0;
    run_timers();
  });
}

// ---- a new configuration ----

void Gateway::reload(const Config& config) {
  if (config.discovery != config_.discovery) {
    config_.discovery = config.discovery;
    discovery_.move(config.discovery);
    log_line("discovery is now at", config.discovery.address().to_string());
  }
  if (config.settings_text != config_.settings_text || config.sockets != config_.sockets ||
      config.memory_mb != config_.memory_mb || config.listen != config_.listen) {
    log_line("the new configuration changes what needs a restart: kept as it was");
  }
}

// ---- the stop ----

void Gateway::stop() {
  if (stop_at_) return;
  Ms longest = 0;
  for (const auto& c : config_.settings.classes) longest = std::max(longest, c.deadline_ms);
  stop_at_ = clock_.now() + std::min(longest, kLongestDeadline) + kSettleMargin;
  stop_timer_.expires_after(kStillComing);
  stop_timer_.async_wait([this](error_code error) {
    if (error) return;
    clients_.wind_down();
    await_stopped();
  });
}

// SIGKILL is near. A failure promises nothing, so it is lawful for every class and whatever has run.
void Gateway::settle_all() {
  std::vector<RequestId> ids;
  for (const auto& [id, r] : asked_) {
    if (!r.answered) ids.push_back(id);
  }
  for (const auto id : ids) {
    settle(id, "-ERR stopping\r\n");
    control_.on_gone(clock_.now(), id, *this);
  }
  tell_module();
}

void Gateway::await_stopped() {
  const Ms now = clock_.now();
  if (owed_ > 0 && now >= *stop_at_) settle_all();
  if (clients_.connections() == 0 || now >= *stop_at_ + kLastBytes) return on_stopped_();
  stop_timer_.expires_after(kLookAgain);
  stop_timer_.async_wait([this](error_code error) {
    if (!error) await_stopped();
  });
}

}  // namespace thistlepond::net
