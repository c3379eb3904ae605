#include "resp/host_pool.h"

#include <algorithm>
#include <utility>

#include "engine/faults.h"
#include "resp/host_connection.h"

namespace cometfold::resp {
using engine::mutant;
using engine::Mutant;

namespace {

// Idle connections expire after this fraction of the host's own idle timeout, which leaves time for a request
// in transit.
constexpr double kIdleTimeoutFraction = 0.5;

}  // namespace

HostPool::HostPool(Dialer& dialer, HostPoolCallbacks& callbacks, const HostPoolLimits& limits, Log log)
    : context_{dialer, callbacks, limits, std::move(log)} {}

// Connections and their pools hold references to each other until a connection is closed, so all are closed
// here.
HostPool::~HostPool() { close_all(); }

void HostPool::add_host(HostId host, const Address& address, Ms started_at) {
  auto& pool = active_pools_[host];
  if (const auto retired = retired_pools_.find(host); !pool && retired != retired_pools_.end()) {
    pool = retired->second;
    retired_pools_.erase(retired);
  }
  if (!pool) pool = std::make_shared<SingleHostPool>();
  // A pending connect to the previous process could succeed late and reach its successor, or an unrelated
  // process at that address.
  const auto outdated = pool->set_process(address, started_at);
  stale_connections_.insert(stale_connections_.end(), outdated.begin(), outdated.end());
}

void HostPool::fail_stale_attempts(Ms now) {
  for (const ConnectionPtr& connection : std::exchange(stale_connections_, {})) {
    if (!connection->connected()) connection->fail(now, Outcome::kConnectFailed);
  }
}

void HostPool::retire_host(Ms now, HostId host) {
  const auto it = active_pools_.find(host);
  if (it == active_pools_.end()) return;
  const auto pool = it->second;
  // New hosts get new ids, so entries of retired hosts must not accumulate. Attempts in flight continue and
  // are bounded by their deadlines. The entry is moved before any callback, which could start an attempt at
  // this host.
  retired_pools_.insert_or_assign(host, pool);
  active_pools_.erase(it);
  pool->retire();
  if (mutant(Mutant::kKeepsWaitingAttemptsOnDrain)) return;
  // An attempt that waits for its connection could otherwise be written after the host's grace period.
  pool->fail_connecting(now);
}

Ms HostPool::max_idle_ms() const { return context_.limits.idle_timeout_ms * kIdleTimeoutFraction; }

bool HostPool::close_oldest_idle() {
  ConnectionPtr oldest;
  for (const auto& [host, pool] : active_pools_) {
    const ConnectionPtr candidate = pool->oldest_idle();
    if (candidate && (!oldest || candidate->idle_since() < oldest->idle_since())) oldest = candidate;
  }
  if (!oldest) return false;
  oldest->close();
  return true;
}

// Whether another connection to this host may be opened. Closes an idle one where necessary: at the host's
// limit one that is still in its reuse delay, as a new connection costs less than a mix-up of replies.
bool HostPool::has_capacity(SingleHostPool& pool) {
  if (pool.connection_count() >= context_.limits.max_connections_per_host) {
    const ConnectionPtr idle = pool.oldest_idle();
    if (!idle) return false;
    idle->close();
  }
  return context_.connection_count < context_.limits.max_connections || close_oldest_idle();
}

// Returns null if no socket is available, not even after freeing a descriptor.
HostPool::ConnectionPtr HostPool::connect(const std::shared_ptr<SingleHostPool>& pool) {
  auto connection = std::make_shared<HostConnection>(context_, pool);
  bool dialed = connection->connect(pool->address());
  if (!dialed && (close_oldest_idle() || context_.dialer.free_descriptor())) {
    dialed = connection->connect(pool->address());
  }
  if (!dialed) {
    context_.log("no socket available for a host connection", "");
    return nullptr;
  }
  ++context_.connection_count;
  pool->add(connection);
  return connection;
}

StartResult HostPool::start(Ms now, AttemptId attempt, HostId host, const engine::Payload& payload,
                            Ms remaining_ms) {
  const auto it = active_pools_.find(host);
  if (it == active_pools_.end() || !it->second->active()) return StartResult::kHostUnavailable;
  const auto pool = it->second;
  ConnectionPtr connection = pool->take_idle(now, context_.limits.reuse_delay_ms, max_idle_ms());
  if (!connection && has_capacity(*pool)) connection = connect(pool);
  if (!connection) return StartResult::kNoLocalCapacity;
  context_.attempts.emplace(attempt, connection);
  connection->start(now, attempt, static_cast<const HostCommand&>(payload), remaining_ms);
  return StartResult::kStarted;
}

bool HostPool::awaits_first_byte(AttemptId attempt) const {
  const auto it = context_.attempts.find(attempt);
  return it != context_.attempts.end() && it->second->awaits_first_byte();
}

bool HostPool::abandon(Ms, AttemptId attempt) {
  const auto it = context_.attempts.find(attempt);
  if (it == context_.attempts.end()) return true;
  const ConnectionPtr connection = it->second;
  context_.attempts.erase(it);
  connection->close();
  return true;
}

bool HostPool::withdraw(Ms now, AttemptId attempt) {
  const auto it = context_.attempts.find(attempt);
  if (it == context_.attempts.end() || it->second->fully_written()) return false;
  abandon(now, attempt);
  return true;
}

void HostPool::resume(Ms now, AttemptId attempt) {
  const auto it = context_.attempts.find(attempt);
  if (it == context_.attempts.end()) return;
  const ConnectionPtr connection = it->second;  // kept alive while it reads
  connection->resume(now);
}

void HostPool::end_stalled_attempts(Ms now) {
  std::vector<ConnectionPtr> stalled;
  for (const auto& [attempt, connection] : context_.attempts) {
    if (connection->stalled(now)) stalled.push_back(connection);
  }
  for (const ConnectionPtr& connection : stalled) {
    context_.log("a host stopped sending a streamed value; its connection is closed and the attempt fails",
                 "");
    connection->fail(now, Outcome::kConnectionLost);
  }
}

// The owner may start and end attempts when it is notified.
void HostPool::notice_pauses(Ms now) {
  std::vector<AttemptId> paused;
  for (const auto& [attempt, connection] : context_.attempts) {
    if (connection->take_pause_notice(now)) paused.push_back(attempt);
  }
  for (const AttemptId attempt : paused) context_.callbacks.on_value_paused(now, attempt);
}

void HostPool::resume_reads(Ms now) {
  std::vector<ConnectionPtr> waiting;
  for (const auto& [attempt, connection] : context_.attempts) {
    if (connection->waits_for_memory()) waiting.push_back(connection);
  }
  for (const ConnectionPtr& connection : waiting) connection->resume(now);
}

void HostPool::sweep(Ms now) {
  for (const auto& [host, pool] : active_pools_) pool->close_expired(now, max_idle_ms());
  end_stalled_attempts(now);
  resume_reads(now);
  while (context_.connection_count > context_.limits.max_connections && close_oldest_idle()) {
  }
  std::erase_if(retired_pools_, [](const auto& entry) { return entry.second->connection_count() == 0; });
}

void HostPool::close_all() {
  for (const PoolMap* pools : {&active_pools_, &retired_pools_}) {
    for (const auto& [host, pool] : *pools) pool->close_all();
  }
}

void HostPool::digest(engine::Digest& into) const {
  for (const PoolMap* pools : {&active_pools_, &retired_pools_}) {
    std::vector<HostId> hosts;
    for (const auto& [host, pool] : *pools) hosts.push_back(host);
    std::sort(hosts.begin(), hosts.end());
    into.add(std::uint64_t{hosts.size()});
    for (const HostId host : hosts) {
      into.add(std::uint64_t{host});
      pools->at(host)->digest(into);
    }
  }
}

}  // namespace cometfold::resp
