// Operators' calls to a gateway over HTTP: which there are, and their responses. Pure; sockets are the
// server's.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cometfold::ops {

// What operators can have a gateway do.
class GatewayOperations {
 public:
  virtual ~GatewayOperations() = default;
  // Whether it takes new clients.
  virtual bool ready() const = 0;
  // In the form of render_metrics.
  virtual std::string metrics() = 0;
  // The members of the cluster as one JSON object; nothing if this gateway is in no cluster.
  virtual std::optional<std::string> members() = 0;
  // Starts or ends draining. Idempotent.
  virtual void set_draining(bool draining) = 0;
};

struct CallResponse {
  int status = 200;  // of HTTP (RFC 9110, section 15)
  std::string body;
  std::string content_type = "text/plain";  // content type
};

// `target` as in the request line; its query is ignored.
CallResponse handle_call(GatewayOperations& gateway, std::string_view method, std::string_view target);

}  // namespace cometfold::ops
