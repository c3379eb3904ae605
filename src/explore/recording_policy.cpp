#include "explore/recording_policy.h"

#include <string>

namespace cometfold::explore {

void World::RecordingPolicy::record(Ms now, std::uint64_t kind) {
  world_.policy_input_.add(now);
  world_.policy_input_.add(kind);
}

template <class Call>
void World::RecordingPolicy::forward(ActionSink& out, Call&& call) {
  // Calls may be nested, and may throw.
  struct SinkRestorer {
    ActionSink*& sink;
    ActionSink* previous;
    ~SinkRestorer() { sink = previous; }
  };
  const SinkRestorer restorer{sink_, std::exchange(sink_, &out)};
  call();
}

void World::RecordingPolicy::start(Ms now, ActionSink& out) {
  forward(out, [&] { inner_->start(now, *this); });
}

void World::RecordingPolicy::on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                                          ActionSink& out) {
  record(now, 1);
  for (const auto& entry : entries) {
    world_.policy_input_.add(std::uint64_t{entry.id} << 2 | static_cast<std::uint64_t>(entry.state));
    world_.policy_input_.add(entry.started_at);
  }
  forward(out, [&] { inner_->on_host_list(now, kind, entries, *this); });
}

void World::RecordingPolicy::on_request(Ms now, const Request& request, ActionSink& out) {
  record(now, 2);
  world_.policy_input_.add(request.id);
  forward(out, [&] { inner_->on_request(now, request, *this); });
}

void World::RecordingPolicy::on_attempt_end(Ms now, const AttemptResult& result, ActionSink& out) {
  record(now, 3);
  world_.policy_input_.add(result.request << 8 | result.attempt);
  world_.policy_input_.add(std::uint64_t{result.host} << 8 | static_cast<std::uint64_t>(result.outcome) << 1 |
                           std::uint64_t{result.request_finished});
  if (!in_flight_.erase({result.request, result.attempt})) {
    world_.report_violation("the engine's promise",
                            "the policy was notified of the end of an attempt that is not in flight");
  }
  forward(out, [&] { inner_->on_attempt_end(now, result, *this); });
}

void World::RecordingPolicy::on_client_disconnected(Ms now, RequestId request, ActionSink& out) {
  record(now, 4);
  world_.policy_input_.add(request);
  forward(out, [&] { inner_->on_client_disconnected(now, request, *this); });
}

void World::RecordingPolicy::on_timer(Ms now, std::uint64_t token, ActionSink& out) {
  record(now, 5);
  world_.policy_input_.add(token);
  forward(out, [&] { inner_->on_timer(now, token, *this); });
}

// The engine numbers the attempts of a request in the order of these calls.
void World::RecordingPolicy::send(RequestId request, HostId host, Ms timeout) {
  world_.log("  policy: send request " + std::to_string(request) + " to host " + std::to_string(host));
  in_flight_.insert({request, attempt_counts_[request]++});
  sink_->send(request, host, timeout);
}

void World::RecordingPolicy::cancel(RequestId request, std::uint32_t attempt) {
  world_.log("  policy: cancel attempt " + std::to_string(attempt) + " of request " +
             std::to_string(request));
  sink_->cancel(request, attempt);
}

void World::RecordingPolicy::reject(RequestId request, Ms retry_after, RejectionReason reason) {
  world_.log("  policy: reject request " + std::to_string(request));
  sink_->reject(request, retry_after, reason);
}

void World::RecordingPolicy::fail(RequestId request, RejectionReason reason) {
  world_.log("  policy: fail request " + std::to_string(request));
  sink_->fail(request, reason);
}

void World::RecordingPolicy::log(std::string_view text) { world_.log("  policy: " + std::string(text)); }

}  // namespace cometfold::explore
