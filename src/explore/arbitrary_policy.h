// A policy for World that may take any action the interface allows, including invalid ones: attempts after
// the reply and to removed hosts, cancellation of ended attempts, second replies, exceptions. Private to the
// implementation of World.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "engine/admission_policy.h"
#include "engine/digest.h"
#include "explore/world.h"

namespace cometfold::explore {

class World::ArbitraryPolicy : public engine::AdmissionPolicy {
 public:
  explicit ArbitraryPolicy(World& world) : world_(world), actions_left_(world.scenario_.max_policy_actions) {}

  void start(Ms, ActionSink&) override {}
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                    ActionSink& out) override;
  void on_request(Ms now, const Request& request, ActionSink& out) override;
  void on_attempt_end(Ms now, const AttemptResult& result, ActionSink& out) override;
  void on_client_disconnected(Ms now, RequestId request, ActionSink& out) override;
  void on_timer(Ms now, std::uint64_t token, ActionSink& out) override;
  void digest(engine::Digest& into) const;

 private:
  struct Action {
    enum Kind : std::uint8_t { kNothing, kSend, kReject, kFail, kCancel, kThrow };
    Kind kind = kNothing;
    std::uint32_t target = 0;  // host or attempt
    std::string label;         // as stored in trace files
  };

  // The first option is the default: to send a new request to a host, otherwise to do nothing.
  std::vector<Action> possible_actions(bool is_new_request) const;
  // Takes actions on a request until the chooser picks none or the limit is reached. `event_name` is the part
  // of the label that names the event.
  void take_actions(ActionSink& out, RequestId request, const char* event_name, bool is_new_request);
  void take(ActionSink& out, RequestId request, const Action& action);

  World& world_;
  int actions_left_;
  std::vector<RequestId> requests_;
};

}  // namespace cometfold::explore
