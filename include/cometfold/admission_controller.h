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

enum class Idempotency : std::uint8_t { kIdempotent, kIdempotencyKey, kNonIdempotent };
enum class IdempotencyScope : std::uint8_t { kNone, kAll, kZone, kCell };

struct ClassSettings {
  Ms latency_objective_ms = 0;  // an answer within this time earns its worth; 0: the deadline
  Ms deadline_ms = 0;           // what a client waits in all
  double priority_weight = 1;
  double late_value_fraction = 0;  // part of the worth earned between aim and deadline
  Idempotency idempotency = Idempotency::kNonIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::kNone;
  Ms idempotency_key_ttl_ms = 0;
};

struct PlanSettings {
  double quota_rate = 0;  // units a second for a customer, over all gateways; 0: no rate
  double quota_burst = 0;
  double plan_weight = 1;
  double over_quota_cost = 0;
  double over_quota_value = 0;
  double ceiling_rate = 0;  // 0: the plan has no ceiling
  double ceiling_burst = 0;
  double ceiling_slack = 0;
  double max_concurrent_attempts = 0;  // attempts out at once; 0: no limit
};

enum class LoadField : std::uint8_t { kQueueLength, kInFlight, kUtilization, kOther };

struct AdmissionSettings {
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  double gateway_count = 1;
  std::uint32_t local_zone = 0;
  double max_request_units = 1;
  bool actual_units_reported = false;
  bool hedging_allowed = false;
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;
  bool retry_after_allowed = false;
  bool host_watch_required = false;
  bool host_sizes_known = false;  // `HostEntry::size` compares hosts
  double max_attempts = 1;
  Ms max_retry_after_ms = 0;
  Ms min_event_interval_ms = 0;           // shortest gap between events
  Ms connection_idle_timeout_ms = 15000;  // hosts close a connection that has stood idle for so long
  double slow_start_initial_weight = 0;
  Ms slow_start_duration_ms = 0;
  double overload_factor = 1;
  Ms overload_window_ms = 0;
  std::vector<LoadField> load_report_fields;
};

enum class HostState : std::uint8_t { kReady, kDraining, kRemoved };

// What the list says of a host. Of one that is gone only `id` counts.
struct HostEntry {
  HostId id = 0;
  HostState state = HostState::kReady;
  Ms started_at = 0;  // 0: long ago
  std::uint32_t kind = 0;
  std::optional<std::uint32_t> zone = {},
                               cell = {};  // none: not known, which is no place that two hosts share
  double size = 1;

  static HostEntry removed(HostId id) {
    HostEntry entry;
    entry.id = id;
    entry.state = HostState::kRemoved;
    return entry;
  }
};

enum class HostListUpdate : std::uint8_t { kCached, kDelta, kSnapshot, kFailed };

// What one request may do beside the site's own bounds, which hold as well. What is proved of them before
// they are used is in src/limits.
struct RequestBounds {
  double max_attempts = std::numeric_limits<double>::infinity();  // at most, the first included
  bool hedging_allowed = true;                                    // one may go out while another is
  Ms attempt_timeout_ms = 0;  // an attempt is given up after it; 0: at the request's end
  Ms retry_window_ms =
      std::numeric_limits<double>::infinity();  // after the arrival: no further attempt later
};

struct Request {
  RequestId id = 0;
  std::uint32_t class_index = 0;
  std::uint32_t plan_index = 0;
  CustomerId customer = 0;
  Ms expires_at = 0;
  double units = 1;
  double gateway_count = 1;      // gateways that this customer's requests come through
  bool is_client_retry = false;  // a client's repeat, where clients mark it
  RequestBounds bounds = {};
};

enum class Outcome : std::uint8_t {
  kOk,
  kError,
  kOverloaded,
  kTimedOut,
  kConnectFailed,
  kConnectionLost,
  kCancelled,
  kNotSent
};
inline constexpr std::string_view kOutcomeNames[] = {
    "ok", "error", "full", "timed_out", "connect_failed", "broken", "cancelled", "not_sent"};
inline constexpr std::size_t kOutcomeCount = std::size(kOutcomeNames);

struct LoadReport {
  std::optional<double> queue_length;  // requests waiting
  std::optional<double> in_flight;     // requests held
  std::optional<double> utilization;   // part of the cores in use
};

struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  HostId host = 0;
  Outcome outcome = Outcome::kError;
  Ms duration_ms = 0;
  bool request_finished = false;  // nothing more is owed for the request
  std::optional<double> actual_units;
  LoadReport load_report;
};

// Why a request is refused or given up, in the module's own terms.
enum class RejectionReason : std::uint8_t {
  kMalformed,          // a class or plan that is not in the settings
  kCeiling,            // the ceiling's slice does not hold its units
  kConcurrencyLimit,   // the customer has as many attempts out as its slice of the plan's allows
  kCustomerQuota,      // the customer's slice is dry
  kClassQuota,         // its class's part of the slice is
  kOverQuota,          // its slice is dry, and by what the customer asked here it is beyond its quota
  kLoadShed,           // the back end is pressed, and others are worth more
  kNoHost,             // no host is listed that takes anything
  kHostsAtCapacity,    // each host is at its bound, cold or ejected
  kAttemptsExhausted,  // attempts were made, none was answered well, and no further one is made
  kDeadlineExceeded,   // its time is up
};
inline constexpr std::string_view kRejectionReasonNames[] = {"malformed",  "ceiling", "open", "parent",
                                                             "child",      "beyond",  "shed", "no_host",
                                                             "hosts_full", "ended",   "late"};
inline constexpr std::size_t kRejectionReasonCount = std::size(kRejectionReasonNames);

// What the module wants done. Actions are carried out in the order of the calls.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void send(RequestId request, HostId host, Ms give_up_after) = 0;
  virtual void cancel(RequestId request, std::uint32_t attempt) = 0;
  virtual void reject(RequestId request, Ms retry_after, RejectionReason why) = 0;
  virtual void fail(RequestId request, RejectionReason why) = 0;
  virtual void schedule_timer(Ms after, std::uint64_t token) = 0;
  virtual void send_health_check(HostId host) = 0;
  virtual void watch_hosts() = 0;
  virtual void poll_hosts() = 0;
  virtual void log(std::string_view text) = 0;
};

// What a gateway knows of a customer, for the one that takes its place.
struct CustomerSnapshot {
  CustomerId id = 0;
  std::uint32_t plan_index = 0;
  double gateway_count = 1;
  double quota_level = 0, undivided_quota_level = 0,
         ceiling_level = 0;               // levels of its buckets, in units; negative: in debt
  std::vector<double> class_levels = {};  // levels, by class
  double demand = 0;                      // units asked for of late
  Ms idle_ms = 0;                         // since its last request
  double attempts_in_flight = 0;          // attempts out, which end over there
};

// And what it knows of a host.
struct HostSnapshot {
  HostId id = 0;
  Ms uptime_ms = -1;  // since the host's start; negative: long
  double relative_latency = 1, failure_rate = 0, reported_load = 0,
         proven_rate = 0;        // as the module keeps them
  Ms ejection_remaining_ms = 0;  // still to come
};

// A host that it was told is leaving or has left; `boot_unix_ms`: the start of that process, as discovery has
// it.
struct DepartedHost {
  HostId id = 0;
  std::optional<double> boot_unix_ms;
};

struct HandoverSnapshot {
  Ms age_ms = 0;  // of the gateway that hands over
  std::vector<CustomerSnapshot> customers = {};
  std::vector<HostSnapshot> hosts = {};
  std::vector<Ms> class_latency_ms = {};          // what requests of each class take; 0: not known
  Ms unloaded_latency_ms = 0;                     // and all of them while nothing queues; 0: not known
  std::vector<DepartedHost> departed_hosts = {};  // the module makes nothing of them
};

// One gateway's decisions. Events go in, in order of time; actions come out through the sink.
class AdmissionController {
 public:
  AdmissionController(const AdmissionSettings& settings, std::uint64_t seed);
  ~AdmissionController();
  AdmissionController(AdmissionController&&) noexcept;
  AdmissionController& operator=(AdmissionController&&) noexcept;

  void start(Ms now, ActionSink& out);
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries, ActionSink& out);
  void on_request(Ms now, const Request& request, ActionSink& out);
  void on_stream_started(Ms now, RequestId request, std::uint32_t attempt, ActionSink& out);
  void on_attempt_end(Ms now, const AttemptResult& end, ActionSink& out);
  void on_client_disconnected(Ms now, RequestId request, ActionSink& out);
  void on_timer(Ms now, std::uint64_t token, ActionSink& out);
  // Settings that replace those before, between events. Classes and plans keep their numbers: the lists may
  // only grow. Held requests go on in their class; buckets keep their levels, within the new volumes.
  void update_settings(Ms now, const AdmissionSettings& settings);
  // All customers' levels, less a part that is kept for what still comes here. Nothing is refilled here from
  // now on: both together give no more than one would.
  HandoverSnapshot export_handover(Ms now);
  // Before the first request. A plan or class that is not in the settings any more is left out.
  void import_handover(Ms now, const HandoverSnapshot& state);
  // The same where the gateway before has left no state: what it gave is not known, so that ceilings start
  // empty.
  void assume_unknown_predecessor(Ms now);
  // The gateway that handed over has ended, and all that was out there with it.
  void on_predecessor_exited(Ms now);
  // Hosts that are listed and get nothing now: they leave, or fail most of what they are sent.
  std::size_t excluded_host_count(Ms now) const;
  void on_health_check_end(Ms now, HostId host, Ms took_ms, bool ok, const LoadReport& load, ActionSink& out);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cometfold
