#include "explore/mutant_names.h"

#include <algorithm>
#include <array>

namespace cometfold::explore {

namespace {

using engine::Mutant;

struct MutantName {
  Mutant mutant;
  const char* name;
};

constexpr std::array<MutantName, engine::kMutantCount> kMutantNames{{
    {Mutant::kNone, "none"},
    {Mutant::kDuplicateReply, "answers-twice"},
    {Mutant::kReportsResetAsConnectFailure, "resends-after-reset"},
    {Mutant::kKeepsWaitingAttemptsOnDrain, "forgets-waiting-drain"},
    {Mutant::kSendsAfterReply, "sends-after-answer"},
    {Mutant::kServesAbandonedAttempt, "serves-late-answer"},
    {Mutant::kAcceptsExtraBytes, "ignores-noise"},
    {Mutant::kIgnoresClientDisconnect, "loses-gone-client"},
    {Mutant::kNoDeadlineTimer, "forgets-deadline"},
    {Mutant::kDropsRequestOnPolicyException, "loses-thrown-request"},
    {Mutant::kServesMalformedReply, "serves-spoilt"},
    {Mutant::kNoRetirementOnPolicyException, "skips-retire-on-throw"},
    {Mutant::kAllowsDuplicateIdentity, "shares-identity"},
    {Mutant::kRepliesOutOfOrder, "answers-out-of-order"},
    {Mutant::kShutdownWithoutReplies, "stops-without-settling"},
    {Mutant::kLeaksIdentity, "keeps-identity"},
    {Mutant::kReadsAfterMalformedReply, "reads-on-after-spoilt"},
    {Mutant::kReleasesIdentityEarly, "frees-identity-early"},
    {Mutant::kReportsAttemptEndTwice, "reports-end-twice"},
}};

}  // namespace

std::string name_of(Mutant mutant) {
  const auto found = std::find_if(kMutantNames.begin(), kMutantNames.end(),
                                  [&](const MutantName& entry) { return entry.mutant == mutant; });
  return found == kMutantNames.end() ? "" : found->name;
}

std::optional<Mutant> mutant_named(const std::string& name) {
  const auto found = std::find_if(kMutantNames.begin(), kMutantNames.end(),
                                  [&](const MutantName& entry) { return entry.name == name; });
  if (found == kMutantNames.end()) return {};
  return found->mutant;
}

}  // namespace cometfold::explore
