#include "ops/calls.h"

namespace cometfold::ops {

CallResponse handle_call(GatewayOperations& gateway, std::string_view method, std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  const bool read = path == "/_ready" || path == "/_vars" || path == "/_members";
  const bool change = path == "/_lameduck/on" || path == "/_lameduck/off";
  if (!read && !change) {
    return {404,
            "no such call: there are GET /_ready, GET /_vars, GET /_members, POST /_lameduck/on, POST "
            "/_lameduck/off\n"};
  }
  const std::string_view wanted = read ? "GET" : "POST";
  if (method != wanted) return {405, std::string(path) + " is asked for with " + std::string(wanted) + "\n"};
  if (path == "/_vars") return {200, gateway.metrics()};
  if (path == "/_members") {
    const auto members = gateway.members();
    if (members) return {200, *members, "application/json"};
    return {404, "this gateway knows of no others: [peers] in its own settings has no 'listen'\n"};
  }
  if (path == "/_ready") {
    return gateway.ready() ? CallResponse{200, "ready\n"}
                           : CallResponse{503, "not ready: it starts, drains or ends\n"};
  }
  gateway.set_draining(path == "/_lameduck/on");
  return {200, path == "/_lameduck/on" ? "draining\n" : "taking clients\n"};
}

}  // namespace cometfold::ops
