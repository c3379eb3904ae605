#include "net/request_log.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace cometfold::net {

namespace {

using engine::RequestEvent;

constexpr std::array<const char*, 9> kSteps{"taken",  "sent",    "first_byte", "written", "ended",
                                            "served", "refused", "failed",     "gone"};

bool of_attempt(RequestEvent::Kind what) {
  return what >= RequestEvent::kSent && what <= RequestEvent::kEnded;
}

std::string_view name_of(Outcome outcome) { return kOutcomeNames[static_cast<std::size_t>(outcome)]; }

}  // namespace

std::string to_line(const RequestEvent& step) {
  char text[256];
  int size =
      std::snprintf(text, sizeof text, "at=%.3f id=%016llx step=%s left=%.0f", step.at,
                    static_cast<unsigned long long>(step.identity), kSteps[step.kind], step.remaining_ms);
  std::string line(text, static_cast<std::size_t>(size));
  if (step.kind == RequestEvent::kAccepted) line += " connection=" + std::to_string(step.ticket.connection);
  if (of_attempt(step.kind)) {
    size = std::snprintf(text, sizeof text, " attempt=%llu host=%08x",
                         static_cast<unsigned long long>(step.attempt), step.host);
    line.append(text, static_cast<std::size_t>(size));
  }
  if (step.kind == RequestEvent::kEnded) line += " outcome=" + std::string(name_of(step.outcome));
  if (step.verdict != AttemptVerdict::kAllowed) {
    line += " stopped=" + std::string(kAttemptVerdictNames[static_cast<std::size_t>(step.verdict)]);
  }
  if (step.reason)
    line += " cause=" + std::string(kRejectionReasonNames[static_cast<std::size_t>(*step.reason)]);
  return line;
}

}  // namespace cometfold::net
