// Names of states in the members' JSON, the metrics and the log. They are part of the external interface and
// must not change.
#pragma once

#include <cstddef>
#include <string_view>

#include "membership/connectivity.h"
#include "membership/member_view.h"

namespace cometfold::membership {

constexpr std::string_view name_of(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kFailed:
      return "failed";
    case MemberState::kLeft:
      break;
  }
  return "left";
}

constexpr std::string_view name_of(ConnectivityState state) {
  switch (state) {
    case ConnectivityState::kConnected:
      return "together";
    case ConnectivityState::kDegraded:
      return "doubtful";
    case ConnectivityState::kPartitioned:
      return "cut-off";
    case ConnectivityState::kIsolated:
      break;
  }
  return "alone";
}

}  // namespace cometfold::membership
