// Counts of the external processor since its start.
#pragma once

#include <cstdint>
#include <string>

namespace cometfold::extproc {

// In calls of `Process`.
struct ProcessorMetrics {
  std::uint64_t new_requests = 0;        // asked for a decision on a new request
  std::uint64_t retried_requests = 0;    // asked again for a request seen before
  std::uint64_t routed = 0;              // were given a host
  std::uint64_t rejected = 0;            // were given a rejection
  std::uint64_t failed = 0;              // were given a failure
  std::uint64_t bad_requests = 0;        // could not be mapped to a request
  std::uint64_t disconnected = 0;        // ended before their decision
  std::uint64_t reported = 0;            // reported how the attempt ended
  std::uint64_t unreported = 0;          // ended without a report
  std::uint64_t report_timeouts = 0;     // had not reported by the attempt's deadline
  std::uint64_t sent_to_other_host = 0;  // the proxy chose another host than the one it was given
  std::uint64_t withdrawn = 0;           // had their decision withdrawn before it left
  std::uint64_t out_of_order = 0;        // ended for a message that the protocol forbids at that point
  std::uint64_t malformed = 0;           // ended for bytes that are no message
  std::uint64_t observed = 0;            // in observability mode: nothing to decide
};

// One line of `name=value` words for the log.
std::string to_text(const ProcessorMetrics& metrics);

}  // namespace cometfold::extproc
