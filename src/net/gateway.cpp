#include "net/gateway.h"

#include <chrono>
#include <utility>

#include "adapter/settings.h"
#include "net/endpoint_text.h"
#include "net/gateway_limits.h"
#include "net/log.h"
#include "net/request_log.h"
#include "net/socket_retry.h"
#include "ops/handover_state.h"
#include "ops/metrics.h"

namespace cometfold::net {
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// A process that waits for its predecessor reports that it is ready after this time, even if discovery has
// not answered.
constexpr auto kDiscoveryTimeout = std::chrono::milliseconds(1000);

using NamedCounts = std::vector<std::pair<std::string_view, std::uint64_t>>;

NamedCounts closed_connections(const resp::ClientTotals& totals) {
  NamedCounts counts;
  for (std::size_t i = 0; i < resp::kCloseReasonCount; ++i) {
    counts.emplace_back(resp::kCloseReasonNames[i], totals.closed_by_reason[i]);
  }
  return counts;
}

ops::MemoryMetrics memory_metrics(const resp::ClientTotals& totals) {
  using Use = resp::MemoryBudget::Use;
  const resp::MemoryBudget& memory = totals.memory;
  return {.limit = memory.limit(),
          .replies = memory.used(Use::kReplies),
          .client_input = memory.used(Use::kClientInput),
          .host_input = memory.used(Use::kHostInput),
          .reserved = memory.reserved(),
          .dropped_replies = totals.dropped_replies};
}

}  // namespace

Gateway::Gateway(asio::io_context& io, Clock& clock, Config config, std::function<void()> on_stopped)
    : clock_(clock),
      config_(std::move(config)),
      policy_(config_.get().settings, config_.get().seed),
      decision_log_(policy_, config_.get().settings,
                    [](const std::string& line) { log_line("decision", line); }),
      clients_(io, clock, *this, client_limits(config_.get())),
      hosts_(io, clock, *this, host_pool_limits(config_.get())),
      engine_(config_.get().gateway_settings.log_decisions
                  ? static_cast<engine::AdmissionPolicy&>(decision_log_)
                  : policy_,
              hosts_.pool(), engine_limits(config_.get()), log_line),
      command_handler_(engine_, clients_, config_.command_names()),
      discovery_(io, config_.get().discovery, config_.get().seed, discovery_call_options(config_.get()),
                 *this),
      host_registry_(clock, {config_.get().host_kinds, config_.get().zones},
                     [this](HostId host, const auto& address, Ms at) { on_host_ready(host, address, at); }),
      on_stopped_(std::move(on_stopped)),
      shutdown_(io, clock, engine_, clients_, [this] { on_stopped_(); }),
      timer_(io),
      drain_timer_(io),
      ready_timer_(io) {
  const Config& in_use = config_.get();
  hosts_.pool().share_memory(clients_.memory());
  hosts_.set_descriptor_source([this] { return clients_.evict_one(); });
  engine_.update_settings(in_use.settings);
  if (in_use.gateway_settings.log_requests) {
    engine_.set_event_listener(
        [](const engine::RequestEvent& event) { log_line("request", to_line(event)); });
  }
  if (in_use.admin) admin_ = std::make_unique<AdminServer>(io, static_cast<ops::GatewayOperations&>(*this));
  upgrade_ = std::make_unique<UpgradeCoordinator>(io, in_use.handover_path, clients_,
                                                  static_cast<UpgradeCallbacks&>(*this));
  if (in_use.gateway_settings.peers.listen) {
    peers_ = std::make_unique<Peers>(io, clock, in_use.gateway_settings.peers, in_use.name);
  }
  if (in_use.gateway_settings.processor_address) {
    processor_ = std::make_unique<ProcessorServer>(io, clock, engine_, in_use, [this] { arm_timer(); });
  }
}
Gateway::~Gateway() = default;

void Gateway::start() {
  engine_.start(clock_.now());
  apply_host_list(config_.get().cached_hosts, HostListUpdate::kCached);
  upgrade_->start(config_.get().listen);
  ready_timer_.expires_after(kDiscoveryTimeout);
  ready_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) discovery_contacted_ = true;
  });
  if (admin_) {
    retry_while_out_of_sockets([this] { admin_->listen(*config_.get().admin); });
    log_line("admin server is listening", to_text(admin_->address()));
  }
  if (peers_) peers_->start();
  discovery_.start(config_.get().cached_hosts);
}

// ---- hosts ----

void Gateway::on_host_list(const HostList& list) {
  discovery_contacted_ = true;
  apply_host_list(list, list.is_snapshot ? HostListUpdate::kSnapshot : HostListUpdate::kDelta);
}

void Gateway::apply_host_list(const HostList& list, HostListUpdate kind) {
  const auto entries = host_registry_.update(list, kind);
  engine_.on_host_list(clock_.now(), kind, entries);
  hosts_.pool().fail_stale_attempts(clock_.now());
  host_registry_.commit(entries);
  if (!list.hosts.empty()) command_handler_.set_ready();
  arm_timer();
}

void Gateway::on_host_ready(HostId host, const asio::ip::tcp::endpoint& address, Ms started_at) {
  hosts_.add(host, address, started_at);
  if (processor_) processor_->processor().add_host(host, to_text(address));
}

// ---- requests ----

resp::CommandResult Gateway::on_command(ResponseHandle handle, std::span<const resp::Item> words,
                                        const resp::CommandArrival& arrival) {
  const auto result = command_handler_.on_command(clock_.now(), handle, words, arrival);
  arm_timer();
  return result;
}

void Gateway::on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                             std::string_view report) {
  engine_.on_attempt_end(now, attempt, outcome, value, resp::parse_load_report(report, wire::load_field));
  arm_timer();
}

void Gateway::on_value_started(Ms now, AttemptId attempt, std::size_t size) {
  engine_.on_value_started(now, attempt, size);
  arm_timer();
}

bool Gateway::on_value_chunk(Ms now, AttemptId attempt, std::string_view bytes) {
  const bool wants_more = engine_.on_value_chunk(now, attempt, bytes);
  arm_timer();
  return wants_more;
}

void Gateway::on_value_paused(Ms now, AttemptId attempt) {
  engine_.on_value_paused(now, attempt);
  arm_timer();
}

// ---- timers ----

void Gateway::arm_timer() {
  auto next = engine_.next_timer();
  if (processor_) {
    const auto processor_next = processor_->processor().next_timer();
    if (processor_next && (!next || *processor_next < *next)) next = processor_next;
  }
  if (!next || (timer_at_ > 0 && timer_at_ <= *next)) return;
  timer_at_ = *next;
  timer_.expires_at(clock_.at(timer_at_));
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    timer_at_ = 0;
    run_timers();
    arm_timer();
  });
}

void Gateway::run_timers() {
  const Ms now = clock_.now();
  engine_.run_timers(now);
  if (processor_) processor_->run_timers(now);
}

// ---- configuration ----

// Everything that can throw comes first, so that a configuration is used as a whole or not at all.
void Gateway::reload(const Config& config) {
  const auto numbered = config_.renumber(config);
  if (processor_) {
    processor_->reload(
        config, {numbered.classes, numbered.plans, numbered.settings, bounds_of(config, numbered.classes)});
  }
  config_.set_attempt_bounds(config);
  if (config_.has_other_settings(config)) {
    apply_settings(config, numbered);
  } else {
    replace_command_names();
  }
  if (config.discovery != config_.get().discovery) {
    config_.set_discovery(config);
    discovery_.set_address(config.discovery);
    log_line("discovery address changed", config.discovery.address().to_string());
  }
  log_ignored_changes(config);
  ++reloads_;
}

// Requests in flight keep their class number; commands that arrive later are parsed with the new names.
void Gateway::apply_settings(const Config& config, const settings::NumberedSettings& numbered) {
  config_.set_settings(config, numbered);
  policy_.update_settings(clock_.now(), config_.get().settings);
  engine_.update_settings(config_.get().settings);
  apply_limits();
  replace_command_names();
  log_line("reloaded settings are in use", std::to_string(config.class_names.size()) + " classes, " +
                                               std::to_string(config.plan_names.size()) + " plans");
}

// Commands that wait unparsed are under way already, so they keep the names that they were written under.
void Gateway::replace_command_names() {
  clients_.on_names_replaced(command_handler_.names());
  command_handler_.set_names(config_.command_names());
}

void Gateway::apply_limits() {
  const Config config = shares_limits_ ? with_half_limits(config_.get()) : config_.get();
  clients_.set_limits(client_limits(config));
  hosts_.pool().set_limits(host_pool_limits(config));
  engine_.set_limits(engine_limits(config));
}

void Gateway::log_ignored_changes(const Config& fresh) const {
  const Config& in_use = config_.get();
  if (fresh.gateway_settings.processor_address.has_value() != (processor_ != nullptr)) {
    log_line("extproc.listen was added or removed in the settings: ignored until a restart");
  }
  if (!(fresh.gateway_settings.peers == in_use.gateway_settings.peers)) {
    log_line("[peers] changed in the settings: ignored until a restart");
  }
  if (fresh.max_descriptors != in_use.max_descriptors || fresh.memory_limit_mb != in_use.memory_limit_mb ||
      fresh.listen != in_use.listen || fresh.admin != in_use.admin) {
    log_line("listen, admin or limits changed in the configuration: ignored until a restart");
  }
}

// ---- upgrade ----

void Gateway::on_serving() {
  if (processor_) processor_->listen(upgrade_->had_predecessor());
}

void Gateway::on_state_received(const std::string& state) {
  const Config& config = config_.get();
  try {
    const auto snapshot = ops::decode_handover(state, {config.class_names, config.plan_names});
    policy_.import_handover(clock_.now(), snapshot);
    engine_.reserve_identities(clock_.now(), snapshot.identities_in_use);
    // The predecessor's host list may be newer than this process's.
    const auto removals = host_registry_.remove(snapshot.departed_hosts);
    engine_.on_host_list(clock_.now(), HostListUpdate::kDelta, removals);
    log_line("taken over", std::to_string(snapshot.customers.size()) + " customers, " +
                               std::to_string(snapshot.hosts.size()) + " hosts");
  } catch (const ops::HandoverError& error) {
    policy_.assume_unknown_predecessor(clock_.now());
    log_line("taken over without the predecessor's state", error.what());
  }
}

void Gateway::on_predecessor_exited(bool with_state) {
  policy_.on_predecessor_exited(clock_.now());
  if (!with_state) policy_.assume_unknown_predecessor(clock_.now());
}

// While two processes run, each may use half of the gateway's limits. A successor that starts while this
// process stops has the listening socket too, so it takes over at once: nobody else would accept.
void Gateway::on_second_process(bool is_running) {
  shares_limits_ = is_running;
  apply_limits();
  if (!shutdown_.has_begun() || handed_over_ || !upgrade_->has_successor()) return;
  hand_over();
  shutdown_.on_handed_over();
}

// Connections close after their next reply, so that a request and the close can't cross on the network; idle
// ones are closed by `ShutdownSequence`.
void Gateway::hand_over() {
  handed_over_ = true;
  const Config& config = config_.get();
  auto snapshot = policy_.export_handover(clock_.now());
  snapshot.departed_hosts = host_registry_.departed_hosts();
  snapshot.identities_in_use = engine_.identities_in_use(clock_.now());
  upgrade_->hand_over(
      ops::encode_handover(snapshot, {config.class_names, config.plan_names}, config.settings.plans));
  clients_.release_listener();
  clients_.set_draining(true);
  if (processor_) processor_->listener().drain();
  log_line("handed over to the successor process");
}

// ---- operators ----

bool Gateway::ready() const {
  return command_handler_.ready() && (upgrade_->is_serving() || discovery_contacted_) && !draining_ &&
         !shutdown_.has_begun();
}

std::string Gateway::metrics() {
  return ops::render_metrics({.in_progress = engine_.unanswered_count(),
                              .known_hosts = host_registry_.size(),
                              .excluded_hosts = policy_.excluded_host_count(clock_.now()),
                              .config_reloads = reloads_,
                              .config_reload_errors = reload_errors_,
                              .rejections = engine_.rejection_metrics(),
                              .rules = engine_.rule_metrics(),
                              .attempts = engine_.attempt_metrics(),
                              .values = engine_.value_metrics(),
                              .closed = closed_connections(clients_.totals()),
                              .forbidden_closes = clients_.totals().forbidden_closes,
                              .memory = memory_metrics(clients_.totals()),
                              .peers = peers_ ? std::optional(peers_->metrics()) : std::nullopt},
                             config_.class_labels(), engine_.class_metrics());
}

std::optional<std::string> Gateway::members() {
  return peers_ ? std::optional(peers_->members()) : std::nullopt;
}

// Clients learn of the drain by their next PING and may still connect until then. Idle connections are closed
// only after the grace period, as a request already on its way would cross an earlier close.
void Gateway::set_draining(bool on) {
  if (on == draining_) return;
  draining_ = on;
  log_line(on ? "drain started by an operator" : "drain ended by an operator: clients are accepted again");
  command_handler_.set_draining(on);
  clients_.set_draining(on);
  drain_timer_.cancel();
  if (!on) return;
  drain_timer_.expires_after(kDrainGracePeriod);
  drain_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled && draining_) clients_.close_idle();
  });
}

// ---- shutdown ----

void Gateway::stop() {
  if (shutdown_.has_begun()) return;
  if (!upgrade_->is_serving()) return upgrade_->stop_before_serving();
  shutdown_.begin();
  if (peers_) peers_->leave();
  if (upgrade_->has_successor()) hand_over();
  shutdown_.start(handed_over_, processor_.get());
}

}  // namespace cometfold::net
