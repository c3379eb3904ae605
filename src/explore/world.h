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
#include "explore/scenario.h"
#include "resp/client_connection.h"
#include "resp/host_pool.h"
#include "resp/resp_handler.h"
#include "rules/rules.h"

namespace cometfold::explore {

// What a run has been through, to tell whether a scenario reaches what it is for.
enum class Sight : std::uint8_t {
  kSecondCopyOut,
  kThirdAttempt,
  kAnswerAfterRetry,
  kLossBeforeRetry,
  kDrainWhileWaiting,
  kDrainDuringResend,
  kReplacedWhileWaiting,
  kAnswerAtDeadline,
  kDeadlineBeforeAnswer,
  kGoneWithAttemptOut,
  kGoneAfterAnswerAtOnce,
  kStopWithSecondCopy,
  kCrashWithAttemptOut,
  kIdUsedAgain,
  kModuleThrew,
  kSentAfterEnd,
  kCount
};
const char* name_of(Sight sight);
using Sights = std::uint32_t;

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
  const std::optional<rules::Violation>& breach() const { return breach_; }
  bool cut_off() const { return cut_off_; }  // the depth ended it, not the world
  std::uint64_t fingerprint() const;
  Sights sights() const { return sights_; }

 private:
  class SimStream;
  class AnyModule;
  class TapModule;
  struct Conn;
  struct Client;
  struct Node;  // the gateway: all that a crash takes with it
  enum Reply : std::size_t;
  enum Change : std::size_t;
  // Something that can happen next. `text` names it, with {c} for the connection, {r} for its request, {h}
  // for its host and {n} for `n`.
  struct Option {
    const char* text;
    bool fault;
    void (World::*act)(const Option&);
    Conn* conn = nullptr;
    std::size_t n = 0;
    std::size_t k = 0;
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
    complain("the explorer", "a long value");
  }
  bool append_value(Ms, resp::ResponseHandle, std::string_view) override { return true; }
  void finish_value(Ms, resp::ResponseHandle) override {}

  void begin();
  void list(HostListUpdate kind, std::vector<HostEntry> entries);
  void options(std::vector<Option>& all);
  void client_options(std::vector<Option>& all);
  void host_options(std::vector<Option>& all);
  void answer_options(std::vector<Option>& all, Conn* conn);
  void list_options(std::vector<Option>& all);
  void time_options(std::vector<Option>& all);
  std::string label(const Option& option) const;

  // What options do.
  void client_sends(const Option& o);
  void client_closes(const Option& o);
  void loop_comes_back(const Option& o);
  void room_to_write(const Option& o);
  void comes_up(const Option& o);
  void never_up(const Option& o);
  void stalls(const Option& o);
  void loop_reads(const Option& o);
  void noise_arrives(const Option& o);
  void host_closes(const Option& o);
  void host_answers(const Option& o);
  void list_changes(const Option& o);
  void reloads(const Option& o);
  void crashes(const Option& o);
  void stop_begins(const Option& o);
  void stop_winds_down(const Option& o);
  void stop_settles(const Option& o);
  void timers_run(const Option& o);
  void time_passes(const Option& o);

  void connect_client(std::size_t i);
  void deliver(Conn& conn, const std::string& bytes);
  void end_stream(Conn& conn);
  void host_reads(Conn& conn);
  void client_reads(Conn& conn);
  void over(Conn& conn, bool never_ran);
  bool anything_open() const;
  bool anything_prompt() const;
  std::optional<Ms> next_time() const;
  void final_checks();
  void report(rules::Event event);
  void saw(Sight sight, bool when = true);
  std::size_t sends_of(std::uint64_t request) const;
  bool copies_out() const;
  void complain(const std::string& rule, const std::string& why);
  void say(const std::string& text);

  Scenario scenario_;
  AdmissionSettings settings_;
  Chooser& chooser_;
  Log log_;
  Ms now_ = 14'400'000;
  std::vector<Option> options_;
  std::size_t steps_ = 0;
  int faults_left_ = 0;
  bool cut_off_ = false;
  Sights sights_ = 0;
  std::map<std::uint64_t, std::size_t> sends_;  // whole, of each request
  std::map<std::uint64_t, Ms> expires_;
  std::map<std::uint64_t, Ms> answered_at_;  // requests, by their clients
  rules::RuleMonitors rules_;
  std::size_t breaches_seen_ = 0;
  std::optional<rules::Violation> breach_;
  engine::Digest told_;  // all that the module has been told
  std::vector<HostEntry> listed_;
  std::vector<std::shared_ptr<Conn>> conns_;
  std::vector<Client> clients_;
  std::unique_ptr<Node> node_;
  std::uint64_t last_conn_ = 0;
  std::uint32_t life_ = 0;  // of the gateway
  bool winding_down_ = false;
  std::set<std::pair<std::uint64_t, std::uint64_t>> answered_;  // places at the front end
};

}  // namespace cometfold::explore
