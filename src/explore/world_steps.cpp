// Collects the steps that are possible in the current state of a World. Trace files store the labels, so they
// must not change.
#include <algorithm>

#include "explore/simulated_gateway.h"
#include "explore/simulated_stream.h"
#include "explore/world.h"
#include "explore/world_settings.h"

namespace cometfold::explore {

// The order of the steps is the order of the options at the choice point.
void World::collect_steps(std::vector<Step>& steps) {
  steps.clear();
  collect_connection_steps(steps);
  collect_client_steps(steps);
  collect_timer_steps(steps);
  collect_host_list_steps(steps);
  if (faults_left_ <= 0) {
    std::erase_if(steps, [](const auto& step) { return step.is_fault; });
  }
}

std::string World::label(const Step& step) const {
  std::string text;
  for (const char* next = step.label; *next; ++next) {
    if (*next != '{') {
      text += *next;
      continue;
    }
    switch (*++next) {
      case 'c':
        text += std::to_string(step.connection->id);
        break;
      case 'r':
        text += std::to_string(step.connection->request);
        break;
      case 'h':
        text += std::to_string(step.connection->host);
        break;
      default:
        text += std::to_string(step.number);
    }
    ++next;  // the closing brace
  }
  return text;
}

void World::collect_client_steps(std::vector<Step>& steps) {
  const auto& faults = scenario_.enabled_faults;
  for (std::size_t i = 0; i < clients_.size(); ++i) {
    const Client& client = clients_[i];
    const bool connected = client.connection && client.connection->state == Connection::kUp;
    const bool can_send =
        client.connection ? connected && !client.connection->send_shutdown : !draining_clients_;
    // Clients are interchangeable, so they start in order of index: any other order is the same run with the
    // clients renumbered.
    const bool may_start = i == 0 || clients_[i - 1].sent_count > 0 || clients_[i - 1].disconnected;
    if (can_send && may_start && !client.disconnected && client.sent_count < client.requests.size()) {
      const std::size_t request = client.requests[client.sent_count];
      steps.push_back({"client sends request {n}", false, &World::send_request, nullptr, request + 1, i});
      if (faults.identity_reuse && request > 0) {
        steps.push_back({"client sends request {n} under the first one's id", true, &World::send_request,
                         clients_[0].connection.get(), request + 1, i});
      }
    }
    if (faults.client_disconnect && connected && !client.disconnected) {
      steps.push_back({"client {n} closes", true, &World::close_client, nullptr, i + 1, i});
    }
  }
}

void World::collect_connection_steps(std::vector<Step>& steps) {
  for (const auto& connection : connections_) {
    if (connection->open()) collect_steps_of(steps, connection.get());
  }
}

void World::collect_steps_of(std::vector<Step>& steps, Connection* connection) {
  const auto& faults = scenario_.enabled_faults;
  const auto add = [&](bool possible, const char* label, bool is_fault, void (World::*apply)(const Step&)) {
    if (possible) steps.push_back({label, is_fault, apply, connection});
  };
  add(connection->posted, "the loop comes back to connection {c}", false, &World::run_posted);
  add(connection->blocked && connection->state == Connection::kUp, "connection {c} has room to write", false,
      &World::make_writable);
  add(connection->awaits_host() && !connection->stalled, "the peer of connection {c} is slow", true,
      &World::stall_peer);
  if (connection->state == Connection::kConnecting) {
    add(true, "connection {c} comes up", false, &World::complete_connect);
    add(faults.connect_refused, "connection {c} is refused", true, &World::fail_connect);
    add(now_ >= connection->connect_by, "connection {c} never came up", false, &World::fail_connect);
    return;
  }
  if (!connection->to_host) return;
  if (connection->request_complete) collect_reply_steps(steps, connection);
  if (connection->read_possible()) {
    add(true, "the loop reads connection {c}", false, &World::read_connection);
  } else if (!connection->peer_closed && !connection->request_complete) {
    add(faults.extra_bytes && connection->sent.empty(), "noise arrives on connection {c}", true,
        &World::send_extra_bytes);
    add(faults.connection_loss, "the host closes connection {c}", true, &World::close_by_host);
  }
}

void World::collect_reply_steps(std::vector<Step>& steps, Connection* connection) {
  const auto& faults = scenario_.enabled_faults;
  const auto add = [&](bool possible, const char* label, ReplyKind reply) {
    if (possible) steps.push_back({label, reply != kValidReply, &World::reply_by_host, connection, reply});
  };
  add(true, "host {h} answers request {r} on connection {c}", kValidReply);
  add(faults.error_reply, "host {h} fails request {r} on connection {c}", kErrorReply);
  add(faults.busy_reply, "host {h} turns request {r} away on connection {c}", kBusyReply);
  add(faults.malformed_reply, "host {h} answers request {r} on connection {c}, spoilt", kMalformedReply);
  add(faults.malformed_reply, "host {h} answers request {r} on connection {c}, spoilt, and more behind",
      kMalformedReplyAndMore);
  add(faults.extra_bytes, "host {h} answers request {r} on connection {c}, and more behind",
      kValidReplyAndMore);
  add(faults.connection_loss, "host {h} closes connection {c} without an answer to request {r}",
      kCloseWithoutReply);
  add(faults.connection_loss, "host {h} breaks off connection {c} within its answer to request {r}",
      kTruncatedReply);
}

void World::collect_host_list_steps(std::vector<Step>& steps) {
  const auto& faults = scenario_.enabled_faults;
  const auto first =
      std::find_if(hosts_.begin(), hosts_.end(), [](const auto& host) { return host.id == kFirstHost; });
  const bool ready = first->state == HostState::kReady;
  const bool listed = first->state != HostState::kRemoved;
  const auto add = [&](bool possible, const char* label, HostChange change) {
    if (possible) steps.push_back({label, true, &World::change_host, nullptr, change});
  };
  add(faults.host_drain && ready, "list: host 1 drains", kHostDrains);
  add(faults.host_restart && ready && first->started_at == 0, "list: host 1 has restarted", kHostRestarted);
  add(faults.host_removal && listed, "list: host 1 is gone", kHostRemoved);
  add(faults.host_replacement && listed, "list: host 1 is gone, host 9 is at its address", kHostReplaced);
  if (faults.list_reload) steps.push_back({"reload: the whole list again", true, &World::reload_list});
  if (faults.gateway_crash && incarnation_ == 0) {
    steps.push_back({"the gateway crashes and starts again", true, &World::crash_gateway});
  }
  const bool shutting_down = gateway_->engine.shutdown_deadline().has_value();
  if (faults.shutdown && !shutting_down) steps.push_back({"SIGTERM", true, &World::begin_shutdown});
  if (shutting_down && !draining_clients_) {
    steps.push_back({"the stop winds down", false, &World::drain_clients});
  }
}

void World::collect_timer_steps(std::vector<Step>& steps) {
  const auto next_timer = gateway_->engine.next_timer();
  const auto shutdown_deadline = gateway_->engine.shutdown_deadline();
  if (next_timer && *next_timer <= now_) {
    steps.push_back({"due timers run", false, &World::run_timers});
  }
  if (shutdown_deadline && *shutdown_deadline <= now_ && gateway_->engine.unanswered_count() > 0) {
    steps.push_back({"the stop settles all", false, &World::fail_remaining});
  }
  const auto next = next_time();
  if (next && *next > now_ && has_open_requests() && !has_immediate_event()) {
    steps.push_back({"time passes", false, &World::advance_time});
  }
}

std::optional<Ms> World::next_time() const {
  std::optional<Ms> next = gateway_->engine.next_timer();
  const auto include = [&](Ms at) {
    if (!next || at < *next) next = at;
  };
  for (const auto& connection : connections_) {
    if (connection->state == Connection::kConnecting) include(connection->connect_by);
  }
  const auto shutdown_deadline = gateway_->engine.shutdown_deadline();
  if (shutdown_deadline && gateway_->engine.unanswered_count() > 0) include(*shutdown_deadline);
  return next;
}

bool World::has_immediate_event() const {
  return std::any_of(connections_.begin(), connections_.end(), [](const auto& connection) {
    if (!connection->open()) return false;
    const bool local = connection->posted || connection->blocked || connection->read_possible();
    return local || (connection->awaits_host() && !connection->stalled);
  });
}

}  // namespace cometfold::explore
