// The interface of cometfold's decision module: settings, events, actions.
// The module does no I/O and reads no clock: time comes in with each event, randomness from a seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cometfold {

using Ms = double;  // milliseconds; no particular origin
using RequestId = std::uint64_t;
using HostId = std::uint32_t;
using CustomerId = std::uint64_t;

enum class Repeat : std::uint8_t { kSafe, kKeyed, kUnsafe };
enum class KeyGroup : std::uint8_t { kNone, kAll, kZone, kCell };

struct ClassSettings {
  Ms aim_ms = 0;       // an answer within this time earns its worth; 0: the deadline
  Ms deadline_ms = 0;  // what a client waits in all
  double worth = 1;
  double late_share = 0;  // part of the worth earned between aim and deadline
  Repeat repeat = Repeat::kUnsafe;
  KeyGroup group = KeyGroup::kNone;
  Ms key_ttl_ms = 0;
};

struct PlanSettings {
  double quota_rate = 0;  // units a second for a customer, over all gateways; 0: no rate
  double burst = 0;
  double pays = 1;
  double overrun_cost = 0;
  double beyond_earns = 0;
  double ceiling_rate = 0;  // 0: the plan has no ceiling
  double ceiling_burst = 0;
  double ceiling_slack = 0;
  double open_limit = 0;  // attempts out at once; 0: no limit
};

enum class LoadField : std::uint8_t { kQueue, kInHand, kBusy, kOther };

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  double gateways = 1;
  std::uint32_t my_zone = 0;
  double largest_units = 1;
  bool units_settle = false;
  bool second_copies = false;
  bool may_cancel = false;
  bool may_probe = false;
  bool retry_after = false;
  bool must_subscribe = false;
  bool sizes_known = false;  // `HostEntry::size` compares hosts
  double max_attempts = 1;
  Ms max_retry_after_ms = 0;
  Ms tick_ms = 0;           // shortest gap between events
  Ms conn_idle_ms = 15000;  // hosts close a connection that has stood idle for so long
  double cold_from = 0;
  Ms warm_after_ms = 0;
  double overload_factor = 1;
  Ms fall_ms = 0;
  std::vector<LoadField> report_fields;
};

enum class HostState : std::uint8_t { kReady, kDraining, kGone };

// What the list says of a host. Of one that is gone only `id` counts.
struct HostEntry {
  HostId id = 0;
  HostState state = HostState::kReady;
  Ms started_at = 0;  // 0: long ago
  std::uint32_t kind = 0;
  std::optional<std::uint32_t> zone = {},
                               cell = {};  // none: not known, which is no place that two hosts share
  double size = 1;

  static HostEntry gone(HostId id) {
    HostEntry entry;
    entry.id = id;
    entry.state = HostState::kGone;
    return entry;
  }
};

enum class ListKind : std::uint8_t { kCached, kChanges, kWhole, kFailed };

// What one request may do beside the site's own bounds, which hold as well. What is proved of them before
// they are used is in src/limits.
struct RequestBounds {
  double attempts = std::numeric_limits<double>::infinity();  // at most, the first included
  bool second_copies = true;                                  // one may go out while another is
  Ms attempt_ms = 0;  // an attempt is given up after it; 0: at the request's end
  Ms send_until_ms = std::numeric_limits<double>::infinity();  // after the arrival: no further attempt later
};

struct Request {
  RequestId id = 0;
  std::uint32_t class_index = 0;
  std::uint32_t plan_index = 0;
  CustomerId customer = 0;
  Ms expires_at = 0;
  double units = 1;
  double spread = 1;    // gateways that this customer's requests come through
  bool repeat = false;  // a client's repeat, where clients mark it
  RequestBounds bounds = {};
};

enum class Outcome : std::uint8_t {
  kOk,
  kError,
  kFull,
  kTimedOut,
  kConnectFailed,
  kBroken,
  kCancelled,
  kNotSent
};
inline constexpr std::string_view kOutcomeNames[] = {
    "ok", "error", "full", "timed_out", "connect_failed", "broken", "cancelled", "not_sent"};
inline constexpr std::size_t kOutcomes = std::size(kOutcomeNames);

struct LoadReport {
  std::optional<double> queue;    // requests waiting
  std::optional<double> in_hand;  // requests held
  std::optional<double> busy;     // part of the cores in use
};

struct AttemptEnd {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  HostId host = 0;
  Outcome outcome = Outcome::kError;
  Ms took_ms = 0;
  bool finished = false;  // nothing more is owed for the request
  std::optional<double> true_units;
  LoadReport load;
};

// Why a request is refused or given up, in the module's own terms.
enum class Cause : std::uint8_t {
  kMalformed,  // a class or plan that is not in the settings
  kCeiling,    // the ceiling's slice does not hold its units
  kOpen,       // the customer has as many attempts out as its slice of the plan's allows
  kParent,     // the customer's slice is dry
  kChild,      // its class's part of the slice is
  kBeyond,     // its slice is dry, and by what the customer asked here it is beyond its quota
  kShed,       // the back end is pressed, and others are worth more
  kNoHost,     // no host is listed that takes anything
  kHostsFull,  // each host is at its bound, cold or ejected
  kEnded,      // attempts were made, none was answered well, and no further one is made
  kLate,       // its time is up
};
inline constexpr std::string_view kCauseNames[] = {"malformed",  "ceiling", "open", "parent",
                                                   "child",      "beyond",  "shed", "no_host",
                                                   "hosts_full", "ended",   "late"};
inline constexpr std::size_t kCauses = std::size(kCauseNames);

// What the module wants done. Actions are carried out in the order of the calls.
class Actions {
 public:
  virtual ~Actions() = default;
  virtual void send(RequestId request, HostId host, Ms give_up_after) = 0;
  virtual void cancel(RequestId request, std::uint32_t attempt) = 0;
  virtual void refuse(RequestId request, Ms retry_after, Cause why) = 0;
  virtual void fail(RequestId request, Cause why) = 0;
  virtual void wake(Ms after, std::uint64_t token) = 0;
  virtual void probe(HostId host) = 0;
  virtual void follow_list() = 0;
  virtual void fetch_list() = 0;
  virtual void note(std::string_view text) = 0;
};

// What a gateway knows of a customer, for the one that takes its place.
struct CustomerState {
  CustomerId id = 0;
  std::uint32_t plan = 0;
  double spread = 1;
  double parent = 0, whole = 0, ceiling = 0;  // levels of its buckets, in units; negative: in debt
  std::vector<double> children = {};          // levels, by class
  double demand = 0;                          // units asked for of late
  Ms unseen = 0;                              // since its last request
  double open = 0;                            // attempts out, which end over there
};

// And what it knows of a host.
struct HostKnowledge {
  HostId id = 0;
  Ms up_for = -1;                                     // since the host's start; negative: long
  double slow = 1, fails = 0, crowd = 0, proven = 0;  // as the module keeps them
  Ms ejected_for = 0;                                 // still to come
};

// A host that it was told is leaving or has left; `boot_ms`: the start of that process, as discovery has it.
struct DepartedHost {
  HostId id = 0;
  std::optional<double> boot_ms;
};

struct HandedState {
  Ms age = 0;  // of the gateway that hands over
  std::vector<CustomerState> customers = {};
  std::vector<HostKnowledge> hosts = {};
  std::vector<Ms> class_ms = {};            // what requests of each class take; 0: not known
  Ms calm_ms = 0;                           // and all of them while nothing queues; 0: not known
  std::vector<DepartedHost> departed = {};  // the module makes nothing of them
};

// One gateway's decisions. Events go in, in order of time; actions come out through the sink.
class Control {
 public:
  Control(const Settings& settings, std::uint64_t seed);
  ~Control();
  Control(Control&&) noexcept;
  Control& operator=(Control&&) noexcept;

  void start(Ms now, Actions& out);
  void on_list(Ms now, ListKind kind, std::span<const HostEntry> entries, Actions& out);
  void on_request(Ms now, const Request& request, Actions& out);
  void on_stream_begun(Ms now, RequestId request, std::uint32_t attempt, Actions& out);
  void on_attempt_end(Ms now, const AttemptEnd& end, Actions& out);
  void on_gone(Ms now, RequestId request, Actions& out);
  void on_timer(Ms now, std::uint64_t token, Actions& out);
  // Settings that replace those before, between events. Classes and plans keep their numbers: the lists may
  // only grow. Held requests go on in their class; buckets keep their levels, within the new volumes.
  void on_settings(Ms now, const Settings& settings);
  // All customers' levels, less a part that is kept for what still comes here. Nothing is refilled here from
  // now on: both together give no more than one would.
  HandedState hand_over(Ms now);
  // Before the first request. A plan or class that is not in the settings any more is left out.
  void take_over(Ms now, const HandedState& state);
  // The same where the gateway before has left no state: what it gave is not known, so that ceilings start
  // empty.
  void take_over_unknown(Ms now);
  // The gateway that handed over has ended, and all that was out there with it.
  void predecessor_gone(Ms now);
  // Hosts that are listed and get nothing now: they leave, or fail most of what they are sent.
  std::size_t avoided(Ms now) const;
  void on_probe_end(Ms now, HostId host, Ms took_ms, bool ok, const LoadReport& load, Actions& out);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cometfold
