// One gateway's obligations, without I/O: the requests it has taken, the attempts out for each, their
// deadlines and what is still owed to whom. It drives the decision module and carries out what that decides.
//
// Its own promises, whatever the module does:
//   - each request taken gets one final answer at its front end, or none if its client has gone first;
//   - no attempt is begun, and none that waits is written, once that answer is out;
//   - each attempt ends once, and the module hears of each end once;
//   - a request is answered at its deadline at the latest, if `run_due` is called by `next_due`;
//   - a host that drains or is gone gets nothing new, from the moment `on_list` returns;
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
struct Ticket {
  std::uint64_t connection = 0;
  std::uint64_t place = 0;
};

// What a front end and the hosts' side know of a request and the engine does not. Kept until the request's
// last attempt has ended.
class Payload {
 public:
  virtual ~Payload() = default;
  virtual std::size_t bytes() const = 0;  // counted against Limits::bytes
};

// Why a request that was taken has failed.
enum class Failure : std::uint8_t {
  kGivenUp,   // the module's decision
  kTimedOut,  // its time was up
  kStopping,  // the gateway ends before it could be answered
  kInternal,  // the module threw and nothing is out that could still answer
};

// A front end: takes requests in and gives answers out. Exactly one of the three for each request taken whose
// client is still there, possibly before `Engine::take` returns. It must not call the engine from here.
class FrontEnd {
 public:
  virtual ~FrontEnd() = default;
  // `value` lasts until the call returns.
  virtual void served(Ms now, Ticket ticket, std::string_view value) = 0;
  // Nothing has run that a repeat could double. `retry_after`: milliseconds until a repeat may help; 0: not
  // known.
  virtual void refused(Ms now, Ticket ticket, Ms retry_after) = 0;
  virtual void failed(Ms now, Ticket ticket, Failure why) = 0;
  // A long value comes in pieces instead of `served`: begun, its pieces, ended. `failed` in their place says
  // that the rest does not come, and the client must be able to tell. False from `value_piece`: it is taken,
  // and no more is wanted until `Engine::on_room`.
  virtual void value_begun(Ms, Ticket, std::size_t) {}
  virtual bool value_piece(Ms, Ticket, std::string_view) { return true; }
  virtual void value_ended(Ms, Ticket) {}
  // Whether this request's client has ended its connection, though `Engine::gone` has not been called yet: a
  // process that was held up finds a client's end behind other news. Asked before an attempt begins.
  virtual bool client_left(Ticket) { return false; }
};

// Danger: what is short here must not be blamed on the host, which was asked for nothing.
enum class StartResult : std::uint8_t {
  kStarted,
  kNoHost,      // unknown, draining or gone
  kNoRoomHere,  // out of connections or descriptors
};

// The way to the hosts.
class HostSide {
 public:
  virtual ~HostSide() = default;
  // `left`: milliseconds that the attempt may take. Once started, exactly one `Engine::on_attempt_end` comes,
  // never from inside this call, unless the attempt is abandoned or withdrawn first.
  virtual StartResult start(Ms now, AttemptId attempt, HostId host, const Payload& payload, Ms left) = 0;
  // Nobody waits for this attempt any more; it may have run. No end comes for it. False: whether the host is
  // to blame for the silence is not known here.
  virtual bool abandon(Ms now, AttemptId attempt) = 0;
  // Abandons it if its last byte is not written yet, so that it never runs. False: it may run or has run.
  virtual bool withdraw(Ms now, AttemptId attempt) = 0;
  // Nothing new for this host. What waits for a connection to it ends; ends may be reported from inside.
  virtual void retire(Ms now, HostId host) = 0;
  // Of an attempt that is started: whether its first byte is still to be written. `Engine::may_write` must be
  // asked before it is.
  virtual bool waits(AttemptId) const { return false; }
  // `Engine::on_value_piece` has said no for this attempt, and now there is room.
  virtual void resume(Ms, AttemptId) {}
};

struct Limits {
  std::size_t open = 10'000;             // requests without their final answer
  std::size_t bytes = 24 * 1024 * 1024;  // of payloads held
  Ms margin = 20;                        // of a client's time, for the way here and back
  Ms settle_within = 3450;               // after `stop`, all that was taken is answered
};

// A request as a front end has read it. `request.id` and `request.expires_at` are set by the engine.
struct Ask {
  Request request;
  Ms wait = 0;                 // what its client waits in all, from now
  std::uint64_t identity = 0;  // as the hosts know it; two open requests never share one
  std::unique_ptr<Payload> payload;
  HostSide* hosts = nullptr;  // that carries out its attempts; null: the one the engine was made with
};

enum class Taken : std::uint8_t {
  kYes,         // an answer follows or has been given
  kSameId,      // another open request has this identity: nothing done
  kNoRoom,      // Limits: nothing done
  kClientLeft,  // its client is not there any more: nothing done, and no answer is owed
};

// Requests refused or given up since the start, by the module's reasons; those that found no room here.
struct CauseFigures {
  std::array<std::uint64_t, kCauses> by_cause{};
  std::uint64_t no_room_here = 0;
};

// What the rules had to stop, by verdict. A decision that they stopped is a fault of the module's; a first
// byte is a crossing, which went back to the module as never sent, and so is a client that has just left.
struct RuleFigures {
  std::array<std::uint64_t, kSendVerdicts> decisions{}, first_bytes{};
  std::uint64_t refusals = 0;  // turned into failures, as an attempt may have run
};

// How attempts ended, by outcome, and those that were not a request's first.
struct AttemptFigures {
  std::array<std::uint64_t, kOutcomes> ends{};
  std::uint64_t repeats = 0;
};

// Counts since the start, of one class.
struct ClassFigures {
  std::uint64_t passed = 0;   // served
  std::uint64_t dropped = 0;  // refused
  std::uint64_t failed = 0;
  std::uint64_t tries = 0;  // attempts written whole to hosts
};

// A step of one request, for a log of them.
struct Transition {
  enum What : std::uint8_t { kTaken, kSent, kFirstByte, kWritten, kEnded, kServed, kRefused, kFailed, kGone };
  What what = kTaken;
  Ms at = 0;
  RequestId request = 0;
  std::uint64_t identity = 0;       // as clients and hosts know it
  Ticket ticket = {};               // kTaken
  Ms left = 0;                      // kTaken, kSent, kFirstByte: milliseconds until the time is up
  AttemptId attempt = 0;            // kSent to kEnded
  HostId host = 0;                  // ... and where it goes
  Outcome outcome = Outcome::kOk;   // kEnded
  std::optional<Cause> cause = {};  // kRefused, kFailed by the module
  SendVerdict stopped = SendVerdict::kAllowed;  // kEnded before its first byte, by the rules
};

class Engine : private Actions {
 public:
  using Trace = std::function<void(const Transition&)>;
  using Note = std::function<void(std::string_view what, std::string_view detail)>;

  Engine(Module& module, HostSide& hosts, const Limits& limits, Note note);

  // One more way to the hosts, for requests that name it. It must outlast the engine.
  void add_hosts(HostSide& hosts) { all_hosts_.push_back(&hosts); }
  void start(Ms now);
  // The list's news. Hosts that became ready must be known to the hosts' side before; those that did not stay
  // ready are retired here.
  void on_list(Ms now, ListKind kind, std::span<const HostEntry> entries);

  // `name` is set with kYes: what to name in `gone`; 0 if the request is done with already.
  Taken take(Ms now, FrontEnd& front, Ticket ticket, Ask ask, RequestId& name);
  // The client has gone and no answer is owed any more. Unknown and finished names are allowed.
  void gone(Ms now, RequestId name);

  // The one end of an attempt that was started. `value` with kOk only.
  void on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                      const LoadReport& load);

  // A long value of an attempt: it begins, its pieces; its end is `on_attempt_end`. From its beginning on the
  // request has its answer in all but the rest: no other attempt is made or heard, its time is no bound any
  // more (whoever carries the bytes must end what stands still), and no refusal can follow. False: not now,
  // `HostSide::resume` tells.
  void on_value_begun(Ms now, AttemptId attempt, std::size_t size);
  bool on_value_piece(Ms now, AttemptId attempt, std::string_view bytes);
  // The client has room again for the value of this request.
  void on_room(Ms now, RequestId name);

  // The same where the client has its answer already, whatever the outcome: nothing is answered here any
  // more, and no further attempt is made.
  void on_last_end(Ms now, AttemptId attempt, Outcome outcome, const LoadReport& load);

  // When `run_due` has something to do; nothing if never. May change with every call.
  std::optional<Ms> next_due();
  void run_due(Ms now);

  // A planned stop: what is taken from now on is answered within `Limits::settle_within`.
  void stop(Ms now);
  std::optional<Ms> settle_at() const { return stop_at_; }
  // Answers all that is open as failed. A failure promises nothing, so it is lawful for every class and
  // whatever has run.
  void settle_all(Ms now);

  // The last byte of an attempt is written. Only counts, so it may come from inside `HostSide::start`.
  void on_written(AttemptId attempt);
  // Whether bytes of an attempt that waited may be written now: its first one, or with `begun` the rest. What
  // the attempt may still take, in milliseconds, or nothing: then the host's side must end it as kNotSent.
  // Asks the module nothing.
  std::optional<Ms> may_write(Ms now, AttemptId attempt, bool begun);
  // By class number; a class that never had a request may be missing.
  const std::vector<ClassFigures>& figures() const { return figures_; }
  const CauseFigures& causes() const { return causes_; }
  const RuleFigures& rules() const { return rule_figures_; }
  const AttemptFigures& attempts() const { return attempt_figures_; }
  // The classes' terms and the site's bounds that attempts and refusals are held to, for requests that come
  // from now on. Without them only time, answers and the list of hosts bind.
  void set_rules(const Settings& settings) { settings_ = settings; }
  // Told of each step of each request, from inside the engine's calls: it must not call back.
  void set_trace(Trace trace) { trace_ = std::move(trace); }
  // New bounds, for what is taken from now on.
  void set_limits(const Limits& limits) { limits_ = limits; }

  std::size_t owed() const { return owed_; }          // requests without their final answer
  std::size_t held() const { return asked_.size(); }  // and those with attempts still out
  std::size_t held_bytes() const { return held_bytes_; }
  std::size_t timers() const { return timers_.size(); }
  void digest(Digest& into) const;

 private:
  struct Try {
    AttemptId id = 0;
    HostId host = 0;
    Ms sent = 0;
    Ms until = 0;
    bool out = true;
    HostPlace place = {};  // of the host at the decision
    Ms started_at = 0;     // of the host's process that it was decided on
    bool may_have_run = true;
    bool waits = false;              // no byte of it is written yet
    Outcome outcome = Outcome::kOk;  // once it is not out any more
  };
  struct Listed {
    Ms started_at = 0;
    HostPlace place;
  };
  struct Asked {
    FrontEnd* front = nullptr;
    HostSide* hosts = nullptr;
    Ticket ticket;
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
  void refuse(RequestId request, Ms retry_after, Cause why) override;
  void fail(RequestId request, Cause why) override;
  void wake(Ms after, std::uint64_t token) override;
  void probe(HostId) override {}  // ruled out: the settings never allow it
  void follow_list() override {}  // the list is always followed, and comes back by itself
  void fetch_list() override {}
  void note(std::string_view text) override;

  template <class Call>
  void consult(RequestId about, Call&& call);
  using Counter = std::uint64_t ClassFigures::*;
  // `counter`: what this answer counts as, or null for none.
  template <class Answer>
  void settle(RequestId id, Counter counter, Answer&& answer);
  ClassFigures& figures_of(std::uint32_t class_index);
  void give_up(RequestId request, Cause why);
  void learn_hosts(ListKind kind, std::span<const HostEntry> entries);
  SendVerdict may_repeat(const Asked& r, std::uint32_t attempt) const;
  SendVerdict may_begin(const Asked& r, std::uint32_t attempt) const;
  bool client_left(const Asked& r) const { return !r.answered && r.front->client_left(r.ticket); }
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

  Module& module_;
  std::vector<HostSide*> all_hosts_;  // the first is the one that is used if none is named
  Limits limits_;
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
  void trace(Transition::What what, const Asked& r, RequestId id, const Try* attempt = nullptr,
             SendVerdict stopped = SendVerdict::kAllowed) const;

  Trace trace_;
  std::optional<Cause> giving_up_;  // why, while the answer is settled
  std::optional<Settings> settings_;
  std::unordered_map<HostId, Listed> listed_;  // hosts that take new requests
  CauseFigures causes_;
  RuleFigures rule_figures_;
  AttemptFigures attempt_figures_;
  std::vector<ClassFigures> figures_;  // bounded by the classes that the front ends know
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::optional<Ms> stop_at_;
};

}  // namespace cometfold::engine
