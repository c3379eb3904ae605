// The hosts' side on RESP2: a pool of connections for each host, and the attempts out on them. Does no I/O:
// streams are dialled through `Dialer`, time comes in with each call.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/engine.h"
#include "resp/resp_reader.h"
#include "resp/resp_writer.h"
#include "resp/stream.h"

namespace cometfold::resp {

using engine::AttemptId;
using engine::StartResult;

// A request as it goes out to hosts on RESP2. What `HostPool::start` gets as payload must be one.
class HostCommand : public engine::Payload {
 public:
  // The whole command; `remaining_ms` is what the host is told of the time left, in milliseconds, at least 1.
  virtual std::string render(Ms left) const = 0;
};

class HostPoolCallbacks {
 public:
  virtual ~HostPoolCallbacks() = default;
  // Exactly once for each attempt that was started and neither abandoned nor withdrawn. `max_value_bytes` is
  // there with `kOk`; `report` is the host's load report as it came, or empty. Both last until the call
  // returns.
  virtual void on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                              std::string_view report) = 0;
  // A long value begins to come, `size` bytes in all, and its pieces. Its end is `on_attempt_end`, with an
  // empty value if all of it came. False from `on_value_chunk`: nothing more is read until
  // `HostPool::resume`.
  virtual void on_value_started(Ms, AttemptId, std::size_t) {}
  virtual bool on_value_chunk(Ms, AttemptId, std::string_view) { return true; }
  // Whether bytes of an attempt may be written now that could not be when it was started: its first one, or
  // with `begun` the rest. What it may still take, in milliseconds, or nothing: it ends as kNotSent.
  virtual std::optional<Ms> may_write(Ms now, AttemptId attempt, bool begun) = 0;
  // Its last byte is written. May come from inside `HostPool::start`, so it must not call back.
  virtual void on_attempt_written(AttemptId) {}
};

struct HostPoolLimits {
  Ms connect_timeout_ms = 250;
  Ms idle_timeout_ms = 15'000;        // a host closes a connection that has stood idle for so long
  std::size_t max_connections = 400;  // over all hosts
  std::size_t max_connections_per_host = 96;
  std::size_t max_idle_per_host = 16;
  Ms reuse_delay_ms = 0;  // of a connection after an answer, before it is used again
  std::size_t max_value_bytes =
      4 * 1024 * 1024;           // bytes of the longest value; above 64 KiB it passes in pieces
  Ms stall_timeout_ms = 10'000;  // a host that gives nothing of such a value for so long
};

// One attempt is out on a connection at a time: giving one up means to close its connection, and an answer
// that waits behind another's would miss its aim.
class HostPool : public engine::UpstreamTransport {
 public:
  using Log = std::function<void(std::string_view what, std::string_view detail)>;

  HostPool(Dialer& dialer, HostPoolCallbacks& events, const HostPoolLimits& limits, Log log);
  ~HostPool() override;

  // A host to send to, from now on at this address. A change of address or of process drops idle connections.
  void add_host(HostId host, const Address& at, Ms started_at);
  // After the module knows the list that `add_host` was called for: ends attempts that wait for a connection
  // to the process or address before. They never ran.
  void fail_stale_attempts(Ms now);

  StartResult start(Ms now, AttemptId attempt, HostId host, const engine::Payload& payload, Ms left) override;
  bool abandon(Ms now, AttemptId attempt) override;
  bool withdraw(Ms now, AttemptId attempt) override;
  bool awaits_first_byte(AttemptId attempt) const override;
  void retire_host(Ms now, HostId host) override;
  void resume(Ms now, AttemptId attempt) override;

  // New bounds; what idles above them is closed at the next sweep.
  void set_limits(const HostPoolLimits& limits) { limits_ = limits; }
  // Closes what has stood idle for too long and forgets hosts that are done with. To be called a few times a
  // second.
  void sweep(Ms now);
  void close_all();

  std::size_t connection_count() const { return links_; }
  std::size_t known_host_count() const { return pools_.size() + leaving_.size(); }
  void digest(engine::Digest& into) const;

 private:
  class Link;
  struct Pool;

  StartResult start_on(Ms now, AttemptId attempt, const std::shared_ptr<Pool>& pool,
                       const HostCommand& command, Ms left);
  void ended(Ms now, AttemptId attempt, Outcome outcome, std::string_view value, std::string_view report);
  bool drop_an_idle_link();
  bool too_old(Ms now, const Link& link) const;
  std::shared_ptr<Link> take_rested(Ms now, Pool& pool);

  Dialer& dialer_;
  HostPoolCallbacks& events_;
  HostPoolLimits limits_;
  Log log_;
  std::unordered_map<HostId, std::shared_ptr<Pool>> pools_;
  std::unordered_map<HostId, std::shared_ptr<Pool>> leaving_;  // retired, with attempts still out
  std::unordered_map<AttemptId, std::shared_ptr<Link>> out_;
  std::vector<std::shared_ptr<Link>> stale_;  // not up when their host was added anew
  std::size_t links_ = 0;
};

}  // namespace cometfold::resp
