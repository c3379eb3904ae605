// What the engine asks for its decisions. The product's answer is `Control`; the explorer also plays a module
// that decides anything that this interface can express.
#pragma once

#include <cstdint>
#include <span>

#include "cometfold/admission_controller.h"

namespace cometfold::engine {

// Events go in, in order of time; actions come out through `out` before the call returns. Any call may throw:
// the engine then goes on without that decision.
class Module {
 public:
  virtual ~Module() = default;
  virtual void start(Ms now, Actions& out) = 0;
  virtual void on_list(Ms now, ListKind kind, std::span<const HostEntry> entries, Actions& out) = 0;
  virtual void on_request(Ms now, const Request& request, Actions& out) = 0;
  virtual void on_attempt_end(Ms now, const AttemptEnd& end, Actions& out) = 0;
  // The value of an attempt begins to come; its end is `on_attempt_end`. Some modules need not know.
  virtual void on_stream_begun(Ms, RequestId, std::uint32_t, Actions&) {}
  virtual void on_gone(Ms now, RequestId request, Actions& out) = 0;
  virtual void on_timer(Ms now, std::uint64_t token, Actions& out) = 0;
};

// The real decisions.
class ControlModule : public Module {
 public:
  ControlModule(const Settings& settings, std::uint64_t seed) : control_(settings, seed) {}
  void start(Ms now, Actions& out) override { control_.start(now, out); }
  void on_list(Ms now, ListKind kind, std::span<const HostEntry> entries, Actions& out) override {
    control_.on_list(now, kind, entries, out);
  }
  void on_request(Ms now, const Request& request, Actions& out) override {
    control_.on_request(now, request, out);
  }
  void on_attempt_end(Ms now, const AttemptEnd& end, Actions& out) override {
    control_.on_attempt_end(now, end, out);
  }
  void on_stream_begun(Ms now, RequestId request, std::uint32_t attempt, Actions& out) override {
    control_.on_stream_begun(now, request, attempt, out);
  }
  void on_gone(Ms now, RequestId request, Actions& out) override { control_.on_gone(now, request, out); }
  void on_timer(Ms now, std::uint64_t token, Actions& out) override { control_.on_timer(now, token, out); }
  // Between events only.
  void on_settings(Ms now, const Settings& settings) { control_.on_settings(now, settings); }
  HandedState hand_over(Ms now) { return control_.hand_over(now); }
  void take_over(Ms now, const HandedState& state) { control_.take_over(now, state); }
  void take_over_unknown(Ms now) { control_.take_over_unknown(now); }
  void predecessor_gone(Ms now) { control_.predecessor_gone(now); }
  std::size_t avoided(Ms now) const { return control_.avoided(now); }

 private:
  Control control_;
};

}  // namespace cometfold::engine
