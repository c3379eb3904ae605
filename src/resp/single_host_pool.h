// The connections to one host: in use, idle, and still connecting.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

#include "engine/digest.h"
#include "resp/host_connection.h"
#include "resp/stream.h"

namespace cometfold::resp {

class SingleHostPool {
 public:
  using ConnectionPtr = std::shared_ptr<HostConnection>;

  // From here on the host listens at `address`, in a process that runs since `started_at`. Where either
  // differs, idle connections are closed, and those still connecting are returned: their attempts were meant
  // for the process before.
  std::vector<ConnectionPtr> set_process(const Address& address, Ms started_at);
  // No attempt starts here any more, and idle connections are closed.
  void retire();
  // Ends the attempts that wait for a connection.
  void fail_connecting(Ms now);
  void close_idle();
  // Closes the connections that have been idle for more than `max_idle_ms`.
  void close_expired(Ms now, Ms max_idle_ms);
  void close_all();

  // Takes an idle connection out that has rested for `reuse_delay_ms` since its last reply; null if there is
  // none. Closes those that have expired or are not quiet.
  ConnectionPtr take_idle(Ms now, Ms reuse_delay_ms, Ms max_idle_ms);
  // The connection that has been idle for longest, or null.
  ConnectionPtr oldest_idle() const { return idle_.empty() ? nullptr : idle_.front(); }

  void add(ConnectionPtr connection) { connections_.push_back(std::move(connection)); }
  void add_idle(ConnectionPtr connection) { idle_.push_back(std::move(connection)); }
  // It is closed.
  void remove(const ConnectionPtr& connection);

  bool active() const { return active_; }
  bool accepts_idle(std::size_t max_idle) const { return active_ && idle_.size() < max_idle; }
  std::size_t connection_count() const { return connections_.size(); }
  const Address& address() const { return address_; }
  void digest(engine::Digest& into) const;

 private:
  Address address_;
  Ms started_at_ = 0;
  bool active_ = true;
  std::vector<ConnectionPtr> connections_;  // all of them
  std::vector<ConnectionPtr> idle_;         // the last one was used last
};

}  // namespace cometfold::resp
