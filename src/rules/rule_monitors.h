// Runs the monitors of all five rules.
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
    Ms ceiling_slack_ms = 150;  // in milliseconds of the ceiling's rate
    // Requests per second of a warm host; 0 if unknown: slow start is not checked.
    double warm_host_capacity = 0;
  };
  RuleMonitors(const AdmissionSettings& settings, const Tolerances& tolerances);
  void observe(const Event& event);
  void check_deadlines(Ms now);
  // In order of time; further violations are dropped once there are kMaxViolations.
  const std::vector<Violation>& violations() const { return violations_; }
  void digest(engine::Digest& into) const;

 private:
  void record(std::optional<Violation> violation);

  std::vector<std::unique_ptr<Monitor>> monitors_;
  std::vector<Violation> violations_;
};

}  // namespace cometfold::rules
