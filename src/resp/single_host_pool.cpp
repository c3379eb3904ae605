#include "resp/single_host_pool.h"

#include <algorithm>
#include <iterator>

namespace cometfold::resp {

// Loops that close connections iterate over copies, as each close removes its connection from this pool.

std::vector<SingleHostPool::ConnectionPtr> SingleHostPool::set_process(const Address& address,
                                                                       Ms started_at) {
  std::vector<ConnectionPtr> outdated;
  if (address_ != address || started_at_ != started_at) {
    close_idle();
    std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(outdated),
                 [](const ConnectionPtr& connection) { return !connection->connected(); });
  }
  address_ = address;
  started_at_ = started_at;
  active_ = true;
  return outdated;
}

void SingleHostPool::retire() {
  active_ = false;
  close_idle();
}

void SingleHostPool::fail_connecting(Ms now) {
  for (const ConnectionPtr& connection : std::vector(connections_)) {
    if (!connection->connected()) connection->fail(now, Outcome::kConnectFailed);
  }
}

void SingleHostPool::close_idle() {
  for (const ConnectionPtr& connection : std::vector(idle_)) connection->close();
}

void SingleHostPool::close_expired(Ms now, Ms max_idle_ms) {
  for (const ConnectionPtr& connection : std::vector(idle_)) {
    if (now - connection->idle_since() > max_idle_ms) connection->close();
  }
}

void SingleHostPool::close_all() {
  for (const ConnectionPtr& connection : std::vector(connections_)) connection->close();
}

// A second reply or other bytes may follow immediately after a valid reply. The delay before a connection is
// reused lets them arrive, so that the connection is closed; otherwise they would be taken for the next
// reply.
//
// Among the connections past this delay the most recently used one is taken, so that surplus ones expire.
SingleHostPool::ConnectionPtr SingleHostPool::take_idle(Ms now, Ms reuse_delay_ms, Ms max_idle_ms) {
  for (;;) {
    const auto reusable = std::find_if(idle_.rbegin(), idle_.rend(), [&](const ConnectionPtr& connection) {
      return now - connection->idle_since() >= reuse_delay_ms;
    });
    if (reusable == idle_.rend()) return nullptr;
    ConnectionPtr connection = *reusable;
    // If this process was paused, an expired connection may not have been closed yet.
    const bool expired = now - connection->idle_since() > max_idle_ms;
    if (!expired && connection->is_quiet()) {
      idle_.erase(std::next(reusable).base());
      return connection;
    }
    connection->close();
  }
}

void SingleHostPool::remove(const ConnectionPtr& connection) {
  std::erase(idle_, connection);
  std::erase(connections_, connection);
}

void SingleHostPool::digest(engine::Digest& into) const {
  into.add(address_.ip);
  into.add(started_at_);
  for (const ConnectionPtr& connection : connections_) connection->digest(into);
}

}  // namespace cometfold::resp
