// One gateway's obligations, without I/O: the requests it has taken, the attempts out for each, their
// deadlines and what is still owed to whom. It drives the decision module and carries out what that decides.
//
// Its own promises, whatever the module does:
//   - each request taken gets one final answer at its front end, or none if its client has gone first;
//   - no attempt is begun, and none that waits is written, once that answer is out;
//   - each attempt ends once, and the module hears of each end once;
//   - a request is answered at its deadline at the latest, if `run_timers` is called by `next_due`;
//   - a host that drains or is gone gets nothing new, from the moment `on_host_list` returns;
//   - memory is bounded by `Limits` and the attempts that the module asks for.
// It decides neither which host, nor whether to retry, nor what to refuse, but for want of room here.
//
// Time comes in with every call and never goes back. No call may be made from inside a call that the engine
// makes outward, except where stated. Not safe for threads.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cometfold/admission_controller.h"
#include "cometfold/attempt_rules.h"
#include "engine/digest.h"
#include "engine/module.h"

namespace cometfold::engine {

using AttemptId = std::uint64_t;

// A front end's own words for where an answer goes; handed back as they came.
struct ResponseHandle {
  std::uint64_t connection = 0;
  std::uint64_t sequence = 0;
};

// What a front end and the hosts' side know of a request and the engine does not. Kept until the request's
// last attempt has ended.
class Payload {
 public:
  virtual ~Payload() = default;
  virtual std::size_t bytes() const = 0;  // counted against Limits::bytes
};

// Why a request that was taken has failed.
enum class FailureReason : std::uint8_t {
  kPolicy,        // the module's decision
  kTimedOut,      // its time was up
  kShuttingDown,  // the gateway ends before it could be answered
  kInternal,      // the module threw and nothing is out that could still answer
};

// A front end: takes requests in and gives answers out. Exactly one of the three for each request taken whose
// client is still there, possibly before `Engine::accept` returns. It must not call the engine from here.
class DownstreamHandler {
 public:
  virtual ~DownstreamHandler() = default;
  // `max_value_bytes` lasts until the call returns.
  virtual void on_served(Ms now, ResponseHandle ticket, std::string_view value) = 0;
  // Nothing has run that a repeat could double. `retry_after_allowed`: milliseconds until a repeat may help;
  // 0: not known.
  virtual void on_rejected(Ms now, ResponseHandle ticket, Ms retry_after) = 0;
  virtual void on_failed(Ms now, ResponseHandle ticket, FailureReason why) = 0;
  // A long value comes in pieces instead of `on_served`: begun, its pieces, ended. `on_failed` in their place
  // says that the rest does not come, and the client must be able to tell. False from `on_value_chunk`: it is
  // taken, and no more is wanted until `Engine::on_client_writable`.
  virtual void on_value_started(Ms, ResponseHandle, std::size_t) {}
  virtual bool on_value_chunk(Ms, ResponseHandle, std::string_view) { return true; }
  virtual void on_value_finished(Ms, ResponseHandle) {}
  // Whether this request's client has ended its connection, though `Engine::on_client_disconnected` has not
  // been called yet: a process that was held up finds a client's end behind other news. Asked before an
  // attempt begins.
  virtual bool client_disconnected(ResponseHandle) { return false; }
};

// Danger: what is short here must not be blamed on the host, which was asked for nothing.
enum class StartResult : std::uint8_t {
  kStarted,
  kHostUnavailable,  // unknown, draining or gone
  kNoLocalCapacity,  // out of connections or descriptors
};

// The way to the hosts.
class UpstreamTransport {
 public:
  virtual ~UpstreamTransport() = default;
  // `remaining_ms`: milliseconds that the attempt may take. Once started, exactly one
  // `Engine::on_attempt_end` comes, never from inside this call, unless the attempt is abandoned or withdrawn
  // first.
  virtual StartResult start(Ms now, AttemptId attempt, HostId host, const Payload& payload, Ms left) = 0;
  // Nobody waits for this attempt any more; it may have run. No end comes for it. False: whether the host is
  // to blame for the silence is not known here.
  virtual bool abandon(Ms now, AttemptId attempt) = 0;
  // Abandons it if its last byte is not written yet, so that it never runs. False: it may run or has run.
  virtual bool withdraw(Ms now, AttemptId attempt) = 0;
  // Nothing new for this host. What waits for a connection to it ends; ends may be reported from inside.
  virtual void retire_host(Ms now, HostId host) = 0;
  // Of an attempt that is started: whether its first byte is still to be written. `Engine::may_write` must be
  // asked before it is.
  virtual bool awaits_first_byte(AttemptId) const { return false; }
  // `Engine::on_value_chunk` has said no for this attempt, and now there is room.
  virtual void resume(Ms, AttemptId) {}
};

struct EngineLimits {
  std::size_t max_open_requests = 10'000;            // requests without their final answer
  std::size_t max_payload_bytes = 24 * 1024 * 1024;  // of payloads held
  Ms deadline_margin_ms = 20;                        // of a client's time, for the way here and back
  Ms shutdown_timeout_ms = 3450;                     // after `begin_shutdown`, all that was taken is answered
};

// A request as a front end has read it. `request.id` and `request.expires_at` are set by the engine.
struct IncomingRequest {
  Request request;
  Ms timeout_ms = 0;           // what its client waits in all, from now
  std::uint64_t identity = 0;  // as the hosts know it; two open requests never share one
  std::unique_ptr<Payload> payload;
  UpstreamTransport* upstream =
      nullptr;  // that carries out its attempts; null: the one the engine was made with
};

enum class AcceptResult : std::uint8_t {
  kAccepted,            // an answer follows or has been given
  kDuplicateIdentity,   // another open request has this identity: nothing done
  kNoCapacity,          // Limits: nothing done
  kClientDisconnected,  // its client is not there any more: nothing done, and no answer is owed
};

// Requests refused or given up since the start, by the module's reasons; those that found no room here.
struct RejectionMetrics {
  std::array<std::uint64_t, kRejectionReasonCount> by_reason{};
  std::uint64_t no_capacity = 0;
};

// What the rules had to stop, by verdict. A decision that they stopped is a fault of the module's; a first
// byte is a crossing, which went back to the module as never sent, and so is a client that has just left.
struct RuleMetrics {
  std::array<std::uint64_t, kAttemptVerdictCount> decisions{}, first_bytes{};
  std::uint64_t rejections = 0;  // turned into failures, as an attempt may have run
};

// How attempts ended, by outcome, and those that were not a request's first.
struct AttemptMetrics {
  std::array<std::uint64_t, kOutcomeCount> by_outcome{};
  std::uint64_t retries = 0;
};

// Counts since the start, of one class.
struct ClassMetrics {
  std::uint64_t served = 0;    // served
  std::uint64_t rejected = 0;  // refused
  std::uint64_t failed = 0;
  std::uint64_t attempts = 0;  // attempts written whole to hosts
};

// A step of one request, for a log of them.
struct RequestEvent {
  enum Kind : std::uint8_t {
    kAccepted,
    kSent,
    kFirstByte,
    kWritten,
    kEnded,
    kServed,
    kRejected,
    kFailed,
    kClientDisconnected
  };
  Kind kind = kAccepted;
  Ms at = 0;
  RequestId request = 0;
  std::uint64_t identity = 0;                  // as clients and hosts know it
  ResponseHandle ticket = {};                  // kTaken
  Ms remaining_ms = 0;                         // kTaken, kSent, kFirstByte: milliseconds until the time is up
  AttemptId attempt = 0;                       // kSent to kEnded
  HostId host = 0;                             // ... and where it goes
  Outcome outcome = Outcome::kOk;              // kEnded
  std::optional<RejectionReason> reason = {};  // kRefused, kFailed by the module
  AttemptVerdict verdict = AttemptVerdict::kAllowed;  // kEnded before its first byte, by the rules
};

class Engine : private ActionSink {
 public:
  using Trace = std::function<void(const RequestEvent&)>;
  using Note = std::function<void(std::string_view what, std::string_view detail)>;

  Engine(AdmissionPolicy& module, UpstreamTransport& hosts, const EngineLimits& limits, Note note);

  // One more way to the hosts, for requests that name it. It must outlast the engine.
  void add_upstream(UpstreamTransport& hosts) { all_hosts_.push_back(&hosts); }
  void start(Ms now);
  // The list's news. Hosts that became ready must be known to the hosts' side before; those that did not stay
  // ready are retired here.
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries);

  // `request_id` is set with kYes: what to name in `gone`; 0 if the request is done with already.
  AcceptResult accept(Ms now, DownstreamHandler& front, ResponseHandle ticket, IncomingRequest ask,
                      RequestId& name);
  // The client has gone and no answer is owed any more. Unknown and finished names are allowed.
  void on_client_disconnected(Ms now, RequestId name);

  // The one end of an attempt that was started. `max_value_bytes` with kOk only.
  void on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                      const LoadReport& load);

  // A long value of an attempt: it begins, its pieces; its end is `on_attempt_end`. From its beginning on the
  // request has its answer in all but the rest: no other attempt is made or heard, its time is no bound any
  // more (whoever carries the bytes must end what stands still), and no refusal can follow. False: not now,
  // `UpstreamTransport::resume` tells.
  void on_value_started(Ms now, AttemptId attempt, std::size_t size);
  bool on_value_chunk(Ms now, AttemptId attempt, std::string_view bytes);
  // The client has room again for the value of this request.
  void on_client_writable(Ms now, RequestId name);

  // The same where the client has its answer already, whatever the outcome: nothing is answered here any
  // more, and no further attempt is made.
  void on_final_attempt_end(Ms now, AttemptId attempt, Outcome outcome, const LoadReport& load);

  // When `run_timers` has something to do; nothing if never. May change with every call.
  std::optional<Ms> next_timer();
  void run_timers(Ms now);

  // A planned stop: what is taken from now on is answered within `Limits::shutdown_timeout_ms`.
  void begin_shutdown(Ms now);
  std::optional<Ms> shutdown_deadline() const { return stop_at_; }
  // Answers all that is open as failed. A failure promises nothing, so it is lawful for every class and
  // whatever has run.
  void fail_all(Ms now);

  // The last byte of an attempt is written. Only counts, so it may come from inside
  // `UpstreamTransport::start`.
  void on_written(AttemptId attempt);
  // Whether bytes of an attempt that waited may be written now: its first one, or with `begun` the rest. What
  // the attempt may still take, in milliseconds, or nothing: then the host's side must end it as kNotSent.
  // Asks the module nothing.
  std::optional<Ms> may_write(Ms now, AttemptId attempt, bool begun);
  // By class number; a class that never had a request may be missing.
  const std::vector<ClassMetrics>& class_metrics() const { return figures_; }
  const RejectionMetrics& rejection_metrics() const { return causes_; }
  const RuleMetrics& rule_metrics() const { return rule_figures_; }
  const AttemptMetrics& attempt_metrics() const { return attempt_figures_; }
  // The classes' terms and the site's bounds that attempts and refusals are held to, for requests that come
  // from now on. Without them only time, answers and the list of hosts bind.
  void set_rules(const AdmissionSettings& settings) { settings_ = settings; }
  // Told of each step of each request, from inside the engine's calls: it must not call back.
  void set_trace(Trace trace) { trace_ = std::move(trace); }
  // New bounds, for what is taken from now on.
  void set_limits(const EngineLimits& limits) { limits_ = limits; }

  std::size_t unanswered_count() const { return owed_; }    // requests without their final answer
  std::size_t open_count() const { return asked_.size(); }  // and those with attempts still out
  std::size_t payload_bytes() const { return held_bytes_; }
  std::size_t timer_count() const { return timers_.size(); }
  void digest(Digest& into) const;

 private:
  struct Try {
    AttemptId id = 0;
    HostId host = 0;
    Ms sent = 0;
    Ms until = 0;
    bool out = true;
    HostLocation place = {};  // of the host at the decision
    Ms started_at = 0;        // of the host's process that it was decided on
    bool may_have_run = true;
    bool waits = false;              // no byte of it is written yet
    Outcome outcome = Outcome::kOk;  // once it is not out any more
  };
  struct Listed {
    Ms started_at = 0;
    HostLocation place;
  };
  struct Asked {
    DownstreamHandler* front = nullptr;
    UpstreamTransport* hosts = nullptr;
    ResponseHandle ticket;
    std::unique_ptr<Payload> payload;
    Ms expires_at = 0;
    std::uint64_t identity = 0;
    std::uint32_t class_index = 0;
    std::optional<ClassSettings> terms;    // that it is held to; none: not known
    bool answered = false;                 // nothing is owed any more
    std::optional<std::uint32_t> passing;  // the attempt whose long value is being passed on
    std::vector<Try> tries;
    std::size_t out = 0;
    std::size_t untold = 0;  // ends that the module has not heard of
  };
  struct Timer {
    Ms at = 0;
    enum Kind : std::uint8_t { kModule, kExpiry } kind = kModule;
    std::uint64_t token = 0;
    bool operator>(const Timer& o) const { return at > o.at; }
  };
  struct End {  // of an attempt, that the module has not been told of yet
    RequestId request = 0;
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::kError;
    LoadReport load;
  };

  // Actions
  void send(RequestId request, HostId host, Ms give_up_after) override;
  void cancel(RequestId request, std::uint32_t attempt) override;
  void reject(RequestId request, Ms retry_after, RejectionReason why) override;
  void fail(RequestId request, RejectionReason why) override;
  void schedule_timer(Ms after, std::uint64_t token) override;
  void send_health_check(HostId) override {}  // ruled out: the settings never allow it
  void watch_hosts() override {}              // the list is always followed, and comes back by itself
  void poll_hosts() override {}
  void log(std::string_view text) override;

  template <class Call>
  void consult(RequestId about, Call&& call);
  using Counter = std::uint64_t ClassMetrics::*;
  // `counter`: what this answer counts as, or null for none.
  template <class Answer>
  void settle(RequestId id, Counter counter, Answer&& answer);
  ClassMetrics& figures_of(std::uint32_t class_index);
  void give_up(RequestId request, RejectionReason why);
  void learn_hosts(HostListUpdate kind, std::span<const HostEntry> entries);
  AttemptVerdict may_repeat(const Asked& r, std::uint32_t attempt) const;
  AttemptVerdict may_begin(const Asked& r, std::uint32_t attempt) const;
  bool client_left(const Asked& r) const { return !r.answered && r.front->client_disconnected(r.ticket); }
  void end_try(RequestId id, std::uint32_t attempt, Outcome outcome, const LoadReport& load);
  void after_module();
  void tell_ends();
  void withdraw_waiting(RequestId id);
  void fail_if_stranded(RequestId id);
  bool passing(RequestId request) const;
  void resume(const Asked& r);
  void end_value(RequestId request, Outcome outcome);
  void expire(RequestId id);
  void forget_if_done(RequestId id);
  void drop_dead_timers();

  AdmissionPolicy& module_;
  std::vector<UpstreamTransport*> all_hosts_;  // the first is the one that is used if none is named
  EngineLimits limits_;
  Note note_;
  Ms now_ = 0;  // of the call that is being served

  std::unordered_map<RequestId, Asked> asked_;
  std::unordered_set<std::uint64_t> open_identities_;
  std::unordered_map<AttemptId, std::pair<RequestId, std::uint32_t>> tries_;
  std::deque<End> ends_;
  std::vector<RequestId> settled_;  // in this call: what waits for them is withdrawn at its end
  std::vector<RequestId> faulted_;  // the module threw when asked about them
  bool in_module_ = false, finishing_ = false;
  bool threw_ = false;  // the module, when it was last asked
  RequestId last_request_ = 0;
  AttemptId last_attempt_ = 0;
  std::size_t held_bytes_ = 0;
  std::size_t owed_ = 0;
  void trace(RequestEvent::Kind what, const Asked& r, RequestId id, const Try* attempt = nullptr,
             AttemptVerdict stopped = AttemptVerdict::kAllowed) const;

  Trace trace_;
  std::optional<RejectionReason> giving_up_;  // why, while the answer is settled
  std::optional<AdmissionSettings> settings_;
  std::unordered_map<HostId, Listed> listed_;  // hosts that take new requests
  RejectionMetrics causes_;
  RuleMetrics rule_figures_;
  AttemptMetrics attempt_figures_;
  std::vector<ClassMetrics> figures_;  // bounded by the classes that the front ends know
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::optional<Ms> stop_at_;
};

}  // namespace cometfold::engine
