// One gateway's real engine, host pool, client connections and RESP2 front end between simulated clients,
// hosts and streams, under simulated time. Every free decision is the chooser's.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "engine/engine.h"
#include "explore/chooser.h"
#include "explore/coverage.h"
#include "explore/scenario.h"
#include "resp/client_link.h"
#include "resp/front.h"
#include "resp/host_pool.h"
#include "rules/rule_monitors.h"

namespace cometfold::explore {

class World : private resp::Dialer,
              private resp::HostPoolCallbacks,
              public resp::ClientConnectionCallbacks,
              private resp::ReplySink {
 public:
  using Log = std::function<void(const std::string&)>;

  World(const Scenario& scenario, Chooser& chooser, Log log = {});
  ~World() override;

  // One event, chosen. False if nothing can happen any more, or the depth is reached.
  bool step();
  // The first rule broken so far, or a promise of the engine's own; empty if none.
  const std::optional<rules::Violation>& violation() const { return violation_; }
  bool truncated() const { return truncated_; }  // the depth ended it, not the world
  std::uint64_t fingerprint() const;
  Coverage coverage() const { return coverage_; }

 private:
  class SimulatedStream;
  class ArbitraryPolicy;
  class RecordingPolicy;
  struct Connection;
  struct Client;
  struct Gateway;  // the gateway: all that a crash takes with it
  enum ReplyKind : std::size_t;
  enum HostChange : std::size_t;
  // Something that can happen next. `text` names it, with {c} for the connection, {r} for its request, {h}
  // for its host and {n} for `n`.
  struct Step {
    const char* label;
    bool is_fault;
    void (World::*apply)(const Step&);
    Connection* connection = nullptr;
    std::size_t number = 0;
    std::size_t client = 0;
  };

  // resp::Dialer
  std::unique_ptr<resp::Stream> dial(const resp::Address& at, Ms timeout,
                                     resp::StreamCallbacks& events) override;
  bool free_descriptor() override { return false; }
  // resp::HostEvents
  void on_attempt_end(Ms now, engine::AttemptId attempt, Outcome outcome, std::string_view value,
                      std::string_view report) override;
  std::optional<Ms> may_write(Ms now, engine::AttemptId attempt, bool begun) override;
  // resp::ClientOwner, resp::Replies
  resp::CommandResult on_command(Ms now, resp::ResponseHandle ticket, std::span<const resp::Item> words,
                                 Ms waited) override;
  void on_reply_pending(std::uint64_t identity) override;
  void on_reply_flushed(std::uint64_t identity) override;
  void on_client_disconnected(Ms now, std::uint64_t name) override;
  void on_closed(std::uint64_t id) override;
  void send_reply(Ms now, resp::ResponseHandle ticket, std::string_view reply) override;
  void send_error(Ms now, resp::ResponseHandle ticket, std::string_view why) override;
  // The hosts here give short values only.
  void start_value(Ms, resp::ResponseHandle, std::size_t) override {
    report_violation("the explorer", "a long value");
  }
  bool append_value(Ms, resp::ResponseHandle, std::string_view) override { return true; }
  void finish_value(Ms, resp::ResponseHandle) override {}

  void start_gateway();
  void update_hosts(HostListUpdate kind, std::vector<HostEntry> entries);
  void collect_steps(std::vector<Step>& all);
  void collect_client_steps(std::vector<Step>& all);
  void collect_connection_steps(std::vector<Step>& all);
  void collect_reply_steps(std::vector<Step>& all, Connection* conn);
  void collect_host_list_steps(std::vector<Step>& all);
  void collect_timer_steps(std::vector<Step>& all);
  std::string label(const Step& option) const;

  // What options do.
  void send_request(const Step& o);
  void close_client(const Step& o);
  void run_posted(const Step& o);
  void make_writable(const Step& o);
  void complete_connect(const Step& o);
  void fail_connect(const Step& o);
  void stall_peer(const Step& o);
  void read_connection(const Step& o);
  void send_extra_bytes(const Step& o);
  void close_by_host(const Step& o);
  void reply_by_host(const Step& o);
  void change_host(const Step& o);
  void reload_list(const Step& o);
  void crash_gateway(const Step& o);
  void begin_shutdown(const Step& o);
  void drain_clients(const Step& o);
  void fail_remaining(const Step& o);
  void run_timers(const Step& o);
  void advance_time(const Step& o);

  void connect_client(std::size_t i);
  void deliver(Connection& conn, const std::string& bytes);
  void close_by_peer(Connection& conn);
  void receive_at_host(Connection& conn);
  void receive_at_client(Connection& conn);
  void end_attempt(Connection& conn, bool never_ran);
  bool has_open_requests() const;
  bool has_immediate_event() const;
  std::optional<Ms> next_time() const;
  void check_end_state();
  void report(rules::Event event);
  void cover(CoverageGoal goal, bool reached = true);
  std::size_t attempts_of(std::uint64_t request) const;
  bool hedged_attempt_in_flight() const;
  void report_violation(const std::string& rule, const std::string& why);
  void log(const std::string& text);

  Scenario scenario_;
  AdmissionSettings settings_;
  Chooser& chooser_;
  Log log_;
  Ms now_ = 14'400'000;
  std::vector<Step> next_steps_;
  std::size_t step_count_ = 0;
  int faults_left_ = 0;
  bool truncated_ = false;
  Coverage coverage_ = 0;
  std::map<std::uint64_t, std::size_t> attempts_written_;  // whole, of each request
  std::map<std::uint64_t, Ms> deadlines_;
  std::map<std::uint64_t, Ms> answered_at_;  // requests, by their clients
  rules::RuleMonitors monitors_;
  std::size_t violations_read_ = 0;
  std::optional<rules::Violation> violation_;
  engine::Digest policy_input_;  // all that the module has been told
  std::vector<HostEntry> hosts_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<Client> clients_;
  std::unique_ptr<Gateway> gateway_;
  std::uint64_t last_connection_id_ = 0;
  std::uint32_t incarnation_ = 0;  // of the gateway
  bool draining_clients_ = false;
  std::set<std::pair<std::uint64_t, std::uint64_t>> replied_;  // places at the front end
};

}  // namespace cometfold::explore
