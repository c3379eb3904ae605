#include "admission/overdue_detector.h"

namespace cometfold::admission {
namespace {

// Time without an answer, while later attempts were answered, after which an attempt is overdue or failed.
constexpr double kOverdueClassLatencies = 2;  // in mean latencies of the class
constexpr double kFailedHostLatencies = 6;    // in mean latencies of the class at this host, if slower

}  // namespace

bool OverdueDetector::update(Attempt& attempt, const Request& request, Ms now) const {
  const Ms class_latency = latency_.class_latency(request.class_index);
  const Ms overdue_after = kOverdueClassLatencies * class_latency;
  const Ms elapsed = now - attempt.sent_at;
  if (!attempt.in_flight || elapsed < overdue_after) return false;
  const Ms newest_answered = hosts_.newest_answered_sent_at();
  Host& host = hosts_.find_or_create(attempt.host);
  if (!attempt.overdue && newest_answered >= attempt.sent_at + overdue_after / 2) {
    attempt.overdue = true;
    host.overdue_attempts += 1;
    host.silent_since = now;
  }
  const Ms failed_after = kFailedHostLatencies * class_latency * std::max(1.0, host.relative_latency) /
                          slow_start_.weight(host, now);
  if (attempt.failed || elapsed < failed_after || newest_answered < attempt.sent_at + failed_after / 2)
    return false;
  attempt.failed = true;
  return true;
}

}  // namespace cometfold::admission
