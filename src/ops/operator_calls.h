// Operators' HTTP calls to a gateway and their responses. No I/O: the server handles the sockets.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cometfold::ops {

// The operations of a gateway that operators can call.
class GatewayOperations {
 public:
  virtual ~GatewayOperations() = default;
  // Whether the gateway accepts new clients.
  virtual bool ready() const = 0;
  // The metrics in the format of render_metrics.
  virtual std::string metrics() = 0;
  // The members of the cluster as one JSON object; unset if this gateway is in no cluster.
  virtual std::optional<std::string> members() = 0;
  // Starts or ends draining. Idempotent.
  virtual void set_draining(bool draining) = 0;
};

struct CallResponse {
  int status = 200;  // HTTP status code (RFC 9110, section 15)
  std::string body;
  std::string content_type = "text/plain";
};

// Handles one call. `target` is that of the request line; its query is ignored.
CallResponse handle_call(GatewayOperations& gateway, std::string_view method, std::string_view target);

}  // namespace cometfold::ops
