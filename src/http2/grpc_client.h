// The client side of gRPC on one HTTP/2 connection (`Session` in the client role). Does no I/O.
#pragma once

#include <memory>
#include <string_view>

#include "http2/grpc.h"
#include "http2/session.h"

namespace cometfold::http2::grpc {

class ClientCallEvents {
 public:
  virtual ~ClientCallEvents() = default;
  // `message` is valid until the call returns.
  virtual void on_message(Ms now, std::string_view message) = 0;
  // The call is over; this is the last event. If the server sent no status, it is derived from how the stream
  // ended (grpc/doc/http-grpc-status-mapping.md and the table of HTTP/2 error codes in PROTOCOL-HTTP2.md).
  virtual void on_status(Ms now, const Status& status) = 0;
};

// Valid until `on_status` has returned.
class ClientCall {
 public:
  virtual ~ClientCall() = default;
  virtual void send(std::string_view message) = 0;
  virtual void half_close() = 0;
  virtual void cancel() = 0;
};

// Starts a call. Returns null if no stream can be opened. `max_message_bytes` limits each message from the
// server.
ClientCall* start_call(Session& session, std::string_view authority, std::string_view path,
                       const Headers& metadata, std::unique_ptr<ClientCallEvents> events,
                       std::size_t max_message_bytes = std::size_t{4} * 1024 * 1024);

}  // namespace cometfold::http2::grpc
