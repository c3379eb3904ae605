// The RESP2 upstream transport: a connection pool for each host, and the attempts in flight. Performs no I/O
// itself: streams are opened through `Dialer`, and each call passes the current time.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/engine.h"
#include "resp/host_command.h"
#include "resp/host_pool_context.h"
#include "resp/single_host_pool.h"
#include "resp/stream.h"

namespace cometfold::resp {

using engine::StartResult;

class HostPool : public engine::UpstreamTransport {
 public:
  using Log = HostPoolLog;

  // `dialer` and `callbacks` must outlive this object.
  HostPool(Dialer& dialer, HostPoolCallbacks& callbacks, const HostPoolLimits& limits, Log log);
  ~HostPool() override;

  // From now on attempts for this host go to `address`, to a process that started at `started_at`. If either
  // has changed, idle connections are closed.
  void add_host(HostId host, const Address& address, Ms started_at);
  // Ends attempts that wait for a connection to a process or address that has been replaced; they were never
  // executed. Must be called once the engine has the host list that `add_host` was called for.
  void fail_stale_attempts(Ms now);

  // See `engine::UpstreamTransport`. `payload` must be a `HostCommand` and stay valid until the attempt ends.
  StartResult start(Ms now, AttemptId attempt, HostId host, const engine::Payload& payload,
                    Ms remaining_ms) override;
  bool abandon(Ms now, AttemptId attempt) override;
  bool withdraw(Ms now, AttemptId attempt) override;
  bool awaits_first_byte(AttemptId attempt) const override;
  void retire_host(Ms now, HostId host) override;
  void resume(Ms now, AttemptId attempt) override;

  // From now on the buffers of the connections count against `memory`, which must outlive this object.
  void share_memory(MemoryBudget& memory) { context_.memory = &memory; }
  // Idle connections above the new limits are closed at the next sweep.
  void set_limits(const HostPoolLimits& limits) { context_.limits = limits; }
  // Closes expired idle connections, ends stalled streamed values, resumes reads that waited for memory and
  // removes retired hosts without connections. Must be called a few times per second.
  void sweep(Ms now);
  // Notifies the owner of streamed values whose hosts pause. Must be called every 100 ms or so.
  void notice_pauses(Ms now);
  void close_all();

  std::size_t connection_count() const { return context_.connection_count; }
  std::size_t known_host_count() const { return active_pools_.size() + retired_pools_.size(); }
  void digest(engine::Digest& into) const;

 private:
  using ConnectionPtr = SingleHostPool::ConnectionPtr;
  using PoolMap = std::unordered_map<HostId, std::shared_ptr<SingleHostPool>>;

  bool has_capacity(SingleHostPool& pool);
  ConnectionPtr connect(const std::shared_ptr<SingleHostPool>& pool);
  bool close_oldest_idle();
  void end_stalled_attempts(Ms now);
  void resume_reads(Ms now);
  Ms max_idle_ms() const;

  HostPoolContext context_;
  PoolMap active_pools_;
  PoolMap retired_pools_;                         // until their last connection is closed
  std::vector<ConnectionPtr> stale_connections_;  // for `fail_stale_attempts`
};

}  // namespace cometfold::resp
