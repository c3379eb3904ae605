// A policy decorator for World. Forwards all calls and records the inputs of the inner policy, as the state
// of a deterministic policy is a function of them. Also checks that the end of each attempt is reported only
// once. Private to the implementation of World.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string_view>
#include <utility>

#include "engine/admission_policy.h"
#include "explore/world.h"

namespace cometfold::explore {

class World::RecordingPolicy : public engine::AdmissionPolicy, private ActionSink {
 public:
  RecordingPolicy(World& world, std::unique_ptr<engine::AdmissionPolicy> inner)
      : world_(world), inner_(std::move(inner)) {}

  void start(Ms now, ActionSink& out) override;
  void on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                    ActionSink& out) override;
  void on_request(Ms now, const Request& request, ActionSink& out) override;
  void on_attempt_end(Ms now, const AttemptResult& result, ActionSink& out) override;
  void on_client_disconnected(Ms now, RequestId request, ActionSink& out) override;
  void on_timer(Ms now, std::uint64_t token, ActionSink& out) override;

  std::size_t in_flight_count() const { return in_flight_.size(); }

 private:
  // Adds the time and the kind of a call to the digest of inputs.
  void record(Ms now, std::uint64_t kind);
  // Makes a call to the inner policy, and forwards its actions to `out` until the call returns or throws.
  template <class Call>
  void forward(ActionSink& out, Call&& call);

  // ActionSink
  void send(RequestId request, HostId host, Ms timeout) override;
  void cancel(RequestId request, std::uint32_t attempt) override;
  void reject(RequestId request, Ms retry_after, RejectionReason reason) override;
  void fail(RequestId request, RejectionReason reason) override;
  void schedule_timer(Ms delay, std::uint64_t token) override { sink_->schedule_timer(delay, token); }
  void send_health_check(HostId) override {}
  void watch_hosts() override {}
  void poll_hosts() override {}
  void log(std::string_view text) override;

  World& world_;
  std::unique_ptr<engine::AdmissionPolicy> inner_;
  ActionSink* sink_ = nullptr;
  std::map<RequestId, std::uint32_t> attempt_counts_;
  std::set<std::pair<RequestId, std::uint32_t>> in_flight_;
};

}  // namespace cometfold::explore
