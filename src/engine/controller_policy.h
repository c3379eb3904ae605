// The gateway's policy: passes the engine's events to the `AdmissionController`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "cometfold/admission_controller.h"
#include "engine/admission_policy.h"

namespace cometfold::engine {

class ControllerPolicy : public AdmissionPolicy {
 public:
  ControllerPolicy(const AdmissionSettings& settings, std::uint64_t seed) : controller_(settings, seed) {}
  void start(Ms now, ActionSink& out) override { controller_.start(now, out); }
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                    ActionSink& out) override {
    controller_.on_host_list(now, kind, entries, out);
  }
  void on_request(Ms now, const Request& request, ActionSink& out) override {
    controller_.on_request(now, request, out);
  }
  void on_attempt_end(Ms now, const AttemptResult& result, ActionSink& out) override {
    controller_.on_attempt_end(now, result, out);
  }
  void on_stream_started(Ms now, RequestId request, std::uint32_t attempt, ActionSink& out) override {
    controller_.on_stream_started(now, request, attempt, out);
  }
  void on_stream_paused(Ms now, RequestId request, std::uint32_t attempt, ActionSink& out) override {
    controller_.on_stream_paused(now, request, attempt, out);
  }
  void on_client_disconnected(Ms now, RequestId request, ActionSink& out) override {
    controller_.on_client_disconnected(now, request, out);
  }
  void on_timer(Ms now, std::uint64_t token, ActionSink& out) override {
    controller_.on_timer(now, token, out);
  }
  // The calls below may be made only between events, never while the policy is being called.
  void update_settings(Ms now, const AdmissionSettings& settings) {
    controller_.update_settings(now, settings);
  }
  HandoverSnapshot export_handover(Ms now) { return controller_.export_handover(now); }
  void import_handover(Ms now, const HandoverSnapshot& snapshot) {
    controller_.import_handover(now, snapshot);
  }
  void assume_unknown_predecessor(Ms now) { controller_.assume_unknown_predecessor(now); }
  void on_predecessor_exited(Ms now) { controller_.on_predecessor_exited(now); }
  std::size_t excluded_host_count(Ms now) const { return controller_.excluded_host_count(now); }

 private:
  AdmissionController controller_;
};

}  // namespace cometfold::engine
