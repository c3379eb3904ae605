// Construction of a World, the step, the checks and the fingerprint.
#include "explore/world.h"

#include <algorithm>
#include <utility>

#include "explore/simulated_gateway.h"
#include "explore/simulated_stream.h"
#include "explore/world_settings.h"

namespace cometfold::explore {

World::World(const Scenario& scenario, Chooser& chooser, Log log)
    : scenario_(scenario),
      settings_(settings_of(scenario)),
      chooser_(chooser),
      log_(std::move(log)),
      faults_left_(scenario.max_faults),
      monitors_(settings_, exact_tolerances()) {
  for (HostId i = 0; i < scenario_.host_count; ++i) {
    hosts_.push_back(host_entry(kFirstHost + i, HostState::kReady));
  }
  for (std::size_t i = 0; i < scenario_.requests.size(); ++i) {
    if (i == 0 || !scenario_.shared_connection) clients_.emplace_back();
    clients_.back().requests.push_back(i);
  }
  start_gateway();
}

World::~World() {
  // The gateway's destructor closes its streams, which is no violation.
  for (const auto& connection : connections_) connection->state = Connection::kClosed;
}

void World::start_gateway() {
  gateway_ = std::make_unique<Gateway>(*this, settings_);
  gateway_->engine.start(now_);
  update_hosts(HostListUpdate::kCached, hosts_);
  gateway_->handler.set_ready();
}

void World::update_hosts(HostListUpdate kind, std::vector<HostEntry> entries) {
  for (const auto& entry : entries) {
    if (entry.state != HostState::kReady) continue;
    gateway_->pool.add_host(entry.id, {"10.0.0." + std::to_string(entry.cell.value_or(0)), 1},
                            entry.started_at);
  }
  gateway_->engine.on_host_list(now_, kind, entries);
  gateway_->pool.fail_stale_attempts(now_);
  for (const auto& entry : entries) {
    rules::Event update{.kind = rules::Event::kHostUpdate, .gateway = kGatewayId, .host = entry.id};
    update.entry = entry;
    report(update);
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
  const auto label_of = [&](std::size_t i) { return label(next_steps_[i]); };
  const Step chosen = next_steps_[chooser_.choose(next_steps_.size(), label_of)];
  if (chosen.is_fault) --faults_left_;
  try {
    (this->*chosen.apply)(chosen);
  } catch (const std::exception& error) {
    report_violation("the engine's promise",
                     std::string("the engine let an exception escape: ") + error.what());
  }
  check_monitors();
  return !violation_;
}

void World::check_monitors() {
  monitors_.check_deadlines(now_);
  for (; violations_read_ < monitors_.violations().size(); ++violations_read_) {
    const auto& violation = monitors_.violations()[violations_read_];
    // An arbitrary policy may violate the rules that only the policy can uphold.
    const bool kept_by_engine = violation.rule == "no request lost" || violation.rule == "drains kept";
    if (scenario_.real_policy || kept_by_engine) report_violation(violation.rule, violation.description);
  }
}

void World::report_violation(const std::string& rule, const std::string& description) {
  if (violation_) return;
  violation_ = rules::Violation{rule, description};
  log("BROKEN: " + rule + ": " + description);
}

void World::log(const std::string& text) {
  if (log_) log_(text);
}

void World::report(rules::Event event) {
  event.at = now_;
  monitors_.observe(event);
}

void World::cover(CoverageGoal goal, bool reached) {
  if (reached) coverage_ |= coverage_bit(goal);
}

std::size_t World::attempts_of(std::uint64_t request) const {
  const auto found = attempts_written_.find(request);
  return found == attempts_written_.end() ? 0 : found->second;
}

bool World::hedged_attempt_in_flight() const {
  std::map<std::uint64_t, int> in_flight;
  return std::any_of(connections_.begin(), connections_.end(), [&](const auto& connection) {
    return connection->has_attempt_in_flight() && ++in_flight[connection->request] > 1;
  });
}

bool World::has_open_requests() const {
  if (gateway_->engine.open_count() > 0) return true;
  return std::any_of(clients_.begin(), clients_.end(),
                     [](const auto& client) { return !client.expected_replies.empty(); });
}

void World::check_end_state() {
  if (has_open_requests()) {
    return report_violation("no request lost", "a request is still open, and no further event is possible");
  }
  if (gateway_->engine.unanswered_count() > 0) {
    return report_violation("the engine's promise",
                            "the engine counts unanswered requests although none is open");
  }
  if (gateway_->engine.payload_bytes() > 0) {
    return report_violation("the engine's promise",
                            "the engine counts payload bytes although no request is open");
  }
  if (gateway_->totals.memory.used(resp::MemoryBudget::Use::kReplies) > 0) {
    return report_violation("the engine's promise",
                            "unsent reply bytes are counted although every reply has been sent");
  }
  if (scenario_.real_policy && gateway_->policy->in_flight_count() > 0) {
    return report_violation("the engine's promise", "the policy was not notified of the end of an attempt");
  }
}

std::uint64_t World::fingerprint() const {
  engine::Digest digest;
  digest.add(now_);
  digest.add(static_cast<std::uint64_t>(faults_left_));
  digest.add(std::uint64_t{incarnation_} << 1 | std::uint64_t{draining_clients_});
  gateway_->engine.digest(digest);
  gateway_->pool.digest(digest);
  for (const auto& [id, client] : gateway_->clients) client->digest(digest);
  for (const auto& connection : connections_) {
    if (connection->open()) connection->digest(digest);
  }
  for (const auto& client : clients_) {
    digest.add(std::uint64_t{client.sent_count} << 1 | std::uint64_t{client.disconnected});
    for (const auto& reply : client.expected_replies) digest.add(reply.request);
  }
  for (const auto& host : hosts_) {
    digest.add(std::uint64_t{host.id} << 2 | static_cast<std::uint64_t>(host.state));
    digest.add(host.started_at);
  }
  monitors_.digest(digest);
  if (scenario_.real_policy) {
    digest.add(policy_input_.value());
  } else {
    gateway_->arbitrary_policy->digest(digest);
  }
  return digest.value();
}

}  // namespace cometfold::explore
