// Host emulator: speaks RESP2 as a host does, replies after a random time and injects configured faults.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cometfold::emulators {

// The faults and reply times of a host. Faults are fractions of all requests, from 0 to 1, and exclude each
// other; the remaining requests are answered correctly.
struct Behaviour {
  double mean_ms = 2;          // mean reply time; uniform from 0.5 to 1.5 times the mean
  double error = 0;            // executes and replies -ERR failed
  double busy = 0;             // replies -BUSY without executing
  double malformed = 0;        // executes and sends a malformed reply
  double disconnect = 0;       // executes and closes the connection instead of replying
  double silent = 0;           // executes and never replies
  double duplicate_reply = 0;  // a correct reply, followed by one with the value of another id
  std::size_t value_bytes = 64;
};

class HostEmulator {
 public:
  // Events of a request at this host, recorded for rule checkers.
  enum class RequestEvent { kReceived, kNotExecuted, kExecuted, kEnded };
  // `connection` is the host's number of the connection; `value` is set for kExecuted only.
  using Record = std::function<void(RequestEvent event, const std::string& id, std::uint64_t connection,
                                    std::string_view value)>;

  // Listens on loopback; port 0: chosen by the system.
  HostEmulator(boost::asio::io_context& io, const Behaviour& behaviour, std::uint64_t seed,
               std::uint16_t port = 0);
  ~HostEmulator();

  int port() const { return acceptor_.local_endpoint().port(); }
  // `record` is called for each event from now on.
  void set_record(Record record) { record_ = std::move(record); }
  void set_behaviour(const Behaviour& behaviour) { behaviour_ = behaviour; }
  std::uint64_t received() const { return received_; }  // complete requests
  std::uint64_t accepted() const { return accepted_; }  // accepted connections
  // How often this host executed the request with this id; the last 100,000 ids are kept.
  std::size_t executions_of(const std::string& id) const;

 private:
  class Session;
  void accept();
  double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  void count_execution(const std::string& id);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Behaviour behaviour_;
  Record record_ = [](RequestEvent, const std::string&, std::uint64_t, std::string_view) {};
  std::mt19937_64 random_;
  std::uint64_t received_ = 0, accepted_ = 0;
  std::unordered_map<std::string, std::size_t> executions_;
  std::vector<std::string> execution_ids_;
  std::size_t oldest_id_ = 0;
};

}  // namespace cometfold::emulators
