// The system that the model checker explores: the real engine, host pool, client connections and RESP2 front
// end of one gateway, with simulated clients, hosts, streams and time. The chooser makes every
// nondeterministic choice.
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
#include "resp/client_connection.h"
#include "resp/host_pool.h"
#include "resp/resp_handler.h"
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

  // Plays one event that the chooser selects. False if no event is possible, a rule is violated or the run is
  // at `Scenario::max_events`.
  bool step();
  // The first violation of a rule or of a guarantee of the engine.
  const std::optional<rules::Violation>& violation() const { return violation_; }
  bool truncated() const { return truncated_; }  // ended by `Scenario::max_events`
  // A hash that identifies the state.
  std::uint64_t fingerprint() const;
  Coverage coverage() const { return coverage_; }

 private:
  class SimulatedStream;
  class ArbitraryPolicy;
  class RecordingPolicy;
  struct Connection;
  struct Client;
  struct Gateway;
  // How a host may respond to a complete request.
  enum ReplyKind : std::size_t {
    kValidReply,
    kErrorReply,
    kBusyReply,
    kMalformedReply,
    kMalformedReplyAndMore,
    kValidReplyAndMore,
    kCloseWithoutReply,
    kTruncatedReply
  };
  // What may happen to host 1 on the host list.
  enum HostChange : std::size_t { kHostDrains, kHostRestarted, kHostRemoved, kHostReplaced };
  // A possible next event. In `label`, {c} stands for the connection, {r} for its request, {h} for its host
  // and {n} for `number`.
  struct Step {
    const char* label;
    bool is_fault;
    void (World::*apply)(const Step&);
    Connection* connection = nullptr;
    std::size_t number = 0;  // of the request or client from 1, or a ReplyKind or HostChange
    std::size_t client = 0;
  };

  // resp::Dialer
  std::unique_ptr<resp::Stream> dial(const resp::Address& address, Ms timeout,
                                     resp::StreamCallbacks& callbacks) override;
  bool free_descriptor() override { return false; }
  // resp::HostPoolCallbacks
  void on_attempt_end(Ms now, engine::AttemptId attempt, Outcome outcome, std::string_view value,
                      std::string_view report) override;
  std::optional<Ms> may_write(Ms now, engine::AttemptId attempt, bool begun) override;
  // resp::ClientConnectionCallbacks, resp::ReplySink
  resp::CommandResult on_command(Ms now, resp::ResponseHandle response, std::span<const resp::Item> words,
                                 const resp::CommandArrival& arrival) override;
  void on_reply_pending(std::uint64_t identity) override;
  void on_reply_flushed(std::uint64_t identity) override;
  void on_client_disconnected(Ms now, std::uint64_t request_id) override;
  void on_closed(std::uint64_t connection) override;
  void send_reply(Ms now, resp::ResponseHandle response, std::string_view reply) override;
  void send_error(Ms now, resp::ResponseHandle response, std::string_view error) override;
  // The simulated hosts send short values only, which are not streamed.
  void start_value(Ms, resp::ResponseHandle, std::size_t,
                   const std::optional<engine::CompletionBound>&) override {
    report_violation("the explorer", "a value was streamed to the client");
  }
  bool append_value(Ms, resp::ResponseHandle, std::string_view) override { return true; }
  void finish_value(Ms, resp::ResponseHandle) override {}

  void start_gateway();
  void update_hosts(HostListUpdate kind, std::vector<HostEntry> entries);
  void collect_steps(std::vector<Step>& steps);
  void collect_client_steps(std::vector<Step>& steps);
  void collect_connection_steps(std::vector<Step>& steps);
  void collect_steps_of(std::vector<Step>& steps, Connection* connection);
  void collect_reply_steps(std::vector<Step>& steps, Connection* connection);
  void collect_host_list_steps(std::vector<Step>& steps);
  void collect_timer_steps(std::vector<Step>& steps);
  std::string label(const Step& step) const;

  // The effects of the steps.
  void send_request(const Step& step);
  void close_client(const Step& step);
  void run_posted(const Step& step);
  void make_writable(const Step& step);
  void complete_connect(const Step& step);
  void fail_connect(const Step& step);
  void stall_peer(const Step& step);
  void read_connection(const Step& step);
  void send_extra_bytes(const Step& step);
  void close_by_host(const Step& step);
  void reply_by_host(const Step& step);
  void change_host(const Step& step);
  void reload_list(const Step& step);
  void crash_gateway(const Step& step);
  void begin_shutdown(const Step& step);
  void drain_clients(const Step& step);
  void fail_remaining(const Step& step);
  void run_timers(const Step& step);
  void advance_time(const Step& step);

  void connect_client(std::size_t client_index);
  void deliver(Connection& connection, const std::string& bytes);
  void close_by_peer(Connection& connection);
  void receive_at_host(Connection& connection);
  void receive_at_client(Connection& connection);
  void end_attempt(Connection& connection, bool never_executed);
  bool has_open_requests() const;
  bool has_immediate_event() const;  // one that occurs before time passes
  std::optional<Ms> next_time() const;
  void check_end_state();
  void check_monitors();
  void receive_reply(Client& client, const resp::Frame& frame);
  bool id_of_first_request_in_use() const;
  void cover_host_change(HostChange change);
  void report(rules::Event event);
  void cover(CoverageGoal goal, bool reached = true);
  std::size_t attempts_of(std::uint64_t request) const;
  bool hedged_attempt_in_flight() const;
  void report_violation(const std::string& rule, const std::string& description);
  void log(const std::string& text);

  Scenario scenario_;
  AdmissionSettings settings_;
  Chooser& chooser_;
  Log log_;
  Ms now_ = 14'400'000;  // far from zero, as a real clock is
  std::vector<Step> next_steps_;
  std::size_t step_count_ = 0;
  int faults_left_ = 0;
  bool truncated_ = false;
  Coverage coverage_ = 0;
  std::map<std::uint64_t, std::size_t> attempts_written_;  // complete ones, by request
  std::map<std::uint64_t, Ms> deadlines_;
  std::map<std::uint64_t, Ms> answered_at_;  // when the reply reached the client
  rules::RuleMonitors monitors_;
  std::size_t violations_read_ = 0;
  std::optional<rules::Violation> violation_;
  engine::Digest policy_input_;  // of all calls to the policy since the gateway's start
  std::vector<HostEntry> hosts_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<Client> clients_;
  std::unique_ptr<Gateway> gateway_;
  std::uint64_t last_connection_id_ = 0;
  std::uint32_t incarnation_ = 0;  // of the gateway
  bool draining_clients_ = false;
  std::set<std::pair<std::uint64_t, std::uint64_t>>
      replied_;  // connection and sequence of each reply delivered
};

}  // namespace cometfold::explore
