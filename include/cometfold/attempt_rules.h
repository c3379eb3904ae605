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
inline constexpr Ms kHeldUpMs = 150;
// Of a key's lifetime that repeats may use; the rest is for the way to the host.
inline constexpr double kKeyShare = 0.8;
inline constexpr Ms kKeyMargin = kHeldUpMs + 50;

// Which group of hosts one belongs to. What is not known belongs to none.
struct HostPlace {
  std::optional<std::uint32_t> zone, cell;
  bool operator==(const HostPlace&) const = default;
};
inline HostPlace place_of(const HostEntry& entry) { return {entry.zone, entry.cell}; }

// Whether hosts at both places discard each other's repeats.
inline bool same_group(KeyGroup group, const HostPlace& a, const HostPlace& b) {
  const bool same_zone = a.zone && a.zone == b.zone;
  switch (group) {
    case KeyGroup::kAll:
      return true;
    case KeyGroup::kZone:
      return same_zone;
    case KeyGroup::kCell:
      return same_zone && a.cell && a.cell == b.cell;
    case KeyGroup::kNone:
      return false;
  }
  return false;
}

// For how long after its first attempt a keyed request may be sent again, in milliseconds.
inline Ms repeat_window(const ClassSettings& terms) {
  return std::max(std::min(kKeyShare * terms.key_ttl_ms, terms.key_ttl_ms - kKeyMargin), 0.0);
}

// Whether an attempt that ended so may have had its effect.
inline bool may_have_run(Outcome outcome) {
  return outcome != Outcome::kFull && outcome != Outcome::kConnectFailed && outcome != Outcome::kNotSent;
}

enum class SendVerdict : std::uint8_t {
  kAllowed,
  kAnswered,      // the request has its final answer, or its client has gone
  kClientLeft,    // its client has closed its connection, and the engine has not been told yet
  kTimeUp,        // of the request or of the attempt
  kTooMany,       // attempts of one request
  kStillOut,      // another attempt is out, and no further copy may be
  kMayHaveRun,    // an attempt may have run, and the class is not safe to repeat
  kKeyForgotten,  // ... and its key's lifetime is over
  kOtherGroup,    // ... and this host would not discard the repeat
  kNotListed,     // the host drains or is gone
  kOtherProcess,  // the host has started anew since the decision
};
inline constexpr std::string_view kSendVerdictNames[] = {
    "allowed",      "answered",      "client_left", "time_up",    "too_many",     "still_out",
    "may_have_run", "key_forgotten", "other_group", "not_listed", "other_process"};
inline constexpr std::size_t kSendVerdicts = std::size(kSendVerdictNames);

// What a request's other attempts leave for one more. An attempt has `host`, `place`, `sent`, `out` and
// `may_have_run`; one that is out may have run.
template <class Attempt>
struct RepeatLimits {
  SendVerdict verdict = SendVerdict::kAllowed;
  const Attempt* bound = nullptr;  // if allowed: only to hosts of this attempt's group

  bool allows(const ClassSettings& terms, HostId host, const HostPlace& place) const {
    if (!bound) return true;
    return (bound->host == host && bound->place == place) || same_group(terms.group, bound->place, place);
  }
};

template <class Attempts>
auto repeat_limits(const ClassSettings& terms, const Attempts& others, Ms now) {
  RepeatLimits<typename Attempts::value_type> limits;
  if (terms.repeat == Repeat::kSafe) return limits;
  for (const auto& a : others) {
    if (!a.out && !a.may_have_run) continue;
    if (terms.repeat == Repeat::kUnsafe || terms.group == KeyGroup::kNone) {
      limits.verdict = SendVerdict::kMayHaveRun;
      return limits;
    }
    if (now > a.sent + repeat_window(terms)) limits.verdict = SendVerdict::kKeyForgotten;
    if (!limits.bound) limits.bound = &a;
  }
  return limits;
}

// Whether one more may go out beside those that are out.
template <class Attempts>
bool may_have_copy(const Attempts& others, bool second_copies) {
  const auto out = std::count_if(others.begin(), others.end(), [](const auto& a) { return a.out; });
  return out == 0 || (second_copies && out == 1);
}

// A refusal tells the client that a repeat is harmless.
template <class Attempts>
bool may_refuse(const ClassSettings& terms, const Attempts& attempts) {
  if (terms.repeat == Repeat::kSafe) return true;
  if (terms.repeat == Repeat::kKeyed && terms.group == KeyGroup::kAll) return true;
  return std::none_of(attempts.begin(), attempts.end(),
                      [](const auto& a) { return a.out || a.may_have_run; });
}

}  // namespace cometfold
