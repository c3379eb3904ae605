// Counters of membership since the start of the process.
#pragma once

#include <cstdint>

namespace cometfold::membership {

struct MembershipMetrics {
  std::uint64_t rate_limited = 0;      // outgoing datagrams dropped by the rate limit
  std::uint64_t rejected_members = 0;  // records beyond max_members, or without a valid name or address
  std::uint64_t stale_messages = 0;    // messages whose sender is not current: failed, left or outdated
  std::uint64_t suspicions_raised = 0, suspicions_withdrawn = 0;  // by this gateway
  std::uint64_t members_failed = 0;                               // members that this gateway declared failed
  std::uint64_t incarnations_raised = 0;  // because others declared this gateway failed or left
  std::uint64_t syncs = 0;                // syncs that this gateway requested
};

}  // namespace cometfold::membership
