// Discovery: the list of hosts in its JSON form, and the watch that keeps it up to date.
#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cometfold::net {

enum class TargetState : std::uint8_t { kActive, kLeaving, kLeft };

struct Target {
  std::string uid;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string zone, kind;
  std::optional<std::uint32_t> cell;
  TargetState state = TargetState::kActive;
  double size = 1;
  std::optional<double> boot_ms;  // Unix time; 0: long ago; none: not told
};

struct TargetList {
  std::uint64_t version = 0;
  bool whole = false;
  std::vector<Target> targets;
  // Discovery has said then that all it knew had been told: what is new here has happened since. None: not
  // known.
  std::optional<std::chrono::steady_clock::time_point> news_since;
};

struct ListError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws ListError on anything that is no list of targets.
TargetList read_targets(const boost::json::value& json);
boost::asio::ip::tcp::endpoint read_endpoint(std::string_view text);

class DiscoveryEvents {
 public:
  virtual ~DiscoveryEvents() = default;
  virtual void on_targets(const TargetList& list) = 0;
};

// Watches until the program ends: a watch that breaks, falls silent or says what can't be read is begun anew,
// from the version known last, after a pause that grows.
//
// After `move` the list comes from another address. The old watch is believed until the new one has given its
// whole list, so that no drain told meanwhile is lost. For a moment more it is heard when it says that hosts
// leave, as its last words may not have been read yet; then it is dropped.
class Discovery {
 public:
  struct Caller {
    double gateways = 1;  // that press the same discovery, this one included
    bool agent = false;   // it is one on this machine, which answers at once and at no cost
  };
  Discovery(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& at, std::uint64_t seed,
            const Caller& caller, DiscoveryEvents& events);
  ~Discovery();

  // `known_host_count`: the list as of the last process, which the first watch goes on from.
  void start(const TargetList& known);
  void move(const boost::asio::ip::tcp::endpoint& at);

 private:
  class Watch;
  struct Farewell {  // the word of some watch that a host leaves or has left
    std::optional<double> boot_ms;
    TargetState state = TargetState::kLeaving;
    std::chrono::steady_clock::time_point told;
  };

  void heard(Watch& from, TargetList list);
  void replace_watch();
  void heard_of_the_old(TargetList list);
  void note_omitted(const TargetList& list);
  bool keep_farewells(TargetList& list);
  void note_farewells(const TargetList& list);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint at_;
  std::mt19937_64 random_;
  Caller caller_;
  DiscoveryEvents& events_;
  std::shared_ptr<Watch> watch_;                                   // the one that is believed
  std::shared_ptr<Watch> next_;                                    // takes its place with its first list
  std::shared_ptr<Watch> old_;                                     // the one that was believed before
  std::unordered_map<std::string, std::optional<double>> listed_;  // what is named now, with its boot_ms
  std::unordered_map<std::string, Farewell> farewells_;
  boost::asio::steady_timer recheck_, last_words_;
};

}  // namespace cometfold::net
