// The calls of operators: what each asks of the gateway, and the answer. Pure; the bytes are the server's.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cometfold::ops {

// What operators can ask of a gateway.
class GatewayOperations {
 public:
  virtual ~GatewayOperations() = default;
  virtual bool ready() const = 0;
  virtual std::string metrics() = 0;
  // Who is there, as one JSON object; nothing if this gateway knows of no others.
  virtual std::optional<std::string> members() = 0;
  // Empty it, or take clients again. Asking twice is asking once.
  virtual void set_draining(bool on) = 0;
};

struct CallResponse {
  int status = 200;  // of HTTP (RFC 9110, section 15)
  std::string body;
  std::string type = "text/plain";
};

// `target` as in the request line; what follows a question mark is ignored.
CallResponse handle_call(GatewayOperations& gateway, std::string_view method, std::string_view target);

}  // namespace cometfold::ops
