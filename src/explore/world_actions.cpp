// The effects of the steps of a World.
#include <algorithm>
#include <cstdio>
#include <utility>

#include "explore/simulated_gateway.h"
#include "explore/simulated_stream.h"
#include "explore/world.h"
#include "explore/world_settings.h"

namespace cometfold::explore {

using rules::Event;

namespace {

std::string hex(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

// A request as clients send it. `body` identifies it even if its id is reused.
std::string request_bytes(Idempotency idempotency, std::uint64_t id, Ms timeout, const std::string& body) {
  std::string text;
  resp::append_array(text, 5);
  resp::append_bulk(text, idempotency == Idempotency::kIdempotent ? "SVC.QUERY" : "SVC.SUBMIT");
  resp::append_bulk(text, hex(1));
  resp::append_bulk(text, hex(id));
  resp::append_bulk(text, std::string("c=") + class_name(idempotency) + ",t=team,d=" +
                              std::to_string(static_cast<int>(timeout)) + ",k=ab,units=1,spread=1,first=0");
  resp::append_bulk(text, body);
  return text;
}

}  // namespace

// ---- clients ----

// As the clients see it: an id is in use until the last byte of its reply has arrived.
bool World::id_of_first_request_in_use() const {
  for (const auto& client : clients_) {
    for (const auto& reply : client.expected_replies) {
      if (reply.request == 1) return true;
    }
  }
  return false;
}

void World::send_request(const Step& step) {
  Client& client = clients_[step.client];
  const std::uint64_t request = step.number;
  const bool reuses_id = step.is_fault;
  if (!client.connection) connect_client(step.client);
  ++client.sent_count;
  const bool invalid = reuses_id && id_of_first_request_in_use();
  client.expected_replies.push_back({invalid ? 0 : request});
  const Idempotency idempotency = scenario_.requests[request - 1];
  if (!invalid) {
    deadlines_[request] = now_ + scenario_.client_timeout_ms;
    cover(CoverageGoal::kIdentityReused, reuses_id);
    Event received{.kind = Event::kRequestReceived, .gateway = kGatewayId, .request = request};
    received.class_index = static_cast<std::uint32_t>(idempotency);
    received.customer = 1;
    received.expires_at = deadlines_[request];
    report(received);
  }
  deliver(*client.connection, request_bytes(idempotency, reuses_id ? 1 : request, scenario_.client_timeout_ms,
                                            "L" + std::to_string(request)));
}

void World::close_client(const Step& step) {
  Client& client = clients_[step.client];
  client.disconnected = true;
  for (const auto& [request, at] : answered_at_) cover(CoverageGoal::kDisconnectAtInstantOfReply, at == now_);
  for (const auto& reply : client.expected_replies) {
    cover(CoverageGoal::kDisconnectWithAttemptInFlight, attempts_of(reply.request) > 0);
    if (reply.request == 0) continue;
    report({.kind = Event::kClientDisconnected, .gateway = kGatewayId, .request = reply.request});
  }
  client.expected_replies.clear();
  close_by_peer(*client.connection);
}

// ---- connections ----

void World::run_posted(const Step& step) {
  step.connection->posted = false;
  if (const auto callbacks = step.connection->callbacks.lock()) callbacks->on_posted(now_);
}

void World::make_writable(const Step& step) {
  step.connection->blocked = false;
  if (!std::exchange(step.connection->awaits_writable, false)) return;
  if (const auto callbacks = step.connection->callbacks.lock()) callbacks->on_writable(now_, true);
}

void World::complete_connect(const Step& step) {
  step.connection->state = Connection::kUp;
  step.connection->stalled = false;
  if (const auto callbacks = step.connection->callbacks.lock()) callbacks->on_connected(now_, true);
}

void World::fail_connect(const Step& step) {
  if (const auto callbacks = step.connection->callbacks.lock()) callbacks->on_connected(now_, false);
}

void World::stall_peer(const Step& step) { step.connection->stalled = true; }

void World::read_connection(const Step& step) { deliver(*step.connection, ""); }

void World::send_extra_bytes(const Step& step) {
  step.connection->incoming += reply_bytes("noise of " + std::to_string(step.connection->id));
}

void World::close_by_host(const Step& step) {
  end_attempt(*step.connection, true);
  step.connection->peer_closed = true;
}

void World::reply_by_host(const Step& step) {
  constexpr const char* kMalformedBytes = "*2\r\n$3\r\nbad\r\n$-1\r\n";
  constexpr std::size_t kTruncatedSize = 10;
  Connection& connection = *step.connection;
  const auto reply = static_cast<ReplyKind>(step.number);
  const auto value = "v" + std::to_string(connection.request) + "." + std::to_string(connection.id);
  if (reply == kValidReply || reply == kValidReplyAndMore || reply == kTruncatedReply) {
    report(
        {.kind = Event::kExecuted, .request = connection.request, .host = connection.host, .value = value});
  }
  const bool retried = connection.attempt_number < attempts_of(connection.request);
  const bool at_deadline = now_ == deadlines_[connection.request];
  cover(CoverageGoal::kReplyAfterRetry, retried && reply == kValidReply);
  cover(CoverageGoal::kReplyAtDeadline, at_deadline && reply == kValidReply);
  cover(CoverageGoal::kAttemptLost,
        reply == kCloseWithoutReply || reply == kTruncatedReply || reply == kMalformedReply);
  end_attempt(connection, reply == kBusyReply);
  switch (reply) {
    case kValidReply:
      return deliver(connection, reply_bytes(value));
    case kErrorReply:
      return deliver(connection, "-ERR failed\r\n");
    case kBusyReply:
      return deliver(connection, "-BUSY\r\n");
    case kMalformedReply:
      return deliver(connection, kMalformedBytes);
    case kMalformedReplyAndMore:
      return deliver(connection, kMalformedBytes + reply_bytes("twin"));
    case kValidReplyAndMore:
      return deliver(connection, reply_bytes(value) + reply_bytes("twin"));
    case kTruncatedReply:
      deliver(connection, reply_bytes(value).substr(0, kTruncatedSize));
      return close_by_peer(connection);
    case kCloseWithoutReply:
      return close_by_peer(connection);
  }
}

// ---- the host list ----

void World::cover_host_change(HostChange change) {
  const bool leaves = change == kHostDrains || change == kHostRemoved;
  // Once any request has been written, an attempt that waits for its connection counts as a retry.
  const bool retrying = std::any_of(attempts_written_.begin(), attempts_written_.end(),
                                    [](const auto& attempts) { return attempts.second > 0; });
  for (const auto& connection : connections_) {
    if (!connection->to_host || connection->host != kFirstHost || !connection->open()) continue;
    const bool waits = connection->state == Connection::kConnecting;
    const bool is_retry = connection->request_complete && connection->attempt_number > 1;
    cover(CoverageGoal::kDrainWhileWaiting, leaves && waits);
    cover(CoverageGoal::kReplacedWhileWaiting, change == kHostReplaced && waits);
    cover(CoverageGoal::kDrainDuringRetry, leaves && ((waits && retrying) || is_retry));
  }
}

void World::change_host(const Step& step) {
  constexpr HostId kReplacementHost = 9;
  const auto change = static_cast<HostChange>(step.number);
  cover_host_change(change);
  std::vector<HostEntry> entries;
  switch (change) {
    case kHostDrains:
      entries = {host_entry(kFirstHost, HostState::kDraining)};
      break;
    case kHostRestarted:
      entries = {host_entry(kFirstHost, HostState::kReady, now_)};
      break;
    case kHostRemoved:
      entries = {host_entry(kFirstHost, HostState::kRemoved)};
      break;
    case kHostReplaced:
      entries = {host_entry(kFirstHost, HostState::kRemoved),
                 host_entry(kReplacementHost, HostState::kReady, now_)};
      entries.back().cell = kFirstHost;  // the same address
      break;
  }
  for (const auto& entry : entries) {
    std::erase_if(hosts_, [&](const auto& host) { return host.id == entry.id; });
    hosts_.push_back(entry);
  }
  update_hosts(HostListUpdate::kDelta, entries);
}

void World::reload_list(const Step&) { update_hosts(HostListUpdate::kSnapshot, hosts_); }

// ---- the gateway process ----

void World::begin_shutdown(const Step&) {
  cover(CoverageGoal::kShutdownWithHedgedAttempt, hedged_attempt_in_flight());
  gateway_->engine.begin_shutdown(now_);
}

void World::drain_clients(const Step&) {
  draining_clients_ = true;
  const auto clients = gateway_->clients;  // a copy: draining may erase clients
  for (const auto& [id, client] : clients) client->start_draining(now_);
}

void World::fail_remaining(const Step&) {
  gateway_->engine.fail_unbegun(now_);
  if (gateway_->engine.unanswered_count() > 0) {
    report_violation("no request lost", "the shutdown left a request without a reply");
  }
}

void World::crash_gateway(const Step&) {
  report({.kind = Event::kGatewayCrashed, .gateway = kGatewayId});
  for (const auto& connection : connections_) {
    cover(CoverageGoal::kCrashWithAttemptInFlight, connection->has_attempt_in_flight());
    if (connection->open() && connection->to_host) end_attempt(*connection, false);
    connection->state = Connection::kClosed;
    connection->callbacks.reset();
  }
  // Open requests are lost with the gateway; a client that has more to send reconnects.
  for (auto& client : clients_) {
    client.expected_replies.clear();
    client.connection.reset();
    client.reader = resp::RespReader(resp::RespLimits{}, false);
  }
  policy_input_ = {};
  ++incarnation_;
  draining_clients_ = false;
  start_gateway();
}

void World::run_timers(const Step&) {
  for (const auto& connection : connections_) {
    const bool in_flight = connection->has_attempt_in_flight();
    cover(CoverageGoal::kDeadlineBeforeReply, in_flight && now_ == deadlines_[connection->request]);
  }
  gateway_->engine.run_timers(now_);
}

void World::advance_time(const Step&) {
  now_ = *next_time();
  log("  time: " + std::to_string(static_cast<long>(now_)));
}

}  // namespace cometfold::explore
