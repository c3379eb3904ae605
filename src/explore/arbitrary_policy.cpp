#include "explore/arbitrary_policy.h"

#include <stdexcept>
#include <utility>

namespace cometfold::explore {

namespace {

constexpr Ms kTimerDelayMs = 100;
constexpr Ms kRetryAfterMs = 10;

}  // namespace

void World::ArbitraryPolicy::on_host_list(Ms, HostListUpdate, std::span<const HostEntry>, ActionSink& out) {
  if (!requests_.empty()) take_actions(out, requests_.back(), "told a list", false);
}

void World::ArbitraryPolicy::on_request(Ms, const Request& request, ActionSink& out) {
  requests_.push_back(request.id);
  out.schedule_timer(kTimerDelayMs, request.id);
  ++actions_left_;  // one action for each request does not count against the limit
  take_actions(out, request.id, "asked", true);
}

void World::ArbitraryPolicy::on_attempt_end(Ms, const AttemptResult& result, ActionSink& out) {
  take_actions(out, result.request, "told an end", false);
}

void World::ArbitraryPolicy::on_client_disconnected(Ms, RequestId request, ActionSink& out) {
  take_actions(out, request, "told gone", false);
}

void World::ArbitraryPolicy::on_timer(Ms, std::uint64_t token, ActionSink& out) {
  take_actions(out, token, "woken", false);
}

std::vector<World::ArbitraryPolicy::Action> World::ArbitraryPolicy::possible_actions(
    bool is_new_request) const {
  const Action nothing{Action::kNothing, 0, "nothing more"};
  std::vector<Action> actions;
  if (!is_new_request) actions.push_back(nothing);
  for (const auto& host : world_.hosts_) {
    actions.push_back({Action::kSend, host.id, "send to " + std::to_string(host.id)});
  }
  actions.push_back({Action::kReject, 0, "refuse"});
  actions.push_back({Action::kFail, 0, "fail"});
  actions.push_back({Action::kCancel, 0, "cancel 0"});
  actions.push_back({Action::kCancel, 1, "cancel 1"});
  actions.push_back({Action::kThrow, 0, "throw"});
  if (is_new_request) actions.push_back(nothing);
  return actions;
}

void World::ArbitraryPolicy::take_actions(ActionSink& out, RequestId request, const char* event_name,
                                          bool is_new_request) {
  while (actions_left_ > 0) {
    const auto actions = possible_actions(std::exchange(is_new_request, false));
    const auto label_of = [&](std::size_t i) {
      return std::string("module, ") + event_name + ": " + actions[i].label;
    };
    const Action& action = actions[world_.chooser_.choose(actions.size(), label_of)];
    if (action.kind == Action::kNothing) return;
    --actions_left_;
    take(out, request, action);
  }
}

void World::ArbitraryPolicy::take(ActionSink& out, RequestId request, const Action& action) {
  if (action.kind == Action::kSend) out.send(request, action.target, 0);
  if (action.kind == Action::kReject) out.reject(request, kRetryAfterMs, RejectionReason::kLoadShed);
  if (action.kind == Action::kFail) out.fail(request, RejectionReason::kAttemptsExhausted);
  if (action.kind == Action::kCancel) out.cancel(request, action.target);
  const bool has_reply = world_.answered_at_.contains(request);
  world_.cover(CoverageGoal::kPolicyThrew, action.kind == Action::kThrow);
  world_.cover(CoverageGoal::kPolicyActedAfterReply, action.kind != Action::kCancel && has_reply);
  if (action.kind == Action::kThrow) throw std::runtime_error("exception chosen by the model checker");
}

void World::ArbitraryPolicy::digest(engine::Digest& into) const {
  into.add(static_cast<std::uint64_t>(actions_left_));
  for (const auto request : requests_) into.add(request);
}

}  // namespace cometfold::explore
