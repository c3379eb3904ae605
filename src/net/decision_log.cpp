#include "net/decision_log.h"

#include <cstdio>

namespace cometfold::net {

namespace {

// Passes all on and remembers what became of one request.
class Watching : public ActionSink {
 public:
  Watching(ActionSink& out, RequestId request) : out_(out), request_(request) {}
  void send(RequestId r, HostId h, Ms left) override {
    if (r == request_) what_ = "sent";
    out_.send(r, h, left);
  }
  void cancel(RequestId r, std::uint32_t attempt) override { out_.cancel(r, attempt); }
  void reject(RequestId r, Ms after, RejectionReason why) override {
    ended(r, why);
    out_.reject(r, after, why);
  }
  void fail(RequestId r, RejectionReason why) override {
    ended(r, why);
    out_.fail(r, why);
  }
  void schedule_timer(Ms after, std::uint64_t token) override { out_.schedule_timer(after, token); }
  void send_health_check(HostId h) override { out_.send_health_check(h); }
  void watch_hosts() override { out_.watch_hosts(); }
  void poll_hosts() override { out_.poll_hosts(); }
  void log(std::string_view text) override { out_.log(text); }
  const std::string& what() const { return what_; }

 private:
  void ended(RequestId r, RejectionReason why) {
    if (r == request_) what_ = "refused=" + std::string(kRejectionReasonNames[static_cast<std::size_t>(why)]);
  }
  ActionSink& out_;
  RequestId request_;
  std::string what_ = "held";
};

}  // namespace

void DecisionLog::start(Ms now, ActionSink& out) {
  char text[400];
  for (std::size_t i = 0; i < settings_.plans.size(); ++i) {
    const auto& p = settings_.plans[i];
    std::snprintf(text, sizeof text,
                  "plan=%zu rate=%.9g burst=%.9g pays=%.9g cost=%.9g earns=%.9g ceiling=%.9g "
                  "ceilingburst=%.9g open=%.9g",
                  i, p.quota_rate, p.quota_burst, p.plan_weight, p.over_quota_cost, p.over_quota_value,
                  p.ceiling_rate, p.ceiling_burst, p.max_concurrent_attempts);
    write_(text);
  }
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    const auto& c = settings_.classes[i];
    std::snprintf(text, sizeof text, "class=%zu worth=%.9g aim=%.9g deadline=%.9g", i, c.priority_weight,
                  c.latency_objective_ms, c.deadline_ms);
    write_(text);
  }
  module_.start(now, out);
}

void DecisionLog::on_request(Ms now, const Request& q, ActionSink& out) {
  Watching watching(out, q.id);
  module_.on_request(now, q, watching);
  char text[160];
  std::snprintf(text, sizeof text, "customer=%llx plan=%u class=%u units=%.6g spread=%.0f %s",
                static_cast<unsigned long long>(q.customer), q.plan_index, q.class_index, q.units,
                q.gateway_count, watching.what().c_str());
  write_(text);
}

}  // namespace cometfold::net
