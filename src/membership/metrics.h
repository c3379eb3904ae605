// Counters of membership since the start of the process.
#pragma once

#include <cstdint>

namespace cometfold::membership {

struct MembershipMetrics {
  std::uint64_t rate_limited = 0;      // outgoing datagrams beyond the rate limit
  std::uint64_t rejected_members = 0;  // members beyond the bound, and records without a valid name
  std::uint64_t stale_messages = 0;    // messages of members that have failed or left
  std::uint64_t suspicions_raised = 0, suspicions_withdrawn = 0;  // by this gateway
  std::uint64_t members_failed = 0;                               // members that this gateway declared failed
  std::uint64_t incarnations_raised = 0;  // own incarnations that others declared over
  std::uint64_t syncs = 0;                // syncs that this gateway requested
};

}  // namespace cometfold::membership
