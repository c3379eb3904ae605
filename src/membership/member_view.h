// The view of members that a gateway shows to operators.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cometfold/admission_controller.h"

namespace cometfold::membership {

// The status of a member's record, or suspect if the member is alive but suspected or unreachable.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

struct MemberView {
  std::string name, address;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  Ms since = 0;                     // when the member entered the state, as far as this gateway knows
  std::string reported_by;          // the member that reported the state
  std::optional<Ms> round_trip_ms;  // smoothed; only for subjects of this gateway
  std::optional<double> loss_rate;  // fraction of unanswered pings; only for subjects of this gateway
};

}  // namespace cometfold::membership
