#include "net/request_log.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace cometfold::net {

namespace {

using engine::RequestEvent;

// By RequestEvent::Kind.
constexpr std::array<const char*, 9> kStepNames{"taken",  "sent",    "first_byte", "written", "ended",
                                                "served", "refused", "failed",     "gone"};

bool is_attempt_event(RequestEvent::Kind kind) {
  return kind >= RequestEvent::kSent && kind <= RequestEvent::kEnded;
}

std::string_view name_of(Outcome outcome) { return kOutcomeNames[static_cast<std::size_t>(outcome)]; }

}  // namespace

std::string to_line(const RequestEvent& event) {
  char text[256];
  int size = std::snprintf(text, sizeof text, "at=%.3f id=%016llx step=%s left=%.0f", event.at,
                           static_cast<unsigned long long>(event.identity), kStepNames[event.kind],
                           event.remaining_ms);
  std::string line(text, static_cast<std::size_t>(size));
  if (event.kind == RequestEvent::kAccepted)
    line += " connection=" + std::to_string(event.response.connection);
  if (is_attempt_event(event.kind)) {
    size = std::snprintf(text, sizeof text, " attempt=%llu host=%08x",
                         static_cast<unsigned long long>(event.attempt), event.host);
    line.append(text, static_cast<std::size_t>(size));
  }
  if (event.kind == RequestEvent::kEnded) line += " outcome=" + std::string(name_of(event.outcome));
  if (event.verdict != AttemptVerdict::kAllowed) {
    line += " stopped=" + std::string(kAttemptVerdictNames[static_cast<std::size_t>(event.verdict)]);
  }
  if (event.reason)
    line += " cause=" + std::string(kRejectionReasonNames[static_cast<std::size_t>(*event.reason)]);
  return line;
}

}  // namespace cometfold::net
