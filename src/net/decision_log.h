// A line for each request with the decision on its arrival, from which tools/count_quotas.py counts quotas
// over many gateways. Off without `[log] decisions` in the gateway's own settings.
#pragma once

#include <functional>
#include <string>

#include "engine/admission_policy.h"

namespace cometfold::net {

// A decorator of an admission policy, which passes all inputs and actions on unchanged. `policy` and
// `settings` must outlive it. `write` receives, at the start, one line for each plan, "plan=P rate=R burst=B
// pays=W cost=C earns=E ceiling=H ceilingburst=I open=O", and one for each class, "class=K worth=W aim=MS
// deadline=MS". Then it receives a line for each request, "customer=C plan=P class=K units=U spread=S sent",
// which ends in "refused=CAUSE" if the request was rejected and in "held" if neither was decided on its
// arrival.
class DecisionLog : public engine::AdmissionPolicy {
 public:
  using Write = std::function<void(const std::string& line)>;
  DecisionLog(engine::AdmissionPolicy& policy, const AdmissionSettings& settings, Write write)
      : policy_(policy), settings_(settings), write_(std::move(write)) {}

  void start(Ms now, ActionSink& out) override;
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                    ActionSink& out) override {
    policy_.on_host_list(now, kind, entries, out);
  }
  void on_request(Ms now, const Request& request, ActionSink& out) override;
  void on_attempt_end(Ms now, const AttemptResult& end, ActionSink& out) override {
    policy_.on_attempt_end(now, end, out);
  }
  void on_stream_started(Ms now, RequestId request, std::uint32_t attempt, ActionSink& out) override {
    policy_.on_stream_started(now, request, attempt, out);
  }
  void on_stream_paused(Ms now, RequestId request, std::uint32_t attempt, ActionSink& out) override {
    policy_.on_stream_paused(now, request, attempt, out);
  }
  void on_client_disconnected(Ms now, RequestId request, ActionSink& out) override {
    policy_.on_client_disconnected(now, request, out);
  }
  void on_timer(Ms now, std::uint64_t token, ActionSink& out) override { policy_.on_timer(now, token, out); }

 private:
  engine::AdmissionPolicy& policy_;
  const AdmissionSettings& settings_;
  Write write_;
};

}  // namespace cometfold::net
