// The external processor: a front end of the engine whose clients are proxies, and its way to the hosts, as
// the proxies carry the attempts out. One call of `Process` asks for one decision: the proxy sends the
// request where it says, or answers its client as it says, and tells how that ended.
//
// Its promises, whatever the proxies do:
//   - each call that asks gets one decision: a host, a refusal or a failure, at once;
//   - a request that may have gone out is given a host again only if its class allows it, and the module says
//   so;
//   - a decision that has not left here when its host drains is taken back and made anew;
//   - the end of each attempt reaches the module once, in the words of the proxy's report, or as 'not known'
//   if
//     the proxy goes away or stays silent: then nobody is blamed;
//   - nothing is kept of a request beyond its time, but for a bounded number of decisions, so that a call
//   which
//     comes again finds the first one.
// Pure: no I/O, no clock. Not safe for threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "engine/engine.h"
#include "extproc/mapper.h"
#include "extproc/messages.h"
#include "extproc/processor_settings.h"
#include "http2/grpc_server.h"

namespace cometfold::extproc {

// The one method's path.
constexpr std::string_view kProcess = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

// What it has done since its start, in calls.
struct Totals {
  std::uint64_t asked = 0;         // for a decision on a new request
  std::uint64_t again = 0;         // for one that was asked for before
  std::uint64_t named = 0;         // got a host
  std::uint64_t refused = 0;       // ... a refusal
  std::uint64_t failed = 0;        // ... a failure
  std::uint64_t rejected = 0;      // ... a complaint: the request can't be mapped
  std::uint64_t left = 0;          // went away before they had a decision
  std::uint64_t ended = 0;         // told how the attempt ended
  std::uint64_t unknown = 0;       // went away without telling
  std::uint64_t silent = 0;        // had not told when the time was up
  std::uint64_t elsewhere = 0;     // the proxy sent the request to another host
  std::uint64_t withdrawn = 0;     // decisions taken back before they left
  std::uint64_t out_of_order = 0;  // calls ended for a message that the protocol forbids there
  std::uint64_t unreadable = 0;    // ... or for one that is no message
  std::uint64_t observed = 0;      // calls that ask for nothing
};
std::string to_text(const Totals& totals);

class Processor : public engine::DownstreamHandler,
                  public engine::UpstreamTransport,
                  public http2::grpc::Service {
 public:
  // The engine must have this as one of its ways to the hosts (`Engine::add_upstream`). Throws SettingsError.
  Processor(engine::Engine& engine, Names names, Settings settings, std::uint64_t seed);
  ~Processor() override;

  // A host that may be named from now on, until the engine retires it. Before `Engine::on_host_list`.
  void add(HostId host, std::string endpoint);
  // Other settings and names for calls from now on; a class or plan must keep its number. Throws
  // SettingsError, and keeps what it has.
  void reload(Settings settings, Names names);

  // When `run_timers` has something to do; nothing if never.
  std::optional<Ms> next_due() const;
  void run_due(Ms now);

  const Totals& totals() const { return totals_; }
  std::size_t open() const { return records_.size(); }  // requests that something is still owed for
  std::size_t remembered() const { return over_.size(); }

  // http2::grpc::Service
  std::unique_ptr<http2::grpc::CallEvents> open(Ms now, http2::grpc::Call& call,
                                                http2::HeaderBlock headers) override;

 private:
  class Exchange;
  struct Record;
  struct Over;
  class Order;
  using RecordId = std::uint64_t;

  // engine::FrontEnd
  void on_served(Ms now, engine::ResponseHandle ticket, std::string_view value) override;
  void on_rejected(Ms now, engine::ResponseHandle ticket, Ms retry_after) override;
  void on_failed(Ms now, engine::ResponseHandle ticket, engine::FailureReason why) override;
  // engine::HostSide
  engine::StartResult start(Ms now, engine::AttemptId attempt, HostId host, const engine::Payload& payload,
                            Ms left) override;
  bool abandon(Ms now, engine::AttemptId attempt) override;
  bool withdraw(Ms now, engine::AttemptId attempt) override;
  bool awaits_first_byte(engine::AttemptId attempt) const override;
  void retire_host(Ms now, HostId host) override;

  // A decision as it is told and remembered.
  struct Verdict {
    enum Kind : std::uint8_t { kServed, kRefused, kFailed, kUnsent } kind = kFailed;
    int status = 503;
    int grpc_status = 14;
    Ms retry_after = 0;
    const char* details = "";
  };

  void ask(Ms now, Exchange& exchange, const Mapped& mapped);
  void ask_again(Ms now, Exchange& exchange, const Mapped& mapped);
  void ask_anew(Ms now, Exchange& exchange, const Mapped& mapped);
  void fetch(Ms now, Exchange& exchange, Record& record);
  void name_host(Ms now, Record& record);
  void tell(Exchange& exchange, const Verdict& verdict);
  void settle(Record& record, const Verdict& verdict);
  bool take_back(Record& record);
  void attempt_over(Record& record, bool went);
  void end_attempt(Ms now, Record& record, Outcome outcome, const LoadReport& load, bool last);
  void leave(Ms now, Exchange& exchange);
  void remember(Record& record, const Verdict& verdict);
  void forget_if_done(RecordId id);
  bool class_allows(const Record& record) const;
  bool may_come_again(const Record& record) const;
  bool allowed_unknown(const Mapped& mapped) const;
  Record* find(RecordId id);

  engine::Engine& engine_;
  std::shared_ptr<const Settings> settings_;
  std::shared_ptr<const Mapper> mapper_;
  Names names_;
  std::uint64_t seed_;
  Totals totals_;
  Message message_;  // that is being read: one at a time

  std::unordered_map<HostId, std::shared_ptr<const std::string>> hosts_;
  std::unordered_map<RecordId, Record> records_;
  std::unordered_map<engine::AttemptId, RecordId> attempts_;
  std::unordered_map<std::string, RecordId> by_id_;  // requests that are open, by the proxy's name for them
  // Those that are over, oldest first.
  std::list<Over> order_;
  std::unordered_map<std::string_view, std::list<Over>::iterator> over_;
  struct Offer {
    Ms until = 0;
    RecordId record = 0;
    engine::AttemptId attempt = 0;
  };
  std::deque<Offer> offers_;
  RecordId last_ = 0;
};

}  // namespace cometfold::extproc
