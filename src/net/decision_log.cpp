#include "net/decision_log.h"

#include <cstdio>

namespace cometfold::net {

namespace {

// Passes all on and remembers what became of one request.
class Watching : public Actions {
 public:
  Watching(Actions& out, RequestId request) : out_(out), request_(request) {}
  void send(RequestId r, HostId h, Ms left) override {
    if (r == request_) what_ = "sent";
    out_.send(r, h, left);
  }
  void cancel(RequestId r, std::uint32_t attempt) override { out_.cancel(r, attempt); }
  void refuse(RequestId r, Ms after, Cause why) override {
    ended(r, why);
    out_.refuse(r, after, why);
  }
  void fail(RequestId r, Cause why) override {
    ended(r, why);
    out_.fail(r, why);
  }
  void wake(Ms after, std::uint64_t token) override { out_.wake(after, token); }
  void probe(HostId h) override { out_.probe(h); }
  void follow_list() override { out_.follow_list(); }
  void fetch_list() override { out_.fetch_list(); }
  void note(std::string_view text) override { out_.note(text); }
  const std::string& what() const { return what_; }

 private:
  void ended(RequestId r, Cause why) {
    if (r == request_) what_ = "refused=" + std::string(kCauseNames[static_cast<std::size_t>(why)]);
  }
  Actions& out_;
  RequestId request_;
  std::string what_ = "held";
};

}  // namespace

void DecisionLog::start(Ms now, Actions& out) {
  char text[400];
  for (std::size_t i = 0; i < settings_.plans.size(); ++i) {
    const auto& p = settings_.plans[i];
    std::snprintf(text, sizeof text,
                  "plan=%zu rate=%.9g burst=%.9g pays=%.9g cost=%.9g earns=%.9g ceiling=%.9g "
                  "ceilingburst=%.9g open=%.9g",
                  i, p.quota_rate, p.burst, p.pays, p.overrun_cost, p.beyond_earns, p.ceiling_rate,
                  p.ceiling_burst, p.open_limit);
    write_(text);
  }
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    const auto& c = settings_.classes[i];
    std::snprintf(text, sizeof text, "class=%zu worth=%.9g aim=%.9g deadline=%.9g", i, c.worth, c.aim_ms,
                  c.deadline_ms);
    write_(text);
  }
  module_.start(now, out);
}

void DecisionLog::on_request(Ms now, const Request& q, Actions& out) {
  Watching watching(out, q.id);
  module_.on_request(now, q, watching);
  char text[160];
  std::snprintf(text, sizeof text, "customer=%llx plan=%u class=%u units=%.6g spread=%.0f %s",
                static_cast<unsigned long long>(q.customer), q.plan_index, q.class_index, q.units, q.spread,
                watching.what().c_str());
  write_(text);
}

}  // namespace cometfold::net
