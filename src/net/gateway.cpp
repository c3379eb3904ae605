#include "net/gateway.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <chrono>
#include <utility>

#include "adapter/settings.h"
#include "net/log.h"
#include "net/request_log.h"
#include "ops/handover_state.h"
#include "ops/metrics.h"

namespace cometfold::net {
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// A client's time runs from its send: the way here, the answer's way and a busy moment must fit besides.
constexpr Ms kMargin = 20;
constexpr std::size_t kSpareSockets =
    48;  // standard streams, listener, discovery, epoll and what comes between
// Connections go on coming for 0.4 s after SIGTERM; SIGKILL comes 0.7 s and the longest deadline after it, or
// 3.7 s after it if the deadline is longer.
constexpr auto kStillComing = std::chrono::milliseconds(550);
constexpr Ms kLongestDeadline = 3000;
constexpr Ms kSettleMargin = 450;
constexpr Ms kLastBytes = 150;  // for clients to read their last answers
constexpr auto kTellWithin =
    std::chrono::milliseconds(1000);  // for discovery, before a second process is ready
constexpr auto kIdleGone =
    std::chrono::milliseconds(2600);  // what idles has been closed by then, or is half a command
constexpr auto kDeclineWithin =
    std::chrono::milliseconds(1000);  // for the process before to say whose clients are
constexpr auto kListenAgain = std::chrono::milliseconds(50);
constexpr auto kLookAgain = std::chrono::milliseconds(10);

constexpr Ms kLateNews = 30'000;  // a change tells of what has just happened
constexpr Ms kListsLag = 1'000;   // discovery may hear of a start so long after it

constexpr std::size_t kKeptUnused = 5;  // a connection in so many: clients may hold a third for requests

std::string to_text(const asio::ip::tcp::endpoint& at) {
  const auto ip = at.address().to_string();
  return (at.address().is_v6() ? "[" + ip + "]" : ip) + ":" + std::to_string(at.port());
}

std::uint32_t index_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

// Danger: the settings may not name a zone, and those that they don't name are not one zone.
std::optional<std::uint32_t> known_index(const std::vector<std::string>& names, const std::string& name) {
  const std::uint32_t index = index_of(names, name);
  if (index == names.size()) return {};
  return index;
}

HostPoolLimits pool_limits(const Config& config) {
  HostPoolLimits limits;
  const auto sockets = config.sockets > kSpareSockets ? config.sockets - kSpareSockets : 2;
  const auto share = static_cast<double>(sockets) * config.own.descriptors_share;
  limits.max_connections = std::max<std::size_t>(1, static_cast<std::size_t>(share));
  limits.max_connections_per_host = std::min(config.own.per_host, limits.max_connections);
  limits.max_idle_per_host = config.own.idle_per_host;
  limits.idle_timeout_ms = config.conn_idle_ms;
  limits.reuse_delay_ms = config.own.rest_ms;
  limits.connect_timeout_ms = config.connect_timeout_ms;
  return limits;
}

ClientLimits client_limits(const Config& config) {
  ClientLimits limits;
  const auto sockets = config.sockets > kSpareSockets ? config.sockets - kSpareSockets : 2;
  limits.connections = std::max<std::size_t>(1, sockets - pool_limits(config).max_connections);
  limits.kept = std::max<std::size_t>(1, sockets / kKeptUnused);
  // Bodies have an eighth too and as much again for their copies: the sum stays well under the limit.
  limits.unsent = limits.buffered = config.memory_mb * 1024 * 1024 / 8;
  return limits;
}

// Bodies may have an eighth of the memory: an attempt holds a copy, and what comes in and goes out needs as
// much again.
//
// Danger: the time to settle ends before SIGKILL comes, and that goes by the longest deadline of the classes
// there are now: one that new settings withdrew has no name any more and bounds nothing.
engine::EngineLimits engine_limits(const Config& config) {
  Ms longest = 0;
  for (std::size_t i = 0; i < config.settings.classes.size(); ++i) {
    if (!config.class_names[i].empty()) longest = std::max(longest, config.settings.classes[i].deadline_ms);
  }
  return {.max_open_requests = config.max_open,
          .max_payload_bytes = config.memory_mb * 1024 * 1024 / 8,
          .deadline_margin_ms = kMargin,
          .shutdown_timeout_ms = std::min(longest, kLongestDeadline) + kSettleMargin};
}

// Gateways that press the same discovery. Danger: where it pushes, its agent on this machine answers at once,
// and what it has counts as told: waiting with the call let drained hosts have more.
DiscoveryLoad callers(const Config& config) {
  if (!config.settings.host_watch_required) return {.gateway_count = 1, .local_agent = true};
  return {.gateway_count = config.settings.gateway_count, .local_agent = false};
}

resp::CommandNames names_of(const Config& config) {
  resp::CommandNames names{config.class_names,
                           config.plan_names,
                           {},
                           config.settings.gateway_count,
                           config.settings.max_request_units};
  for (const auto& c : config.settings.classes) names.idempotency.push_back(c.idempotency);
  names.bounds = bounds_of(config, config.class_names);
  return names;
}

std::vector<std::pair<std::string_view, std::uint64_t>> closed_connections(const resp::ClientTotals& totals) {
  std::vector<std::pair<std::string_view, std::uint64_t>> all;
  for (std::size_t i = 0; i < resp::kCloseReasonCount; ++i)
    all.emplace_back(resp::kCloseReasonNames[i], totals.closed_by_reason[i]);
  return all;
}

}  // namespace

HostId host_number(std::string_view uid) {
  boost::crc_32_type crc;
  crc.process_bytes(uid.data(), uid.size());
  return crc.checksum();
}

Gateway::Gateway(asio::io_context& io, Clock& clock, Config config, std::function<void()> on_stopped)
    : clock_(clock),
      config_(std::move(config)),
      module_(config_.settings, config_.seed),
      decision_log_(module_, config_.settings, [](const std::string& line) { log_line("decision", line); }),
      clients_(io, clock, *this, client_limits(config_)),
      hosts_(io, clock, *this, pool_limits(config_)),
      engine_(config_.own.decisions ? static_cast<engine::AdmissionPolicy&>(decision_log_) : module_,
              hosts_.pool(), engine_limits(config_), log_line),
      front_(engine_, clients_, names_of(config_)),
      discovery_(io, config_.discovery, config_.seed, callers(config_), *this),
      on_stopped_(std::move(on_stopped)),
      timer_(io),
      stop_timer_(io),
      drain_timer_(io),
      ready_timer_(io),
      proxies_timer_(io),
      listen_timer_(io),
      class_labels_(config_.class_names) {
  hosts_.set_make_room([this] { return clients_.make_room(); });
  engine_.set_rules(config_.settings);
  if (config_.own.requests) {
    engine_.set_trace([](const engine::RequestEvent& step) { log_line("request", to_line(step)); });
  }
  if (config_.admin) admin_ = std::make_unique<AdminServer>(io, static_cast<ops::GatewayOperations&>(*this));
  if (!config_.handover.empty()) {
    predecessor_ = Predecessor::find(io, config_.handover);
    handover_ = std::make_unique<Handover>(
        io, config_.handover,
        Handover::Events{.listening_socket = [this] { return clients_.listening_socket(); },
                         .came = [this] { share_limits(true); },
                         .left = [this] { share_limits(false); }});
  }
  if (config_.own.peers.listen) {
    peers_ = std::make_unique<Peers>(io, clock, config_.own.peers, config_.name);
  }
  if (config_.own.processor_at) {
    processor_ = std::make_unique<ProcessorServer>(io, clock, engine_, config_, [this] { arm_timer(); });
  }
}
Gateway::~Gateway() = default;

void Gateway::start() {
  engine_.start(clock_.now());
  apply(config_.known, HostListUpdate::kCached);
  if (predecessor_) {
    handed_to_ = true;
    OwnedFd socket = predecessor_->take_listening_socket();
    const bool hangs = socket.get() < 0;
    if (!hangs) clients_.adopt(socket.release());
    share_limits(true);
    predecessor_->listen_to({.socket = [this](OwnedFd late) { clients_.adopt(late.release()); },
                             .begin = [this](const std::string& state) { take_over(state); },
                             .gone = [this] { on_predecessor_gone(); }});
    log_line(hangs ? "another process holds this address and does not answer: this one waits for its end"
                   : "another process serves here: this one takes over when that ends");
  } else {
    clients_.listen(config_.listen);
    open_to_clients();
  }
  ready_timer_.expires_after(kTellWithin);
  ready_timer_.async_wait([this](error_code error) {
    if (!error) told_ = true;
  });
  if (admin_) {
    admin_->listen(*config_.admin);
    log_line("operators call at", to_text(admin_->address()));
  }
  if (peers_) peers_->start();
  discovery_.start(config_.known);
}

// ---- the list of hosts ----

// When a host that was not known so started, on this clock. Danger: whoever takes a cold host for a warm one
// pushes it over. A change that tells of a start long ago, or of none, is news all the same: either its
// teller's clock and this one disagree, or it was long on its way.
//
// Danger: the wall clock may have been stepped before this process started, by seconds too. A start that it
// puts before a word of discovery, which knew nothing of the host then, is taken to be just now; lists may
// lag by a little.
Ms Gateway::start_of(HostId id, const DiscoveredHost& target, const HostList& list) {
  const Ms now = clock_.now();
  const bool by_change = !list.is_snapshot;
  if (!target.boot_unix_ms) return by_change ? now : 0;
  const Ms started = clock_.from_unix(*target.boot_unix_ms);
  if (started <= 0) return started;
  const bool late = by_change && now - started > kLateNews;
  const bool was_known = departed_.holds(id, target.boot_unix_ms);
  const bool impossible =
      !was_known && list.changed_since && started < clock_.from(*list.changed_since) - kListsLag;
  return late || impossible ? now : started;
}

std::vector<HostEntry> Gateway::entries(const HostList& list) {
  std::vector<HostEntry> all;
  for (const auto& t : list.hosts) {
    const HostId id = host_number(t.uid);
    auto [it, fresh] = known_.try_emplace(id);
    Known& known = it->second;
    if (!fresh && known.uid != t.uid) {
      // One in four thousand million pairs. Two hosts under one number would break what is known of both.
      log_line("two hosts have the same number: one is left out", t.uid);
      continue;
    }
    if (fresh || (t.boot_unix_ms && known.boot_ms != t.boot_unix_ms)) {
      known = {t.uid, t.boot_unix_ms, start_of(id, t, list)};
    }
    HostEntry e;
    e.id = id;
    e.state = t.state;
    e.started_at = known.started_at;
    e.kind = index_of(config_.kinds, t.kind);
    e.zone = known_index(config_.zones, t.zone);
    e.cell = t.cell;
    e.size = t.capacity;
    if (e.state == HostState::kReady) {
      hosts_.add(id, t.endpoint, e.started_at);
      if (processor_) processor_->processor().add_host(id, to_text(t.endpoint));
    }
    all.push_back(e);
  }
  return all;
}

void Gateway::apply(const HostList& list, HostListUpdate kind) {
  auto all = entries(list);
  if (kind == HostListUpdate::kSnapshot) {  // whoever is not named any more is gone
    std::unordered_set<HostId> named;
    for (const auto& e : all) named.insert(e.id);
    for (const auto& [id, known] : known_) {
      if (!named.contains(id)) all.push_back(HostEntry::removed(id));
    }
  }
  engine_.on_host_list(clock_.now(), kind, all);
  hosts_.pool().fail_stale_attempts(clock_.now());
  for (const auto& e : all) {
    if (e.state == HostState::kReady) {
      departed_.forget(e.id);
    } else {
      departed_.note(e.id, known_[e.id].boot_ms);
    }
    if (e.state == HostState::kRemoved) known_.erase(e.id);
  }
  if (!list.hosts.empty()) front_.set_ready();
  arm_timer();
}

void Gateway::on_host_list(const HostList& list) {
  told_ = true;
  apply(list, list.is_snapshot ? HostListUpdate::kSnapshot : HostListUpdate::kDelta);
}

// ---- clients and hosts ----

resp::CommandResult Gateway::on_command(ResponseHandle ticket, std::span<const resp::Item> words, Ms waited) {
  const auto named = front_.on_command(clock_.now(), ticket, words, waited);
  arm_timer();
  return named;
}

void Gateway::on_client_gone(std::uint64_t name) { engine_.on_client_disconnected(clock_.now(), name); }

void Gateway::on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                             std::string_view report) {
  engine_.on_attempt_end(now, attempt, outcome, value, resp::parse_load_report(report, wire::load_field));
  arm_timer();
}

// ---- time ----

void Gateway::arm_timer() {
  auto due = engine_.next_timer();
  if (processor_) {
    const auto fetch = processor_->processor().next_timer();
    if (fetch && (!due || *fetch < *due)) due = fetch;
  }
  if (!due || (timer_at_ > 0 && timer_at_ <= *due)) return;
  timer_at_ = *due;
  timer_.expires_at(clock_.at(timer_at_));
  timer_.async_wait([this](error_code error) {
    if (error) return;
    timer_at_ = 0;
    run_due();
    arm_timer();
  });
}

void Gateway::run_due() {
  const Ms now = clock_.now();
  engine_.run_timers(now);
  if (processor_) processor_->run_due(now);
}

// ---- a new configuration ----

// Danger: nothing may be changed before all of it is known to be good.
void Gateway::reload(const Config& config) {
  const bool anew = config.settings_text != config_.settings_text;
  settings::NumberedSettings numbered{config_.class_names, config_.plan_names, config_.settings};
  if (anew) numbered = settings::renumber(numbered, {config.class_names, config.plan_names, config.settings});
  if (processor_) {
    processor_->reload(
        config, {numbered.classes, numbered.plans, numbered.settings, bounds_of(config, numbered.classes)});
  }
  config_.bounds = config.bounds;
  anew ? take_settings(config, numbered) : front_.set_names(names_of(config_));
  if (config.discovery != config_.discovery) {
    config_.discovery = config.discovery;
    discovery_.set_address(config.discovery);
    log_line("discovery is now at", config.discovery.address().to_string());
  }
  if (config.own.processor_at.has_value() != (processor_ != nullptr)) {
    log_line("switching the external processor on or off needs a restart");
  }
  if (!(config.own.peers == config_.own.peers)) {
    log_line("other peers' settings need a restart: kept as they were");
  }
  if (config.sockets != config_.sockets || config.memory_mb != config_.memory_mb ||
      config.listen != config_.listen || config.admin != config_.admin) {
    log_line("the new configuration changes what needs a restart: kept as it was");
  }
  ++loads_;
}

// Requests under way keep their class, by its number; commands from now on are read with the new names.
void Gateway::take_settings(const Config& config, const settings::NumberedSettings& numbered) {
  config_.settings_text = config.settings_text;
  config_.settings = numbered.settings;
  config_.class_names = numbered.classes;
  config_.plan_names = numbered.plans;
  config_.max_open = config.max_open;
  config_.conn_idle_ms = config.conn_idle_ms;
  config_.connect_timeout_ms = config.connect_timeout_ms;
  // Hosts in the list go by these numbers too.
  settings::extend_names(config_.kinds, config.kinds);
  settings::extend_names(config_.zones, config.zones);
  if (config.settings.local_zone < config.zones.size()) {
    config_.settings.local_zone = index_of(config_.zones, config.zones[config.settings.local_zone]);
  }
  class_labels_.resize(numbered.classes.size());
  for (std::size_t i = 0; i < numbered.classes.size(); ++i) {
    if (!numbered.classes[i].empty()) class_labels_[i] = numbered.classes[i];
  }
  module_.update_settings(clock_.now(), config_.settings);
  engine_.set_rules(config_.settings);
  share_limits(sharing_);  // with the new settings' bounds
  front_.set_names(names_of(config_));
  log_line("new settings are in use", std::to_string(config.class_names.size()) + " classes, " +
                                          std::to_string(config.plan_names.size()) + " plans");
}

// ---- an upgrade ----

void Gateway::share_limits(bool shared) {
  sharing_ = shared;
  Config mine = config_;
  if (shared) {
    mine.sockets /= 2;
    mine.memory_mb = std::max<std::size_t>(1, mine.memory_mb / 2);
  }
  clients_.set_limits(client_limits(mine));
  hosts_.pool().set_limits(pool_limits(mine));
  engine_.set_limits(engine_limits(mine));
}

// From here on this process is the one that another would take over from.
void Gateway::open_to_clients() {
  open_ = true;
  if (handover_) handover_->listen();
  if (processor_) open_to_proxies();
}

// Danger: the process before may hold the address for a moment yet; proxies call again.
void Gateway::open_to_proxies() {
  try {
    processor_->listen();
  } catch (const boost::system::system_error& error) {
    if (error.code() != asio::error::address_in_use || !handed_to_) throw;
    proxies_timer_.expires_after(kListenAgain);
    proxies_timer_.async_wait([this](error_code stopped) {
      if (!stopped) open_to_proxies();
    });
  }
}

void Gateway::take_over(const std::string& state) {
  try {
    const auto handed = ops::decode_handover(state, {config_.class_names, config_.plan_names});
    module_.import_handover(clock_.now(), handed);
    drop_departed(handed.departed_hosts);
    log_line("taken over", std::to_string(handed.customers.size()) + " customers, " +
                               std::to_string(handed.hosts.size()) + " hosts");
  } catch (const ops::HandoverError& error) {
    module_.assume_unknown_predecessor(clock_.now());
    log_line("taken over without state", error.what());
  }
  clients_.begin();
  open_to_clients();
  if (declining_) stop();
}

// Danger: this gateway has been told of them, though this process may have an older list and a silent
// discovery.
void Gateway::drop_departed(const std::vector<DepartedHost>& hosts) {
  std::vector<HostEntry> gone;
  for (const auto& host : hosts) {
    const auto it = known_.find(host.id);
    if (it == known_.end() || it->second.boot_ms != host.boot_unix_ms) continue;
    gone.push_back(HostEntry::removed(host.id));
    known_.erase(it);
    departed_.note(host.id, host.boot_unix_ms);
  }
  engine_.on_host_list(clock_.now(), HostListUpdate::kDelta, gone);
}

// All clients are the other process's. Danger: it may have handed over just now, and the queue of those that
// nobody has accepted yet would go with this process.
void Gateway::decline() {
  if (!predecessor_ || !clients_.has_socket()) return on_stopped_();
  if (std::exchange(declining_, true)) return;
  predecessor_->decline();
  stop_timer_.expires_after(kDeclineWithin);
  stop_timer_.async_wait([this](error_code error) {
    if (!error) on_stopped_();
  });
}

void Gateway::on_predecessor_gone() {
  asio::post(timer_.get_executor(), [done = std::move(predecessor_)] {});  // this is its own call
  if (declining_ && !open_) return on_stopped_();
  module_.on_predecessor_exited(clock_.now());
  if (!open_) {
    log_line("the process before has ended without a word");
    module_.assume_unknown_predecessor(clock_.now());
    clients_.has_socket() ? open_after_end() : listen_after_end();
  }
  share_limits(false);
}

void Gateway::open_after_end() {
  clients_.begin();
  open_to_clients();
}

// Danger: the kernel may close the ended process's listening socket after the connection that told its end.
void Gateway::listen_after_end() {
  try {
    clients_.listen(config_.listen);
    log_line("this process listens now", to_text(address()));
    open_to_clients();
  } catch (const boost::system::system_error& error) {
    if (error.code() != asio::error::address_in_use) throw;
    listen_timer_.expires_after(kLookAgain);
    listen_timer_.async_wait([this](error_code stopped) {
      if (!stopped) listen_after_end();
    });
  }
}

// Connections end after their next answer, so that no client's request crosses a close; those that idle are
// closed when they have stood long enough, as ever.
void Gateway::hand_over() {
  handed_over_ = true;
  auto state = module_.export_handover(clock_.now());
  state.departed_hosts = departed_.list();
  handover_->hand_over(
      ops::encode_handover(state, {config_.class_names, config_.plan_names}, config_.settings.plans));
  clients_.leave_queue();
  clients_.set_draining(true);
  if (processor_) processor_->listener().drain();
  log_line("handed over");
}

// ---- operators ----

bool Gateway::ready() const {
  return front_.ready() && (open_ || told_) && !draining_ && !engine_.shutdown_deadline();
}

std::string Gateway::metrics() {
  return ops::render_metrics({.in_progress = engine_.unanswered_count(),
                              .known_hosts = known_.size(),
                              .excluded_hosts = module_.excluded_host_count(clock_.now()),
                              .config_reloads = loads_,
                              .config_reload_errors = load_errors_,
                              .rejections = engine_.rejection_metrics(),
                              .rules = engine_.rule_metrics(),
                              .attempts = engine_.attempt_metrics(),
                              .closed = closed_connections(clients_.totals()),
                              .forbidden_closes = clients_.totals().forbidden_closes,
                              .peers = peers_ ? std::optional(peers_->figures()) : std::nullopt},
                             class_labels_, engine_.class_metrics());
}

std::optional<std::string> Gateway::members() {
  return peers_ ? std::optional(peers_->members()) : std::nullopt;
}

// New connections go on coming for 0.2 s after the first PING that is turned down, and are served. What idles
// is closed after that: earlier, requests on their way would cross the close.
void Gateway::set_draining(bool on) {
  if (on == draining_) return;
  draining_ = on;
  log_line(on ? "draining, as asked" : "taking clients again, as asked");
  front_.set_draining(on);
  clients_.set_draining(on);
  drain_timer_.cancel();
  if (!on) return;
  drain_timer_.expires_after(kStillComing);
  drain_timer_.async_wait([this](error_code error) {
    if (!error && draining_) clients_.end_idle();
  });
}

// ---- the stop ----

void Gateway::stop() {
  if (engine_.shutdown_deadline()) return;
  if (!open_) return decline();
  engine_.begin_shutdown(clock_.now());
  if (peers_) peers_->leave();
  if (handover_ && handover_->has_successor()) hand_over();
  if (processor_) processor_->listener().announce_drain();
  stop_timer_.expires_after(handed_over_ ? kIdleGone : kStillComing);
  stop_timer_.async_wait([this](error_code error) {
    if (error) return;
    handed_over_ ? clients_.end_idle() : clients_.wind_down();
    if (processor_) processor_->listener().drain();
    await_stopped();
  });
}

void Gateway::await_stopped() {
  const Ms now = clock_.now(), settle_at = *engine_.shutdown_deadline();
  if (engine_.unanswered_count() > 0 && now >= settle_at) engine_.fail_all(now);
  const std::size_t proxies = processor_ ? processor_->listener().connections() : 0;
  if (clients_.connections() + proxies == 0 || now >= settle_at + kLastBytes) {
    if (processor_) log_line("external processor", extproc::to_text(processor_->processor().metrics()));
    return on_stopped_();
  }
  stop_timer_.expires_after(kLookAgain);
  stop_timer_.async_wait([this](error_code error) {
    if (!error) await_stopped();
  });
}

}  // namespace cometfold::net
