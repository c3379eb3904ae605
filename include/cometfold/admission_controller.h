// Public interface of cometfold's decision module: settings, events and actions.
//
// The module decides for one gateway which requests are admitted, which host each attempt is sent to, and
// when a request is retried, hedged, cancelled or rejected. It does no I/O and reads no clock: the time is
// passed in with each event, and random numbers come from a seeded generator. Equal settings, seeds and
// events give equal actions.
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

using Ms = double;  // milliseconds; points in time are relative to an arbitrary origin
using RequestId = std::uint64_t;
using HostId = std::uint32_t;
using CustomerId = std::uint64_t;

// Whether a request may be executed more than once.
enum class Idempotency : std::uint8_t {
  kIdempotent,
  kIdempotencyKey,  // hosts detect duplicates by their key, within the key's scope and lifetime
  kNonIdempotent
};

// Which hosts share idempotency keys.
enum class IdempotencyScope : std::uint8_t { kNone, kAll, kZone, kCell };

// Settings of a request class.
struct ClassSettings {
  Ms latency_objective_ms = 0;  // answers within it have their full value; 0: same as `deadline_ms`
  Ms deadline_ms = 0;           // from the request's arrival
  double priority_weight = 1;
  double late_value_fraction = 0;  // value of answers between the objective and the deadline, in [0, 1]
  Idempotency idempotency = Idempotency::kNonIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::kNone;
  Ms idempotency_key_ttl_ms = 0;
};

// Settings of a plan. Rates and bursts apply to each customer of the plan, over all gateways.
struct PlanSettings {
  double quota_rate = 0;   // units per second; 0: no quota
  double quota_burst = 0;  // units
  double plan_weight = 1;
  double over_quota_cost = 0;   // cost of admitting a request beyond the quota, relative to its normal value
  double over_quota_value = 0;  // value of such a request, relative to its normal value
  double ceiling_rate = 0;      // hard limit in units per second; 0: no ceiling
  double ceiling_burst = 0;     // units
  double ceiling_slack = 0;     // excess that rule monitors tolerate, in units and in attempts
  double max_concurrent_attempts = 0;  // 0: no limit
};

// A field of the load reports that hosts attach to their responses.
enum class LoadField : std::uint8_t { kQueueLength, kInFlight, kUtilization, kOther };

// Settings of the decision module.
struct AdmissionSettings {
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  double gateway_count = 1;
  std::uint32_t local_zone = 0;
  double max_request_units = 1;
  double max_customers = 65'536;  // remembered; beyond them those that have been idle longest are evicted
  bool actual_units_reported = false;  // attempt results carry the units that a request cost
  bool hedging_allowed = false;
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;
  bool retry_after_allowed = false;
  bool host_watch_required = false;  // host lists are delivered by a watch, otherwise they are polled
  bool host_sizes_known = false;     // `HostEntry::size` is meaningful
  double max_attempts = 1;           // per request, including the first
  Ms max_retry_after_ms = 0;
  Ms min_event_interval_ms = 0;
  Ms connection_idle_timeout_ms = 15000;  // hosts close connections that are idle for longer
  double slow_start_initial_weight = 0;   // of a host that has just started, in [0, 1]
  Ms slow_start_duration_ms = 0;
  double overload_factor = 1;  // a host fails when its load exceeds its capacity by this factor
  Ms overload_window_ms = 0;   // for this long
  std::vector<LoadField> load_report_fields;
};

enum class HostState : std::uint8_t { kReady, kDraining, kRemoved };

// An entry of the host list from discovery. For removed hosts only `id` is set.
struct HostEntry {
  HostId id = 0;
  HostState state = HostState::kReady;
  Ms started_at = 0;       // start time of its process; 0: long ago or unknown
  std::uint32_t kind = 0;  // hosts of the same kind are about equally fast
  // A host without a zone or cell is treated as alone in its own.
  std::optional<std::uint32_t> zone = {}, cell = {};
  double size = 1;

  static HostEntry removed(HostId id) {
    HostEntry entry;
    entry.id = id;
    entry.state = HostState::kRemoved;
    return entry;
  }
};

enum class HostListUpdate : std::uint8_t {
  kCached,    // all hosts, from a list that may be outdated
  kDelta,     // only the hosts that have changed
  kSnapshot,  // all hosts
  kFailed     // the list could not be obtained
};

// Limits of a single request, in addition to those of the settings.
struct RequestBounds {
  double max_attempts = std::numeric_limits<double>::infinity();  // including the first
  bool hedging_allowed = true;
  Ms attempt_timeout_ms = 0;  // 0: attempts end with the request
  // From the request's arrival; no retry is sent after it.
  Ms retry_window_ms = std::numeric_limits<double>::infinity();
};

struct Request {
  RequestId id = 0;
  std::uint32_t class_index = 0;
  std::uint32_t plan_index = 0;
  CustomerId customer = 0;
  Ms expires_at = 0;
  double units = 1;              // charged to quotas; an estimate if actual units are reported
  double gateway_count = 1;      // number of gateways that receive this customer's requests
  bool is_client_retry = false;  // only set if clients mark their retries
  RequestBounds bounds = {};
};

// How an attempt ended.
enum class Outcome : std::uint8_t {
  kOk,
  kError,
  kOverloaded,  // rejected by the host without being executed
  kTimedOut,
  kConnectFailed,
  kConnectionLost,
  kCancelled,
  kNotSent
};
inline constexpr std::string_view kOutcomeNames[] = {
    "ok", "error", "full", "timed_out", "connect_failed", "broken", "cancelled", "not_sent"};
inline constexpr std::size_t kOutcomeCount = std::size(kOutcomeNames);

// Load reported by a host; fields that it does not report are empty.
struct LoadReport {
  std::optional<double> queue_length;  // waiting requests
  std::optional<double> in_flight;     // waiting and executing requests
  std::optional<double> utilization;   // of its cores, in [0, 1]
};

struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;  // index among the request's attempts
  HostId host = 0;
  Outcome outcome = Outcome::kError;
  Ms duration_ms = 0;
  bool request_finished = false;  // the request has been answered
  std::optional<double> actual_units;
  LoadReport load_report;
};

// Why a request is rejected or given up.
enum class RejectionReason : std::uint8_t {
  kMalformed,          // its class or plan is not in the settings
  kCeiling,            // its units exceed what is left of this gateway's slice of the ceiling
  kConcurrencyLimit,   // its customer has as many attempts in flight as this gateway's slice allows
  kCustomerQuota,      // this gateway's slice of the quota is used up
  kClassQuota,         // the class's part of the slice is used up
  kOverQuota,          // its customer probably exceeds its quota over all gateways
  kLoadShed,           // hosts are loaded, and other requests have a higher value
  kNoHost,             // no listed host accepts requests
  kHostsAtCapacity,    // every host is at its limit, warming up or ejected
  kAttemptsExhausted,  // its attempts failed, and it is not retried
  kDeadlineExceeded,
};
inline constexpr std::string_view kRejectionReasonNames[] = {"malformed",  "ceiling", "open", "parent",
                                                             "child",      "beyond",  "shed", "no_host",
                                                             "hosts_full", "ended",   "late"};
inline constexpr std::size_t kRejectionReasonCount = std::size(kRejectionReasonNames);

// Executes the controller's decisions in the order of the calls. Implementations must not call the
// controller.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Sends the request's next attempt; attempts are counted from 0. If `attempt_timeout_ms` is 0, the attempt
  // ends with the request.
  virtual void send(RequestId request, HostId host, Ms attempt_timeout_ms) = 0;
  // Cancels an attempt. Its result is still reported through `on_attempt_end`.
  virtual void cancel(RequestId request, std::uint32_t attempt) = 0;
  // Rejects a request that the client may safely retry, after `retry_after_ms`.
  virtual void reject(RequestId request, Ms retry_after_ms, RejectionReason reason) = 0;
  // Fails a request that may have been executed.
  virtual void fail(RequestId request, RejectionReason reason) = 0;
  // Schedules a call of `on_timer` with this token after a delay in milliseconds.
  virtual void schedule_timer(Ms delay, std::uint64_t token) = 0;
  // Requests a load report from the host.
  virtual void send_health_check(HostId host) = 0;
  // Subscribes to changes of the host list.
  virtual void watch_hosts() = 0;
  // Reads the host list once.
  virtual void poll_hosts() = 0;
  // Logs a message for operators.
  virtual void log(std::string_view text) = 0;
};

// Per-customer state that a gateway hands over to its successor.
struct CustomerSnapshot {
  CustomerId id = 0;
  std::uint32_t plan_index = 0;
  double gateway_count = 1;
  // Token bucket levels in units; negative levels are debt.
  double quota_level = 0;
  double undivided_quota_level = 0;
  double ceiling_level = 0;
  std::vector<double> class_levels = {};
  double demand = 0;              // units requested recently
  Ms idle_ms = 0;                 // time since its last request
  double attempts_in_flight = 0;  // through the predecessor
};

// Per-host state that a gateway hands over to its successor.
struct HostSnapshot {
  HostId id = 0;
  Ms uptime_ms = -1;             // since the start of its process; negative: unknown
  double relative_latency = 1;   // relative to the mean of the request's class
  double failure_rate = 0;       // in [0, 1]
  double reported_load = 0;      // waiting requests plus utilization
  double proven_rate = 0;        // highest measured completions per second
  Ms ejection_remaining_ms = 0;  // 0: not ejected
};

// A host that is draining or was removed. `boot_unix_ms` is the start time of its process as listed by
// discovery.
struct DepartedHost {
  HostId id = 0;
  std::optional<double> boot_unix_ms;
};

// The identity of a request that may run, or may have run, and whose class is not safe to repeat.
struct IdentityInUse {
  std::uint64_t identity = 0;
  Ms remaining_ms = 0;  // for which no other request may have it
};

// State that a gateway hands over to the process that replaces it.
struct HandoverSnapshot {
  Ms age_ms = 0;  // time over which the predecessor and its own predecessors have counted demand
  std::vector<CustomerSnapshot> customers = {};
  std::vector<HostSnapshot> hosts = {};
  std::vector<Ms> class_latency_ms = {};  // mean latency by class; 0: unknown
  Ms unloaded_latency_ms = 0;             // mean latency without queueing; 0: unknown
  // For the gateway; neither read nor set by the module.
  std::vector<DepartedHost> departed_hosts = {};
  std::vector<IdentityInUse> identities_in_use = {};
};

// Makes the decisions of one gateway. Events must be passed in order of time; the resulting actions are
// passed to the sink, which is used only during the call. Not thread-safe.
class AdmissionController {
 public:
  AdmissionController(const AdmissionSettings& settings, std::uint64_t seed);
  ~AdmissionController();
  AdmissionController(AdmissionController&&) noexcept;
  AdmissionController& operator=(AdmissionController&&) noexcept;

  // Must be called before all other events.
  void start(Ms now, ActionSink& out);
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries, ActionSink& out);
  // Requests whose id is already pending are ignored.
  void on_request(Ms now, const Request& request, ActionSink& out);
  // An attempt's streamed response is passed on from now on: its first part has arrived, or it continues that
  // of another attempt.
  void on_stream_started(Ms now, RequestId request, std::uint32_t attempt, ActionSink& out);
  // The host has sent nothing of an attempt's streamed response for a while.
  void on_stream_paused(Ms now, RequestId request, std::uint32_t attempt, ActionSink& out);
  // Results of attempts that are unknown or have ended are ignored.
  void on_attempt_end(Ms now, const AttemptResult& result, ActionSink& out);
  void on_client_disconnected(Ms now, RequestId request, ActionSink& out);
  // A timer scheduled with `ActionSink::schedule_timer` has expired.
  void on_timer(Ms now, std::uint64_t token, ActionSink& out);
  // A health check sent with `ActionSink::send_health_check` has ended; `load` is used if it succeeded.
  void on_health_check_end(Ms now, HostId host, Ms duration_ms, bool ok, const LoadReport& load,
                           ActionSink& out);

  // Replaces the settings. Classes and plans keep their indices, so the lists may only grow. Pending requests
  // keep the previous settings of their class; buckets keep their levels, up to the new capacities.
  void update_settings(Ms now, const AdmissionSettings& settings);

  // Hands the levels of all token buckets over, except for a fraction that is retained for requests that
  // still arrive here. Buckets are no longer refilled here afterwards, so that both gateways together grant
  // no more than one would.
  HandoverSnapshot export_handover(Ms now);
  // Must be called before the first request. Skips customers whose plan is no longer in the settings.
  void import_handover(Ms now, const HandoverSnapshot& snapshot);
  // Replaces `import_handover` if the predecessor left no state: ceilings start empty at `now`.
  void assume_unknown_predecessor(Ms now);
  // The predecessor has exited, so none of its attempts is in flight any longer.
  void on_predecessor_exited(Ms now);

  // Number of listed hosts that receive no requests because they are draining or ejected.
  std::size_t excluded_host_count(Ms now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cometfold
