// A stand-in host: speaks RESP2 as the protocol page has it, answers after a drawn time, and fails as told.
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

// How a host behaves. The parts are of all requests, from 0 to 1, and the rest is answered well.
struct Behaviour {
  double mean_ms = 2;          // of the time to an answer; drawn evenly between half and one and a half of it
  double error = 0;            // -ERR failed, after it ran
  double busy = 0;             // -BUSY, before it ran
  double malformed = 0;        // ran, and the answer can't be read
  double disconnect = 0;       // ran, and the connection ends instead of an answer
  double silent = 0;           // ran, and nothing comes
  double duplicate_reply = 0;  // a good answer, and a second one right behind
  std::size_t value_bytes = 64;
};

class HostEmulator {
 public:
  // What a host can say of a request, for those who judge by hosts' own record.
  enum class RequestEvent { kReceived, kNotExecuted, kExecuted, kEnded };
  // `connection`: the host's own number for it; `max_value_bytes` of kMade.
  using Record = std::function<void(RequestEvent event, const std::string& id, std::uint64_t connection,
                                    std::string_view value)>;

  // Listens on a port of its own on loopback; port 0: any.
  HostEmulator(boost::asio::io_context& io, const Behaviour& behaviour, std::uint64_t seed,
               std::uint16_t port = 0);
  ~HostEmulator();

  int port() const { return acceptor_.local_endpoint().port(); }
  // Called for all that is seen from now on.
  void set_record(Record record) { record_ = std::move(record); }
  void set_behaviour(const Behaviour& behaviour) { behaviour_ = behaviour; }
  std::uint64_t received() const { return received_; }  // requests that came whole
  std::uint64_t accepted() const { return accepted_; }  // connections
  // How often the request with this id ran here; the ids of the last 100,000 requests are kept.
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
