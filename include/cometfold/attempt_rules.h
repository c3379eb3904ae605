// Rules that decide whether a request may be attempted again or rejected, as pure functions.
//
// The decision module applies them to each decision. The engine applies them again before it writes the first
// byte of an attempt, because the connection may have been established much later.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>
#include <optional>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold {

// Longest pause of the process between reading the clock and writing that the rules tolerate.
inline constexpr Ms kProcessPauseAllowanceMs = 150;
// Fraction of an idempotency key's lifetime in which retries are sent; the rest is left for transmission.
inline constexpr double kKeyLifetimeFraction = 0.8;
// Minimum part of the lifetime that is left for transmission.
inline constexpr Ms kKeyLifetimeMarginMs = kProcessPauseAllowanceMs + 50;

// Location of a host. An unknown zone or cell is not shared with any other host.
struct HostLocation {
  std::optional<std::uint32_t> zone, cell;
  bool operator==(const HostLocation&) const = default;
};
inline HostLocation location_of(const HostEntry& entry) { return {entry.zone, entry.cell}; }

// Whether hosts at both locations share idempotency keys.
inline bool in_same_scope(IdempotencyScope scope, const HostLocation& a, const HostLocation& b) {
  const bool same_zone = a.zone && a.zone == b.zone;
  switch (scope) {
    case IdempotencyScope::kAll:
      return true;
    case IdempotencyScope::kZone:
      return same_zone;
    case IdempotencyScope::kCell:
      return same_zone && a.cell && a.cell == b.cell;
    case IdempotencyScope::kNone:
      return false;
  }
  return false;
}

// Time from its first attempt in which a request with an idempotency key may be retried, in milliseconds.
inline Ms retry_window_ms(const ClassSettings& class_settings) {
  return std::max(std::min(kKeyLifetimeFraction * class_settings.idempotency_key_ttl_ms,
                           class_settings.idempotency_key_ttl_ms - kKeyLifetimeMarginMs),
                  0.0);
}

// Whether an attempt with this outcome may have been executed.
inline bool may_have_executed(Outcome outcome) {
  return outcome != Outcome::kOverloaded && outcome != Outcome::kConnectFailed &&
         outcome != Outcome::kNotSent;
}

// Whether an attempt may be sent, and if not, why.
enum class AttemptVerdict : std::uint8_t {
  kAllowed,
  kAnswered,            // the request has been answered, or its client has disconnected
  kClientDisconnected,  // its client has disconnected, but the engine has not been notified yet
  kDeadlineExceeded,    // of the request or of the attempt
  kTooManyAttempts,
  kAttemptInFlight,  // another attempt is in flight, and the request may not be hedged (again)
  kMayHaveExecuted,  // an attempt may have been executed, and the request is not idempotent
  kKeyExpired,       // an attempt may have been executed, and its idempotency key may have expired
  kOutOfScope,       // an attempt may have been executed, and this host does not share its key
  kNotListed,        // the host is draining or was removed
  kHostRestarted,    // the host has restarted since the decision
};
inline constexpr std::string_view kAttemptVerdictNames[] = {
    "allowed",      "answered",      "client_left", "time_up",    "too_many",     "still_out",
    "may_have_run", "key_forgotten", "other_group", "not_listed", "other_process"};
inline constexpr std::size_t kAttemptVerdictCount = std::size(kAttemptVerdictNames);

// Constraint that a request's earlier attempts impose on the next one. `Attempt` has the members `host`,
// `location` and `host_started_at` (of the host when the attempt was sent), `sent_at`, `in_flight` and
// `may_have_executed`; attempts in flight count as executed. Holds a pointer into the attempts and is
// invalidated when they change.
template <class Attempt>
struct RetryConstraint {
  AttemptVerdict verdict = AttemptVerdict::kAllowed;
  const Attempt* key_holder = nullptr;  // if set, only hosts that share this attempt's idempotency key

  // Whether the attempt may be sent to the host at this location, whose process started at `started_at`.
  // Requires that `verdict` is kAllowed. A process that took the place of another does not know its keys.
  bool allows(const ClassSettings& class_settings, HostId host, const HostLocation& location,
              Ms started_at) const {
    if (key_holder == nullptr) return true;
    const bool same_process = key_holder->host == host && key_holder->location == location &&
                              key_holder->host_started_at == started_at;
    return same_process || in_same_scope(class_settings.idempotency_scope, key_holder->location, location);
  }
};

// Computes the constraint for an attempt that is sent now. `attempts` are the earlier ones, oldest first.
template <class Attempts>
auto retry_constraint(const ClassSettings& class_settings, const Attempts& attempts, Ms now) {
  RetryConstraint<typename Attempts::value_type> constraint;
  if (class_settings.idempotency == Idempotency::kIdempotent) return constraint;
  const bool has_key = class_settings.idempotency == Idempotency::kIdempotencyKey &&
                       class_settings.idempotency_scope != IdempotencyScope::kNone;
  for (const auto& attempt : attempts) {
    if (!attempt.in_flight && !attempt.may_have_executed) continue;
    if (!has_key) {
      constraint.verdict = AttemptVerdict::kMayHaveExecuted;
      return constraint;
    }
    if (now > attempt.sent_at + retry_window_ms(class_settings))
      constraint.verdict = AttemptVerdict::kKeyExpired;
    if (constraint.key_holder == nullptr) constraint.key_holder = &attempt;
  }
  return constraint;
}

// Whether another attempt may be sent in addition to those in flight.
template <class Attempts>
bool may_hedge(const Attempts& attempts, bool hedging_allowed) {
  const auto in_flight =
      std::count_if(attempts.begin(), attempts.end(), [](const auto& attempt) { return attempt.in_flight; });
  return in_flight == 0 || (hedging_allowed && in_flight == 1);
}

// Whether the request may be rejected, which tells the client that a retry is safe.
template <class Attempts>
bool may_reject(const ClassSettings& class_settings, const Attempts& attempts) {
  if (class_settings.idempotency == Idempotency::kIdempotent) return true;
  if (class_settings.idempotency == Idempotency::kIdempotencyKey &&
      class_settings.idempotency_scope == IdempotencyScope::kAll)
    return true;
  return std::none_of(attempts.begin(), attempts.end(),
                      [](const auto& attempt) { return attempt.in_flight || attempt.may_have_executed; });
}

}  // namespace cometfold
