// A network that breaks: datagrams and streams between processes on loopback pass through it. Each process
// has two addresses: the real one, at which it listens and from which it sends, and a public one, which is
// the network's and at which the others reach it. So every ordered pair of processes has a link of its own,
// whose faults can be set while all run. Nothing privileged.
#pragma once

#include <boost/asio.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cometfold::emulators {

// What one direction between two processes does. Parts are from 0 to 1, drawn for each datagram; on a
// stream, for each piece that is read.
struct Link {
  double loss = 0;        // a stream is not lost but held back for a second, as resending would
  double delay_ms = 0;    // for each
  double jitter_ms = 0;   // up to so much more, drawn; datagrams overtake each other by it
  double duplicate = 0;   // comes twice, the second by a way of its own
  double corrupt = 0;     // one byte is another
  double truncate = 0;    // the end is missing; a stream ends there
  double replay = 0;      // one from before comes again behind it; datagrams only
  double bytes_rate = 0;  // a second; 0: no bound. What would wait for more than 2 s is lost
  bool silent = false;    // nothing passes; a stream stands, and goes on when this ends
};

struct LinkCount {
  std::uint64_t datagrams = 0, bytes = 0, lost = 0, altered = 0;  // sent into the link; harmed: not as sent
};

class Network {
 public:
  Network(boost::asio::io_context& io, std::uint64_t seed);
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  // A process at `real` that others reach at `open`, two IPv4 addresses of loopback that nobody else has.
  // The port is the same at both, of the system's choice. Throws boost::system::system_error.
  std::uint16_t add(const std::string& name, const boost::asio::ip::address_v4& private_ip,
                    const boost::asio::ip::address_v4& public_ip);
  boost::asio::ip::udp::endpoint public_address(const std::string& name) const;

  // The link from one process to another; from now on. Unknown names: std::out_of_range.
  void set(const std::string& from, const std::string& to, const Link& link);
  void set_all(const Link& link);
  const Link& link(const std::string& from, const std::string& to) const;
  // Only processes of one group reach each other; whoever is in none reaches nobody. No groups: all again.
  // Silence that was set on single links stays.
  void partition(const std::vector<std::vector<std::string>>& groups);

  LinkCount count(const std::string& from, const std::string& to) const;

 private:
  class Stream;
  struct Process;
  struct LinkState;
  using Datagram = std::shared_ptr<std::vector<char>>;

  Process& process(const std::string& name) const;
  LinkState& link_state(std::size_t from, std::size_t to) { return *link_states_.at({from, to}); }
  Process* find_process(const boost::asio::ip::address& address);
  void receive(Process& to);
  void accept(Process& to);
  void apply_faults(Process& from, Process& to, Datagram datagram);
  void pass(Process& from, Process& to, Datagram datagram);
  std::chrono::steady_clock::duration transit_time(LinkState& link_state, std::size_t bytes);
  bool passes(const LinkState& link_state) const;
  double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  boost::asio::io_context& io_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<LinkState>> link_states_;
};

}  // namespace cometfold::emulators
