#include "net/decision_log.h"

#include <cstdio>

namespace cometfold::net {

namespace {

// Forwards all actions and records the decision on one request.
class DecisionObserver : public ActionSink {
 public:
  DecisionObserver(ActionSink& out, RequestId request) : out_(out), request_(request) {}
  void send(RequestId request, HostId host, Ms remaining) override {
    if (request == request_) decision_ = "sent";
    out_.send(request, host, remaining);
  }
  void cancel(RequestId request, std::uint32_t attempt) override { out_.cancel(request, attempt); }
  void reject(RequestId request, Ms retry_after, RejectionReason reason) override {
    on_rejected(request, reason);
    out_.reject(request, retry_after, reason);
  }
  void fail(RequestId request, RejectionReason reason) override {
    on_rejected(request, reason);
    out_.fail(request, reason);
  }
  void schedule_timer(Ms delay, std::uint64_t token) override { out_.schedule_timer(delay, token); }
  void send_health_check(HostId host) override { out_.send_health_check(host); }
  void watch_hosts() override { out_.watch_hosts(); }
  void poll_hosts() override { out_.poll_hosts(); }
  void log(std::string_view text) override { out_.log(text); }
  const std::string& decision() const { return decision_; }

 private:
  void on_rejected(RequestId request, RejectionReason reason) {
    if (request != request_) return;
    decision_ = "refused=" + std::string(kRejectionReasonNames[static_cast<std::size_t>(reason)]);
  }

  ActionSink& out_;
  RequestId request_;
  std::string decision_ = "held";
};

}  // namespace

void DecisionLog::start(Ms now, ActionSink& out) {
  char text[400];
  for (std::size_t i = 0; i < settings_.plans.size(); ++i) {
    const auto& plan = settings_.plans[i];
    std::snprintf(text, sizeof text,
                  "plan=%zu rate=%.9g burst=%.9g pays=%.9g cost=%.9g earns=%.9g ceiling=%.9g "
                  "ceilingburst=%.9g open=%.9g",
                  i, plan.quota_rate, plan.quota_burst, plan.plan_weight, plan.over_quota_cost,
                  plan.over_quota_value, plan.ceiling_rate, plan.ceiling_burst, plan.max_concurrent_attempts);
    write_(text);
  }
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    const auto& request_class = settings_.classes[i];
    std::snprintf(text, sizeof text, "class=%zu worth=%.9g aim=%.9g deadline=%.9g", i,
                  request_class.priority_weight, request_class.latency_objective_ms,
                  request_class.deadline_ms);
    write_(text);
  }
  policy_.start(now, out);
}

void DecisionLog::on_request(Ms now, const Request& request, ActionSink& out) {
  DecisionObserver observer(out, request.id);
  policy_.on_request(now, request, observer);
  char text[160];
  std::snprintf(text, sizeof text, "customer=%llx plan=%u class=%u units=%.6g spread=%.0f %s",
                static_cast<unsigned long long>(request.customer), request.plan_index, request.class_index,
                request.units, request.gateway_count, observer.decision().c_str());
  write_(text);
}

}  // namespace cometfold::net
