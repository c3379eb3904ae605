// The monitors of all five rules together.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "rules/monitor.h"

namespace cometfold::rules {

class RuleMonitors {
 public:
  struct Tolerances {
    Ms reply_slack_ms = 50;
    Ms drain_grace_ms = 250;
    Ms ceiling_slack_ms = 150;  // of a ceiling's rate
    double warm_host_capacity =
        0;  // requests a second of a host that has warmed up; 0: unknown, slow start unchecked
  };
  RuleMonitors(const AdmissionSettings& settings, const Tolerances& tolerances);
  void observe(const Event& event);
  void check_deadlines(Ms now);
  // The first kMaxViolations of them, in order of time.
  const std::vector<Violation>& violations() const { return violations_; }
  void digest(engine::Digest& into) const;

 private:
  void record(std::optional<Violation> violation);

  std::vector<std::unique_ptr<Monitor>> monitors_;
  std::vector<Violation> violations_;
};

}  // namespace cometfold::rules
