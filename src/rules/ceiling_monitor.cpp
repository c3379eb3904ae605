#include "rules/ceiling_monitor.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "rules/violation_text.h"

namespace cometfold::rules {

namespace {

Violation make_violation(CustomerId customer, const std::string& what) {
  return {"ceilings kept", "customer " + std::to_string(customer) + what};
}

}  // namespace

std::optional<Violation> CeilingMonitor::observe(const Event& event) {
  if (event.kind == Event::kRequestReceived) {
    requests_[event.request] = {event.plan_index, event.customer, event.units, false};
  }
  if (event.kind == Event::kAttemptEnded || event.kind == Event::kNotExecuted) end_attempt(event.connection);
  if (event.kind != Event::kAttemptWritten) return {};
  const auto found = requests_.find(event.request);
  if (found == requests_.end()) return {};
  return check_attempt(event, found->second);
}

void CeilingMonitor::end_attempt(std::uint64_t connection) {
  const auto attempt = in_flight_.find(connection);
  if (attempt == in_flight_.end()) return;
  const auto request = requests_.find(attempt->second);
  if (request != requests_.end()) customers_[request->second.customer].in_flight -= 1;
  in_flight_.erase(attempt);
}

std::optional<Violation> CeilingMonitor::check_attempt(const Event& event, Request& request) {
  const auto& plan = settings_.plans[request.plan_index];
  Customer& customer = customers_[request.customer];
  in_flight_[event.connection] = event.request;
  customer.in_flight += 1;
  const double max_in_flight = std::ceil(plan.max_concurrent_attempts + plan.ceiling_slack);
  if (plan.max_concurrent_attempts > 0 && customer.in_flight > max_in_flight + kRoundingTolerance) {
    return make_violation(request.customer, " has " + format_number(customer.in_flight) +
                                                " attempts in flight; its plan allows " +
                                                format_number(plan.max_concurrent_attempts));
  }
  if (plan.ceiling_rate <= 0 || std::exchange(request.drew_tokens, true)) return {};
  return draw_tokens(event.at, request, customer);
}

std::optional<Violation> CeilingMonitor::draw_tokens(Ms now, Request& request, Customer& customer) const {
  const auto& plan = settings_.plans[request.plan_index];
  if (!std::exchange(customer.has_bucket, true)) {
    customer.tokens = plan.ceiling_burst;
    customer.refilled_at = now;
  }
  const double refill = plan.ceiling_rate * (now - customer.refilled_at) / 1000;
  customer.tokens = std::min(plan.ceiling_burst, customer.tokens + refill) - request.units;
  customer.refilled_at = now;
  const double slack = plan.ceiling_slack + plan.ceiling_rate * extra_slack_ / 1000;
  if (customer.tokens >= -slack - kRoundingTolerance) return {};
  return make_violation(request.customer, " exceeds its ceiling by " + format_number(-customer.tokens) +
                                              " units; the slack is " + format_number(slack));
}

void CeilingMonitor::digest(engine::Digest& into) const {
  for (const auto& [id, customer] : customers_) {
    into.add(id);
    into.add(customer.tokens);
    into.add(customer.refilled_at);
    into.add(customer.in_flight);
  }
}

}  // namespace cometfold::rules
