// Rule "ceilings kept", across all gateways: the first attempt of each request draws its units from one token
// bucket for each customer, which starts full, refills at the ceiling's rate and may fall to minus the slack.
// The customer's attempts in flight stay within the plan's limit.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "rules/monitor.h"

namespace cometfold::rules {

class CeilingMonitor : public Monitor {
 public:
  // `extra_slack`: additional slack for real sockets, in milliseconds of the ceiling's rate.
  CeilingMonitor(const AdmissionSettings& settings, Ms extra_slack)
      : settings_(settings), extra_slack_(extra_slack) {}
  std::optional<Violation> observe(const Event& event) override;
  void digest(engine::Digest& into) const override;

 private:
  struct Customer {
    double tokens = 0;
    Ms refilled_at = 0;
    bool has_bucket = false;
    double in_flight = 0;
  };
  struct Request {
    std::uint32_t plan_index = 0;
    CustomerId customer = 0;
    double units = 1;
    bool drew_tokens = false;
  };
  void end_attempt(std::uint64_t connection);
  std::optional<Violation> check_attempt(const Event& event, Request& request);
  std::optional<Violation> draw_tokens(Ms now, Request& request, Customer& customer) const;

  AdmissionSettings settings_;
  Ms extra_slack_;
  std::map<CustomerId, Customer> customers_;
  std::map<std::uint64_t, Request> requests_;
  std::map<std::uint64_t, std::uint64_t> in_flight_;  // connection to request
};

}  // namespace cometfold::rules
