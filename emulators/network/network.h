// Network emulator: forwards datagrams and TCP streams between processes on loopback and injects faults. Each
// process has two addresses: a private one, at which it listens and from which it sends, and a public one,
// which the emulator owns and at which the others reach it. So every ordered pair of processes has a link of
// its own, whose faults can be set while the processes run. Needs no privileges.
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

// The faults of one direction between two processes. Probabilities, from 0 to 1, apply to each datagram and
// to each chunk that is read from a stream.
struct Link {
  double loss = 0;        // probability; a stream's chunk is delayed by 1 s instead, as by a retransmission
  double delay_ms = 0;    // of each datagram and chunk
  double jitter_ms = 0;   // maximum of an additional uniform random delay, which reorders datagrams
  double duplicate = 0;   // probability; the copy has a delay of its own; datagrams only
  double corrupt = 0;     // probability that one byte is changed
  double truncate = 0;    // probability that the end is cut off, which closes a stream
  double replay = 0;      // probability that an earlier datagram is sent again; datagrams only
  double bytes_rate = 0;  // bytes per second; 0: unlimited. Datagrams are dropped while the queue exceeds 2 s
  bool silent = false;    // drops all datagrams; streams stall until this ends
};

// `datagrams` and `bytes` count what was sent into the link, `altered` the faults that changed its data.
struct LinkCount {
  std::uint64_t datagrams = 0, bytes = 0, lost = 0, altered = 0;
};

class Network {
 public:
  Network(boost::asio::io_context& io, std::uint64_t seed);
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  // Adds a process that listens at `private_ip` and that others reach at `public_ip`, two loopback addresses
  // that nothing else uses. Returns the port, chosen by the system and the same at both. Throws
  // boost::system::system_error.
  std::uint16_t add(const std::string& name, const boost::asio::ip::address_v4& private_ip,
                    const boost::asio::ip::address_v4& public_ip);
  boost::asio::ip::udp::endpoint public_address(const std::string& name) const;

  // Sets the faults from one process to another, from now on. Throws std::out_of_range for unknown names.
  void set(const std::string& from, const std::string& to, const Link& link);
  void set_all(const Link& link);
  const Link& link(const std::string& from, const std::string& to) const;
  // Only processes of the same group reach each other; one in no group is isolated. No groups: removes the
  // partition. Doesn't change the faults of single links.
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
