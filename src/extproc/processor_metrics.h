// Counters of the external processor since its start.
#pragma once

#include <cstdint>
#include <string>

namespace cometfold::extproc {

// Each counter counts calls of `Process`.
struct ProcessorMetrics {
  std::uint64_t new_requests = 0;        // requested a decision on a new request
  std::uint64_t retried_requests = 0;    // requested a decision with an attempt count above 1
  std::uint64_t routed = 0;              // were sent a host
  std::uint64_t rejected = 0;            // were sent a rejection
  std::uint64_t failed = 0;              // were sent a failure
  std::uint64_t bad_requests = 0;        // could not be mapped to a request
  std::uint64_t disconnected = 0;        // ended before their decision
  std::uint64_t reported = 0;            // reported how the attempt ended
  std::uint64_t unreported = 0;          // ended without a report
  std::uint64_t report_timeouts = 0;     // had not reported when the engine abandoned the attempt
  std::uint64_t sent_to_other_host = 0;  // reported another host than the one they were sent
  std::uint64_t withdrawn = 0;           // had their decision withdrawn before it was sent
  std::uint64_t out_of_order = 0;        // ended because the protocol forbids the message at that point
  std::uint64_t malformed = 0;           // ended because a message could not be parsed
  std::uint64_t observed = 0;            // in observability mode, which needs no decision
};

// Returns one line of `name=value` pairs for the log.
std::string to_text(const ProcessorMetrics& metrics);

}  // namespace cometfold::extproc
