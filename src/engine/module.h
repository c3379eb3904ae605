// What the engine asks for its decisions. The product's answer is `AdmissionController`; the explorer also
// plays a module that decides anything that this interface can express.
#pragma once

#include <cstdint>
#include <span>

#include "cometfold/admission_controller.h"

namespace cometfold::engine {

// Events go in, in order of time; actions come out through `out` before the call returns. Any call may throw:
// the engine then goes on without that decision.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;
  virtual void start(Ms now, ActionSink& out) = 0;
  virtual void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                            ActionSink& out) = 0;
  virtual void on_request(Ms now, const Request& request, ActionSink& out) = 0;
  virtual void on_attempt_end(Ms now, const AttemptResult& end, ActionSink& out) = 0;
  // The value of an attempt begins to come; its end is `on_attempt_end`. Some modules need not know.
  virtual void on_stream_started(Ms, RequestId, std::uint32_t, ActionSink&) {}
  virtual void on_client_disconnected(Ms now, RequestId request, ActionSink& out) = 0;
  virtual void on_timer(Ms now, std::uint64_t token, ActionSink& out) = 0;
};

// The real decisions.
class ControllerPolicy : public AdmissionPolicy {
 public:
  ControllerPolicy(const AdmissionSettings& settings, std::uint64_t seed) : control_(settings, seed) {}
  void start(Ms now, ActionSink& out) override { control_.start(now, out); }
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                    ActionSink& out) override {
    control_.on_host_list(now, kind, entries, out);
  }
  void on_request(Ms now, const Request& request, ActionSink& out) override {
    control_.on_request(now, request, out);
  }
  void on_attempt_end(Ms now, const AttemptResult& end, ActionSink& out) override {
    control_.on_attempt_end(now, end, out);
  }
  void on_stream_started(Ms now, RequestId request, std::uint32_t attempt, ActionSink& out) override {
    control_.on_stream_started(now, request, attempt, out);
  }
  void on_client_disconnected(Ms now, RequestId request, ActionSink& out) override {
    control_.on_client_disconnected(now, request, out);
  }
  void on_timer(Ms now, std::uint64_t token, ActionSink& out) override { control_.on_timer(now, token, out); }
  // Between events only.
  void update_settings(Ms now, const AdmissionSettings& settings) { control_.update_settings(now, settings); }
  HandoverSnapshot export_handover(Ms now) { return control_.export_handover(now); }
  void import_handover(Ms now, const HandoverSnapshot& state) { control_.import_handover(now, state); }
  void assume_unknown_predecessor(Ms now) { control_.assume_unknown_predecessor(now); }
  void on_predecessor_exited(Ms now) { control_.on_predecessor_exited(now); }
  std::size_t excluded_host_count(Ms now) const { return control_.excluded_host_count(now); }

 private:
  AdmissionController control_;
};

}  // namespace cometfold::engine
