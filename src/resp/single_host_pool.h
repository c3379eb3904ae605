// The connections to one host: in use, idle and still connecting.
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

  // From now on the host listens at `address`, in a process that started at `started_at`. If either has
  // changed, closes idle connections and returns those still connecting, whose attempts were meant for the
  // previous process.
  std::vector<ConnectionPtr> set_process(const Address& address, Ms started_at);
  // Starts no more attempts and closes idle connections.
  void retire();
  // Ends the attempts that wait for a connection.
  void fail_connecting(Ms now);
  void close_idle();
  // Closes the connections that have been idle for more than `max_idle_ms`.
  void close_expired(Ms now, Ms max_idle_ms);
  void close_all();

  // Removes and returns an idle connection whose last reply is at least `reuse_delay_ms` ago; null if there
  // is none. Closes connections that it finds expired or not quiet.
  ConnectionPtr take_idle(Ms now, Ms reuse_delay_ms, Ms max_idle_ms);
  // The connection that has been idle the longest, or null.
  ConnectionPtr oldest_idle() const { return idle_.empty() ? nullptr : idle_.front(); }

  void add(ConnectionPtr connection) { connections_.push_back(std::move(connection)); }
  void add_idle(ConnectionPtr connection) { idle_.push_back(std::move(connection)); }
  // Removes a connection that is closed.
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
  std::vector<ConnectionPtr> connections_;  // all, including idle ones
  std::vector<ConnectionPtr> idle_;         // the most recently used one is last
};

}  // namespace cometfold::resp
