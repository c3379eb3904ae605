// The simulated hosts, clients and operating system of a World, as the gateway sees them.
#include <algorithm>
#include <cstring>
#include <utility>

#include "explore/simulated_gateway.h"
#include "explore/simulated_stream.h"
#include "explore/world.h"
#include "explore/world_settings.h"

namespace cometfold::explore {

using rules::Event;

// ---- clients ----

void World::connect_client(std::size_t client_index) {
  const auto connection = std::make_shared<Connection>();
  connection->id = ++last_connection_id_;
  connection->client = client_index;
  connection->state = Connection::kUp;
  connections_.push_back(connection);
  clients_[client_index].connection = connection;
  const auto client = std::make_shared<resp::ClientConnection>(*this, gateway_->totals, connection->id, now_);
  connection->callbacks = client;
  gateway_->clients.emplace(connection->id, client);
  client->start(std::make_unique<SimulatedStream>(*this, connection));
}

resp::CommandResult World::on_command(Ms now, resp::ResponseHandle response,
                                      std::span<const resp::Item> words,
                                      const resp::CommandArrival& arrival) {
  return gateway_->handler.on_command(now, response, words, arrival);
}

void World::on_reply_pending(std::uint64_t identity) { gateway_->handler.on_reply_pending(identity); }

void World::on_reply_flushed(std::uint64_t identity) { gateway_->handler.on_reply_flushed(identity); }

void World::on_client_disconnected(Ms now, std::uint64_t request_id) {
  gateway_->engine.on_client_disconnected(now, request_id);
}

void World::on_closed(std::uint64_t connection) { gateway_->clients.erase(connection); }

void World::send_reply(Ms now, resp::ResponseHandle response, std::string_view reply) {
  if (!replied_.insert({response.connection, response.sequence}).second) {
    report_violation("the engine's promise", "a second reply was sent for one request");
  }
  const auto found = gateway_->clients.find(response.connection);
  if (found == gateway_->clients.end()) return;
  const auto client = found->second;  // the call may erase it
  client->send_reply(now, response.sequence, reply);
}

void World::send_error(Ms now, resp::ResponseHandle response, std::string_view error) {
  const auto found = gateway_->clients.find(response.connection);
  if (found == gateway_->clients.end()) return;
  const auto client = found->second;  // the call may erase it
  client->send_error(now, response.sequence, error);
}

// The client reads what the gateway has written: the replies, in the order of its requests.
void World::receive_at_client(Connection& connection) {
  Client& client = clients_[connection.client];
  while (!connection.sent.empty()) {
    const auto buffer = client.reader.prepare();
    const auto size = std::min(buffer.size(), connection.sent.size());
    std::memcpy(buffer.data(), connection.sent.data(), size);
    client.reader.commit(size);
    connection.sent.erase(0, size);
    resp::Frame frame;
    while (client.reader.next(frame) == resp::ReadResult::kFrame) {
      if (client.expected_replies.empty()) {
        report_violation("no request lost", "a reply arrived on a connection without an outstanding request");
        return;
      }
      receive_reply(client, frame);
    }
  }
}

void World::receive_reply(Client& client, const resp::Frame& frame) {
  const auto request = client.expected_replies.front().request;
  client.expected_replies.erase(client.expected_replies.begin());
  const auto& item = frame.items.at(0);
  const bool is_value = item.type == resp::ItemType::kBulk;
  log("  client: request " + std::to_string(request) + " gets '" + std::string(item.text) + "'");
  answered_at_[request] = now_;
  if (request == 0) {
    if (is_value) report_violation("no request lost", "an invalid request was served");
    return;
  }
  if (item.text.starts_with("ERR another open request")) {
    report_violation("the engine's promise",
                     "a request was rejected as a duplicate although its id was free");
  }
  const bool is_rejection = item.text.starts_with("BUSY");
  const auto kind = is_value ? Event::kServed : is_rejection ? Event::kRejected : Event::kFailed;
  report({.kind = kind, .gateway = kGatewayId, .request = request, .value = item.text});
}

// ---- hosts ----

std::unique_ptr<resp::Stream> World::dial(const resp::Address& address, Ms timeout,
                                          resp::StreamCallbacks& callbacks) {
  const auto connection = std::make_shared<Connection>();
  connection->id = ++last_connection_id_;
  connection->to_host = true;
  // Connects to the host listed at the address; one that is not removed takes precedence.
  const auto cell = static_cast<std::uint32_t>(std::stoul(address.ip.substr(address.ip.rfind('.') + 1)));
  for (const auto& host : hosts_) {
    const bool preferred = connection->host == 0 || host.state != HostState::kRemoved;
    if (host.cell == cell && preferred) connection->host = host.id;
  }
  connection->callbacks = callbacks.weak_from_this();
  connection->connect_by = now_ + timeout;
  connections_.push_back(connection);
  log("  pool: connection " + std::to_string(connection->id) + " to host " +
      std::to_string(connection->host));
  return std::make_unique<SimulatedStream>(*this, connection);
}

// The host reads what the gateway has written.
void World::receive_at_host(Connection& connection) {
  const auto event = [&](Event::Kind kind) {
    return Event{.kind = kind,
                 .gateway = kGatewayId,
                 .request = connection.request,
                 .connection = connection.id,
                 .host = connection.host};
  };
  if (connection.request == 0) {
    // The body identifies the request even if its id is reused. It is complete, as a partial write omits only
    // the last byte.
    connection.request = std::stoull(connection.sent.substr(connection.sent.rfind("\r\nL") + 3));
    report(event(Event::kAttemptFirstByte));
  }
  if (!connection.sent.ends_with("\r\n")) return;
  connection.request_complete = true;
  connection.attempt_number = ++attempts_written_[connection.request];
  cover(CoverageGoal::kThirdAttempt, connection.attempt_number > 2);
  cover(CoverageGoal::kHedgedAttemptInFlight, hedged_attempt_in_flight());
  log("  host " + std::to_string(connection.host) + ": received request " +
      std::to_string(connection.request) + " completely");
  report(event(Event::kAttemptWritten));
}

// The attempt on this connection is no longer in flight.
void World::end_attempt(Connection& connection, bool never_executed) {
  if (connection.request == 0) return;
  const bool not_executed = never_executed || !connection.request_complete;
  report({.kind = not_executed ? Event::kNotExecuted : Event::kAttemptEnded,
          .gateway = kGatewayId,
          .request = connection.request,
          .connection = connection.id,
          .host = connection.host});
  connection.request = 0;
  connection.request_complete = false;
  connection.sent.clear();
}

std::optional<Ms> World::may_write(Ms now, engine::AttemptId attempt, bool begun) {
  return gateway_->engine.may_write(now, attempt, begun);
}

void World::on_attempt_end(Ms now, engine::AttemptId attempt, Outcome outcome, std::string_view value,
                           std::string_view) {
  gateway_->engine.on_attempt_end(now, attempt, outcome, value, {});
}

// ---- the operating system ----

// Appends `bytes` to what the gateway has received, and completes its reads as long as it has one pending.
void World::deliver(Connection& connection, const std::string& bytes) {
  connection.incoming += bytes;
  while (connection.state == Connection::kUp && connection.read_possible()) {
    const auto callbacks = connection.callbacks.lock();
    if (!callbacks) return;
    connection.reading = false;
    const auto size = std::min(connection.read_buffer.size(), connection.incoming.size());
    std::memcpy(connection.read_buffer.data(), connection.incoming.data(), size);
    connection.incoming.erase(0, size);
    callbacks->on_read(now_, size, size == 0);
  }
  const auto callbacks = connection.callbacks.lock();
  if (connection.state != Connection::kUp || !connection.peer_closed || !callbacks) return;
  if (std::exchange(connection.awaits_close, false)) callbacks->on_read(now_, 0, true);
}

void World::close_by_peer(Connection& connection) {
  connection.peer_closed = true;
  deliver(connection, "");
}

}  // namespace cometfold::explore
