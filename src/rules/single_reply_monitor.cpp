#include "rules/single_reply_monitor.h"

#include <algorithm>

#include "rules/violation_text.h"

namespace cometfold::rules {

namespace {

Violation make_violation(const std::string& description) { return {"no request lost", description}; }

}  // namespace

std::optional<Violation> SingleReplyMonitor::observe(const Event& event) {
  if (event.kind == Event::kRequestReceived) {
    requests_[event.request] = {event.gateway, event.expires_at, false, false, {}};
    return {};
  }
  if (event.kind == Event::kGatewayCrashed) {
    std::erase_if(requests_, [&](const auto& entry) { return entry.second.gateway == event.gateway; });
    return {};
  }
  const auto found = requests_.find(event.request);
  if (found == requests_.end()) {
    if (!is_final_reply(event.kind)) return {};
    return make_violation("a reply to unknown " + format_request(event.request));
  }
  Request& request = found->second;
  if (event.kind == Event::kExecuted) request.produced_values.emplace_back(event.value);
  if (event.kind == Event::kClientDisconnected) request.client_disconnected = true;
  if (event.kind == Event::kAttemptFirstByte || event.kind == Event::kAttemptWritten) {
    return check_write(event, request);
  }
  if (is_final_reply(event.kind)) return check_reply(event, request);
  return {};
}

std::optional<Violation> SingleReplyMonitor::check_write(const Event& event, const Request& request) const {
  const std::string sent = "an attempt of " + format_request(event.request) + " was written";
  if (request.answered) return make_violation(sent + " after its reply");
  if (request.client_disconnected) return make_violation(sent + " after its client had disconnected");
  return {};
}

std::optional<Violation> SingleReplyMonitor::check_reply(const Event& event, Request& request) const {
  if (request.answered) return make_violation("a second reply to " + format_request(event.request));
  request.answered = true;
  const auto& produced = request.produced_values;
  if (event.kind == Event::kServed &&
      std::find(produced.begin(), produced.end(), event.value) == produced.end()) {
    return make_violation(format_request(event.request) + " was served with '" + std::string(event.value) +
                          "', which no host produced for it");
  }
  if (event.at > request.expires_at + slack_) {
    return make_violation("the reply to " + format_request(event.request) + " came after its deadline");
  }
  return {};
}

std::optional<Violation> SingleReplyMonitor::check_deadlines(Ms now) {
  for (const auto& [id, request] : requests_) {
    if (!request.answered && !request.client_disconnected && now > request.expires_at + slack_) {
      return make_violation(format_request(id) + " has no reply although its deadline has passed");
    }
  }
  return {};
}

void SingleReplyMonitor::digest(engine::Digest& into) const {
  for (const auto& [id, request] : requests_) {
    into.add(id << 2 | std::uint64_t{request.answered} << 1 | std::uint64_t{request.client_disconnected});
    into.add(request.expires_at);
    for (const auto& value : request.produced_values) into.add(value);
  }
}

}  // namespace cometfold::rules
