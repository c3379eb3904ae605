// One gateway: the module's events in, its actions out. Owns the tables of requests, attempts and timers, and
// alone knows what is owed to whom. Makes no decision that the module makes.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "clients.h"
#include "clock.h"
#include "config.h"
#include "discovery.h"
#include "hosts.h"
#include "thistlepond/control.h"

namespace thistlepond::net {

class Gateway : private Actions, private ClientEvents, private HostEvents, private DiscoveryEvents {
 public:
  // `on_stopped` is called once, when all is settled after `stop`.
  Gateway(boost::asio::io_context& io, Clock& clock, Config config, std::function<void()> on_stopped);
  ~Gateway() override;

  void start();
  // A planned stop: serves on for as long as clients may still come, then settles all that it has taken.
  void stop();
  // A new configuration: what it names anew is used from now on, and work in flight goes on.
  void reload(const Config& config);
  boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }

 private:
  struct Try {
    AttemptId id = 0;
    HostId host = 0;
    Ms sent = 0;
    Ms until = 0;
    bool out = true;
  };
  // The client's words, kept to be passed on; only the time left differs between attempts.
  struct Order {
    std::string before;  // up to the time left in the list of names and values
    std::string after;   // the rest of the list
    std::string head;    // command, customer and id as they go out
    std::string body;    // as it goes out, or empty
    std::size_t words = 0;
  };
  struct Asked {
    Ticket ticket;
    Order order;
    Ms expires_at = 0;
    std::uint64_t wire_id = 0;
    bool answered = false;  // nothing is owed any more
    std::vector<Try> tries;
    std::size_t out = 0;
  };
  struct Timer {
    Ms at = 0;
    enum Kind : std::uint8_t { kModule, kExpiry } kind = kModule;
    std::uint64_t token = 0;
    bool operator>(const Timer& o) const { return at > o.at; }
  };
  // An attempt's end that the module has not been told of yet.
  struct End {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::kError;
    LoadReport load;
  };
  struct Parsed;

  // Actions
  void send(RequestId request, HostId host, Ms give_up_after) override;
  void cancel(RequestId request, std::uint32_t attempt) override;
  void refuse(RequestId request, Ms retry_after) override;
  void fail(RequestId request) override;
  void wake(Ms after, std::uint64_t token) override;
  void probe(HostId host) override;
  void follow_list() override;
  void fetch_list() override;
  void note(std::string_view text) override;

  // Events
  std::uint64_t on_command(Ticket ticket, std::span<const resp::Item> words) override;
  void on_client_gone(std::uint64_t name) override;
  void on_attempt_end(AttemptId attempt, Outcome outcome, std::string_view value,
                      std::string_view report) override;
  void on_targets(const TargetList& list) override;

  std::uint64_t take(Ticket ticket, std::span<const resp::Item> words);
  const char* parse(std::span<const resp::Item> words, Parsed& parsed) const;
  std::string render(const Order& order, Ms left) const;
  LoadReport read_report(std::string_view text) const;
  std::vector<HostEntry> entries(const TargetList& list);
  void apply(const TargetList& list, ListKind kind);

  void end_try(RequestId id, std::uint32_t attempt, Outcome outcome, const LoadReport& load);
  void settle(RequestId id, std::string_view reply);
  void expire(RequestId id);
  void tell_module();
  void forget_if_done(RequestId id);
  void run_timers();
  void drop_dead_timers();
  void arm_timer();
  void await_stopped();
  void settle_all();

  boost::asio::io_context& io_;
  Clock& clock_;
  Config config_;
  Control control_;
  Clients clients_;
  Hosts hosts_;
  Discovery discovery_;
  std::function<void()> on_stopped_;

  std::unordered_map<RequestId, Asked> asked_;
  std::unordered_set<std::uint64_t> open_ids_;  // the clients' own, of requests without their final answer
  std::unordered_map<AttemptId, std::pair<RequestId, std::uint32_t>> tries_;
  std::deque<End> ends_;
  bool telling_ = false;
  RequestId last_request_ = 0;
  AttemptId last_attempt_ = 0;
  std::size_t held_bytes_ = 0;  // of bodies
  std::size_t owed_ = 0;        // requests without their final answer

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  boost::asio::steady_timer timer_;
  Ms timer_at_ = 0;  // when it is set to; 0: not set

  struct Known {
    std::string uid;
    double boot_ms = 0;
    Ms started_at = 0;
  };
  std::map<HostId, Known> known_;
  bool ready_ = false;
  std::optional<Ms> stop_at_;  // all must be settled by then
  boost::asio::steady_timer stop_timer_;
};

// A host's number, from its uid alone: the same at every gateway and after every restart.
HostId host_number(std::string_view uid);

}  // namespace thistlepond::net
