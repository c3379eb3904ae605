// Members as one gateway shows them to operators.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cometfold/admission_controller.h"

namespace cometfold::membership {

// A record's status, or suspect where an alive member is suspected or unreachable.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

struct MemberView {
  std::string name, address;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  Ms since = 0;                     // when this gateway saw it enter the state
  std::string reported_by;          // the member that reported the state
  std::optional<Ms> round_trip_ms;  // smoothed; of subjects of this gateway only
  std::optional<double> loss_rate;  // fraction of unanswered pings; of subjects of this gateway only
};

}  // namespace cometfold::membership
