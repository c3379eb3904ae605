// The hosts' side: a pool of connections for each host, and the attempts out on them.
#pragma once

#include <boost/asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "resp.h"
#include "thistlepond/control.h"

namespace thistlepond::net {

using AttemptId = std::uint64_t;

class HostEvents {
 public:
  virtual ~HostEvents() = default;
  // Exactly once for each attempt that was started and not abandoned, always from the loop. `value` is there
  // with `kOk`; `report` is the host's load report as it came, or empty.
  virtual void on_attempt_end(AttemptId attempt, Outcome outcome, std::string_view value,
                              std::string_view report) = 0;
};

// Danger: what is short here must not be blamed on the host, which was asked for nothing.
enum class StartResult : std::uint8_t {
  kStarted,
  kNoHost,      // unknown or retired
  kNoRoomHere,  // out of connections or descriptors
};

struct PoolLimits {
  Ms connect_timeout = 250;
  Ms idle_limit = 15'000;         // a host closes a connection that has stood idle for so long
  std::size_t connections = 400;  // over all hosts
  std::size_t per_host = 96;
  std::size_t idle_per_host = 16;
  Ms rest = 0;  // of a connection after an answer, before it is used again
};

// One attempt is out on a connection at a time: giving one up means to close its connection, and an answer
// that waits behind another's would miss its aim.
class Hosts {
 public:
  Hosts(boost::asio::io_context& io, Clock& clock, HostEvents& events, const PoolLimits& limits);
  ~Hosts();

  // A host to send to, from now on at this address. A change of address or of process drops idle connections.
  void add(HostId host, const boost::asio::ip::tcp::endpoint& at, Ms started_at);
  // A host that drains or is gone: at once nothing new, nor what still waits for a connection to come up.
  void retire(HostId host);

  // If it is not started, no end is reported.
  StartResult start(AttemptId attempt, HostId host, std::string request);
  // Nobody waits for this attempt any more. No end is reported for it.
  void abandon(AttemptId attempt);

  std::size_t connections() const { return links_; }
  std::size_t known() const { return pools_.size() + leaving_.size(); }
  void close_all();

  // Asked when a socket can't be had: makes room elsewhere if it can.
  std::function<bool()> make_room;

 private:
  class Link;
  struct Pool;

  void ended(AttemptId attempt, Outcome outcome, std::string_view value, std::string_view report);
  bool drop_an_idle_link();
  std::shared_ptr<Link> take_rested(Pool& pool);
  void sweep();

  boost::asio::io_context& io_;
  Clock& clock_;
  HostEvents& events_;
  PoolLimits limits_;
  boost::asio::steady_timer sweep_timer_;
  std::unordered_map<HostId, std::shared_ptr<Pool>> pools_;
  std::unordered_map<HostId, std::shared_ptr<Pool>> leaving_;  // retired, with attempts still out
  std::unordered_map<AttemptId, std::shared_ptr<Link>> out_;
  std::size_t links_ = 0;
};

}  // namespace thistlepond::net
