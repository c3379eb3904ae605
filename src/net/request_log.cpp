#include "net/request_log.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace cometfold::net {

namespace {

using engine::Transition;

constexpr std::array<const char*, 9> kSteps{"taken",  "sent",    "first_byte", "written", "ended",
                                            "served", "refused", "failed",     "gone"};

bool of_attempt(Transition::What what) { return what >= Transition::kSent && what <= Transition::kEnded; }

std::string_view name_of(Outcome outcome) { return kOutcomeNames[static_cast<std::size_t>(outcome)]; }

}  // namespace

std::string to_line(const Transition& step) {
  char text[256];
  int size = std::snprintf(text, sizeof text, "at=%.3f id=%016llx step=%s left=%.0f", step.at,
                           static_cast<unsigned long long>(step.identity), kSteps[step.what], step.left);
  std::string line(text, static_cast<std::size_t>(size));
  if (step.what == Transition::kTaken) line += " connection=" + std::to_string(step.ticket.connection);
  if (of_attempt(step.what)) {
    size = std::snprintf(text, sizeof text, " attempt=%llu host=%08x",
                         static_cast<unsigned long long>(step.attempt), step.host);
    line.append(text, static_cast<std::size_t>(size));
  }
  if (step.what == Transition::kEnded) line += " outcome=" + std::string(name_of(step.outcome));
  if (step.stopped != SendVerdict::kAllowed) {
    line += " stopped=" + std::string(kSendVerdictNames[static_cast<std::size_t>(step.stopped)]);
  }
  if (step.cause) line += " cause=" + std::string(kCauseNames[static_cast<std::size_t>(*step.cause)]);
  return line;
}

}  // namespace cometfold::net
