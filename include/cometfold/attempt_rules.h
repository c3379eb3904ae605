// What the rules allow for a request's attempts and its refusal. The one place that says so: the module asks
// it when it decides, and the engine once more at the moment in which the first byte would go out, as a
// connection may have come up late. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>
#include <optional>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold {

// A process may be held up for so long between reading its clock and writing.
inline constexpr Ms kProcessPauseAllowanceMs = 150;
// Of a key's lifetime that repeats may use; the rest is for the way to the host.
inline constexpr double kKeyLifetimeFraction = 0.8;
inline constexpr Ms kKeyLifetimeMarginMs = kProcessPauseAllowanceMs + 50;

// Which group of hosts one belongs to. What is not known belongs to none.
struct HostLocation {
  std::optional<std::uint32_t> zone, cell;
  bool operator==(const HostLocation&) const = default;
};
inline HostLocation location_of(const HostEntry& entry) { return {entry.zone, entry.cell}; }

// Whether hosts at both places discard each other's repeats.
inline bool in_same_scope(IdempotencyScope group, const HostLocation& a, const HostLocation& b) {
  const bool same_zone = a.zone && a.zone == b.zone;
  switch (group) {
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

// For how long after its first attempt a keyed request may be sent again, in milliseconds.
inline Ms retry_window_ms(const ClassSettings& terms) {
  return std::max(std::min(kKeyLifetimeFraction * terms.idempotency_key_ttl_ms,
                           terms.idempotency_key_ttl_ms - kKeyLifetimeMarginMs),
                  0.0);
}

// Whether an attempt that ended so may have had its effect.
inline bool may_have_executed(Outcome outcome) {
  return outcome != Outcome::kOverloaded && outcome != Outcome::kConnectFailed &&
         outcome != Outcome::kNotSent;
}

enum class AttemptVerdict : std::uint8_t {
  kAllowed,
  kAnswered,            // the request has its final answer, or its client has gone
  kClientDisconnected,  // its client has closed its connection, and the engine has not been told yet
  kDeadlineExceeded,    // of the request or of the attempt
  kTooManyAttempts,     // attempts of one request
  kAttemptInFlight,     // another attempt is out, and no further copy may be
  kMayHaveExecuted,     // an attempt may have run, and the class is not safe to repeat
  kKeyExpired,          // ... and its key's lifetime is over
  kOutOfScope,          // ... and this host would not discard the repeat
  kNotListed,           // the host drains or is gone
  kHostRestarted,       // the host has started anew since the decision
};
inline constexpr std::string_view kAttemptVerdictNames[] = {
    "allowed",      "answered",      "client_left", "time_up",    "too_many",     "still_out",
    "may_have_run", "key_forgotten", "other_group", "not_listed", "other_process"};
inline constexpr std::size_t kAttemptVerdictCount = std::size(kAttemptVerdictNames);

// What a request's other attempts leave for one more. An attempt has `host`, `sequence`, `sent`, `out` and
// `may_have_executed`; one that is out may have run.
template <class Attempt>
struct RetryConstraint {
  AttemptVerdict verdict = AttemptVerdict::kAllowed;
  const Attempt* bound = nullptr;  // if allowed: only to hosts of this attempt's group

  bool allows(const ClassSettings& terms, HostId host, const HostLocation& place) const {
    if (!bound) return true;
    return (bound->host == host && bound->place == place) ||
           in_same_scope(terms.idempotency_scope, bound->place, place);
  }
};

template <class Attempts>
auto retry_constraint(const ClassSettings& terms, const Attempts& others, Ms now) {
  RetryConstraint<typename Attempts::value_type> limits;
  if (terms.idempotency == Idempotency::kIdempotent) return limits;
  for (const auto& a : others) {
    if (!a.out && !a.may_have_run) continue;
    if (terms.idempotency == Idempotency::kNonIdempotent ||
        terms.idempotency_scope == IdempotencyScope::kNone) {
      limits.verdict = AttemptVerdict::kMayHaveExecuted;
      return limits;
    }
    if (now > a.sent + retry_window_ms(terms)) limits.verdict = AttemptVerdict::kKeyExpired;
    if (!limits.bound) limits.bound = &a;
  }
  return limits;
}

// Whether one more may go out beside those that are out.
template <class Attempts>
bool may_hedge(const Attempts& others, bool second_copies) {
  const auto out = std::count_if(others.begin(), others.end(), [](const auto& a) { return a.out; });
  return out == 0 || (second_copies && out == 1);
}

// A refusal tells the client that a repeat is harmless.
template <class Attempts>
bool may_reject(const ClassSettings& terms, const Attempts& attempts) {
  if (terms.idempotency == Idempotency::kIdempotent) return true;
  if (terms.idempotency == Idempotency::kIdempotencyKey && terms.idempotency_scope == IdempotencyScope::kAll)
    return true;
  return std::none_of(attempts.begin(), attempts.end(),
                      [](const auto& a) { return a.out || a.may_have_run; });
}

}  // namespace cometfold
