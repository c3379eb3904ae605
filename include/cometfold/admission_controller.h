// The interface of cometfold's decision module: settings, events and actions.
//
// The module decides for one gateway which requests are admitted, which host each attempt is sent to, and
// when a request is retried, hedged, cancelled or rejected. It does no I/O and reads no clock: time comes in
// with each event, randomness from a seed. Equal settings, seeds and events give equal actions.
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

using Ms = double;  // milliseconds; as a point in time, from any origin
using RequestId = std::uint64_t;
using HostId = std::uint32_t;
using CustomerId = std::uint64_t;

// Whether a request may be executed more than once.
enum class Idempotency : std::uint8_t {
  kIdempotent,
  kIdempotencyKey,  // hosts discard a second execution by its key, within the scope and lifetime of the key
  kNonIdempotent
};

// The hosts that know each other's idempotency keys.
enum class IdempotencyScope : std::uint8_t { kNone, kAll, kZone, kCell };

// Settings of a class of requests.
struct ClassSettings {
  Ms latency_objective_ms = 0;  // an answer within it has its full value; 0: the deadline
  Ms deadline_ms = 0;           // after a request's arrival
  double priority_weight = 1;
  double late_value_fraction = 0;  // value of an answer between the objective and the deadline, in [0, 1]
  Idempotency idempotency = Idempotency::kNonIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::kNone;
  Ms idempotency_key_ttl_ms = 0;
};

// Settings of a customer's plan. Rates and bursts are for one customer over all gateways.
struct PlanSettings {
  double quota_rate = 0;   // units a second; 0: no quota
  double quota_burst = 0;  // units
  double plan_weight = 1;
  double over_quota_cost = 0;   // of a request beyond the quota, against its ordinary value
  double over_quota_value = 0;  // likewise
  double ceiling_rate = 0;      // units a second that are never exceeded; 0: no ceiling
  double ceiling_burst = 0;     // units
  double ceiling_slack = 0;
  double max_concurrent_attempts = 0;  // 0: no limit
};

// A field of the load reports that hosts send with their answers.
enum class LoadField : std::uint8_t { kQueueLength, kInFlight, kUtilization, kOther };

// Settings of the whole module.
struct AdmissionSettings {
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  double gateway_count = 1;
  std::uint32_t local_zone = 0;
  double max_request_units = 1;
  bool actual_units_reported = false;  // attempt results hold the units that a request cost
  bool hedging_allowed = false;
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;
  bool retry_after_allowed = false;
  bool host_watch_required = false;  // lists come as watch events, else they are polled
  bool host_sizes_known = false;     // `HostEntry::size` compares hosts
  double max_attempts = 1;           // of a request, the first one included
  Ms max_retry_after_ms = 0;
  Ms min_event_interval_ms = 0;
  Ms connection_idle_timeout_ms = 15000;  // after which hosts close a connection
  double slow_start_initial_weight = 0;   // of a host that has just started, in [0, 1]
  Ms slow_start_duration_ms = 0;
  double overload_factor = 1;  // a host fails under so many times what it can serve,
  Ms overload_window_ms = 0;   // lasting for so long
  std::vector<LoadField> load_report_fields;
};

enum class HostState : std::uint8_t { kReady, kDraining, kRemoved };

// An entry of discovery's host list. Of a removed host only `id` is set.
struct HostEntry {
  HostId id = 0;
  HostState state = HostState::kReady;
  Ms started_at = 0;       // start of its process; 0: long ago
  std::uint32_t kind = 0;  // hosts of one kind are about equally fast
  // Hosts without a zone or cell share it with no other host.
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
  kCached,    // all hosts, from a list that may be old
  kDelta,     // only those that have changed
  kSnapshot,  // all hosts
  kFailed     // no list could be had
};

// Bounds of one request, beside those of the settings.
struct RequestBounds {
  double max_attempts = std::numeric_limits<double>::infinity();  // the first one included
  bool hedging_allowed = true;
  Ms attempt_timeout_ms = 0;  // 0: at the request's end
  // After the arrival; no retry is sent later.
  Ms retry_window_ms = std::numeric_limits<double>::infinity();
};

struct Request {
  RequestId id = 0;
  std::uint32_t class_index = 0;
  std::uint32_t plan_index = 0;
  CustomerId customer = 0;
  Ms expires_at = 0;
  double units = 1;              // cost against quotas; an estimate if actual units are reported
  double gateway_count = 1;      // gateways that this customer's requests come through
  bool is_client_retry = false;  // where clients mark their retries
  RequestBounds bounds = {};
};

// How an attempt ended.
enum class Outcome : std::uint8_t {
  kOk,
  kError,
  kOverloaded,  // rejected by the host, without being executed
  kTimedOut,
  kConnectFailed,
  kConnectionLost,
  kCancelled,
  kNotSent
};
inline constexpr std::string_view kOutcomeNames[] = {
    "ok", "error", "full", "timed_out", "connect_failed", "broken", "cancelled", "not_sent"};
inline constexpr std::size_t kOutcomeCount = std::size(kOutcomeNames);

// A host's report of its load; fields that it does not report are empty.
struct LoadReport {
  std::optional<double> queue_length;  // requests that wait
  std::optional<double> in_flight;     // requests that wait or are executed
  std::optional<double> utilization;   // of its cores, in [0, 1]
};

struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;  // index among the request's attempts
  HostId host = 0;
  Outcome outcome = Outcome::kError;
  Ms duration_ms = 0;
  bool request_finished = false;  // the request has its final answer
  std::optional<double> actual_units;
  LoadReport load_report;
};

// Why a request is rejected or given up.
enum class RejectionReason : std::uint8_t {
  kMalformed,          // its class or plan is not in the settings
  kCeiling,            // this gateway's slice of the ceiling does not hold its units
  kConcurrencyLimit,   // its customer has as many attempts in flight as this gateway's slice allows
  kCustomerQuota,      // this gateway's slice of the quota is used up
  kClassQuota,         // its class's part of the slice is used up
  kOverQuota,          // its customer is probably beyond its quota over all gateways
  kLoadShed,           // hosts are loaded, and other requests have a higher value
  kNoHost,             // no host that is listed accepts requests
  kHostsAtCapacity,    // each host has reached its limit, warms up or is ejected
  kAttemptsExhausted,  // its attempts failed, and no retry is made
  kDeadlineExceeded,
};
inline constexpr std::string_view kRejectionReasonNames[] = {"malformed",  "ceiling", "open", "parent",
                                                             "child",      "beyond",  "shed", "no_host",
                                                             "hosts_full", "ended",   "late"};
inline constexpr std::size_t kRejectionReasonCount = std::size(kRejectionReasonNames);

// Carries out what the module decides, in the order of the calls. Must not call the controller back.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Sends the request's next attempt; attempts are counted from 0. `attempt_timeout_ms` 0: at the request's
  // end.
  virtual void send(RequestId request, HostId host, Ms attempt_timeout_ms) = 0;
  // Cancels an attempt, whose result is still reported.
  virtual void cancel(RequestId request, std::uint32_t attempt) = 0;
  // Rejects a request that has had no effect; `retry_after_ms` is for the client.
  virtual void reject(RequestId request, Ms retry_after_ms, RejectionReason reason) = 0;
  // Gives up a request that may have had its effect.
  virtual void fail(RequestId request, RejectionReason reason) = 0;
  // Calls `on_timer` with the token after a delay in milliseconds.
  virtual void schedule_timer(Ms delay, std::uint64_t token) = 0;
  // Asks the host for a load report.
  virtual void send_health_check(HostId host) = 0;
  // Subscribes to changes of the host list.
  virtual void watch_hosts() = 0;
  // Reads the host list once.
  virtual void poll_hosts() = 0;
  // A remark for operators.
  virtual void log(std::string_view text) = 0;
};

// What a gateway knows of a customer, for its successor.
struct CustomerSnapshot {
  CustomerId id = 0;
  std::uint32_t plan_index = 0;
  double gateway_count = 1;
  // Levels of its buckets in units; negative: in debt.
  double quota_level = 0;
  double undivided_quota_level = 0;
  double ceiling_level = 0;
  std::vector<double> class_levels = {};
  double demand = 0;              // units requested lately
  Ms idle_ms = 0;                 // since its last request
  double attempts_in_flight = 0;  // which end at the predecessor
};

// What a gateway knows of a host, for its successor.
struct HostSnapshot {
  HostId id = 0;
  Ms uptime_ms = -1;             // since the start of its process; negative: not known
  double relative_latency = 1;   // against the mean of a request's class
  double failure_rate = 0;       // in [0, 1]
  double reported_load = 0;      // requests that wait, and the part of the cores in use
  double proven_rate = 0;        // most completions a second that it has shown
  Ms ejection_remaining_ms = 0;  // 0: not ejected
};

// A host that drains or was removed. `boot_unix_ms`: the start of that process, as discovery has it.
struct DepartedHost {
  HostId id = 0;
  std::optional<double> boot_unix_ms;
};

// What a gateway hands over to the process that takes its place.
struct HandoverSnapshot {
  Ms age_ms = 0;  // of the predecessor
  std::vector<CustomerSnapshot> customers = {};
  std::vector<HostSnapshot> hosts = {};
  std::vector<Ms> class_latency_ms = {};          // mean latency, by class; 0: not known
  Ms unloaded_latency_ms = 0;                     // of all classes while nothing queues; 0: not known
  std::vector<DepartedHost> departed_hosts = {};  // for the gateway; the module neither reads nor fills it
};

// The decisions of one gateway. Events go in, in order of time; actions come out through the sink, which is
// used only during the call. Not safe for concurrent use.
class AdmissionController {
 public:
  AdmissionController(const AdmissionSettings& settings, std::uint64_t seed);
  ~AdmissionController();
  AdmissionController(AdmissionController&&) noexcept;
  AdmissionController& operator=(AdmissionController&&) noexcept;

  // Before all other events.
  void start(Ms now, ActionSink& out);
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries, ActionSink& out);
  // A request whose id is pending already is ignored.
  void on_request(Ms now, const Request& request, ActionSink& out);
  // The first part of an attempt's long value has come.
  void on_stream_started(Ms now, RequestId request, std::uint32_t attempt, ActionSink& out);
  // Results of unknown or ended attempts are ignored.
  void on_attempt_end(Ms now, const AttemptResult& result, ActionSink& out);
  void on_client_disconnected(Ms now, RequestId request, ActionSink& out);
  // A timer of `ActionSink::schedule_timer` has expired.
  void on_timer(Ms now, std::uint64_t token, ActionSink& out);
  // A health check of `ActionSink::send_health_check` has ended; `load` counts if it has succeeded.
  void on_health_check_end(Ms now, HostId host, Ms duration_ms, bool ok, const LoadReport& load,
                           ActionSink& out);

  // Replaces the settings. Classes and plans keep their indices, so the lists may only grow. Pending requests
  // keep their class's former settings; buckets keep their levels, within the new capacities.
  void update_settings(Ms now, const AdmissionSettings& settings);

  // Splits all levels with the successor, less a part for requests that still come here. From here on nothing
  // is refilled here, so that both gateways together grant no more than one would.
  HandoverSnapshot export_handover(Ms now);
  // Before the first request. Customers whose plan is not in the settings any more are left out.
  void import_handover(Ms now, const HandoverSnapshot& snapshot);
  // Instead of `import_handover` after a predecessor that left no state: ceilings start empty now.
  void assume_unknown_predecessor(Ms now);
  // The gateway that handed over has ended, and its attempts with it.
  void on_predecessor_exited(Ms now);

  // Listed hosts that get no requests, as they drain or are ejected.
  std::size_t excluded_host_count(Ms now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cometfold
