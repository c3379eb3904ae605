#include "ops/operator_calls.h"

#include <algorithm>
#include <iterator>

namespace cometfold::ops {

namespace {

constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kServiceUnavailable = 503;

CallResponse readiness(GatewayOperations& gateway) {
  if (gateway.ready()) return {200, "ready\n"};
  return {kServiceUnavailable, "not ready: it starts, drains or ends\n"};
}

CallResponse metrics(GatewayOperations& gateway) { return {200, gateway.metrics()}; }

CallResponse members(GatewayOperations& gateway) {
  const auto members = gateway.members();
  if (members) return {200, *members, "application/json"};
  return {kNotFound, "this gateway knows of no others: [peers] in its own settings has no 'listen'\n"};
}

CallResponse start_draining(GatewayOperations& gateway) {
  gateway.set_draining(true);
  return {200, "draining\n"};
}

CallResponse stop_draining(GatewayOperations& gateway) {
  gateway.set_draining(false);
  return {200, "taking clients\n"};
}

struct Call {
  std::string_view path;
  std::string_view method;
  CallResponse (*handle)(GatewayOperations&);
};

constexpr Call kCalls[] = {
    {"/_ready", "GET", readiness},
    {"/_vars", "GET", metrics},
    {"/_members", "GET", members},
    {"/_lameduck/on", "POST", start_draining},
    {"/_lameduck/off", "POST", stop_draining},
};

std::string list_of_calls() {
  std::string list;
  for (const auto& call : kCalls) {
    if (!list.empty()) list += ", ";
    list += std::string(call.method) + " " + std::string(call.path);
  }
  return list;
}

}  // namespace

CallResponse handle_call(GatewayOperations& gateway, std::string_view method, std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  const auto* call = std::find_if(std::begin(kCalls), std::end(kCalls),
                                  [&](const Call& candidate) { return candidate.path == path; });
  if (call == std::end(kCalls)) return {kNotFound, "no such call: there are " + list_of_calls() + "\n"};
  if (method != call->method) {
    return {kMethodNotAllowed, std::string(path) + " is asked for with " + std::string(call->method) + "\n"};
  }
  return call->handle(gateway);
}

}  // namespace cometfold::ops
