// The server side of gRPC on one HTTP/2 connection, with bidirectional streaming calls. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http2/grpc.h"
#include "http2/session.h"

namespace cometfold::http2::grpc {

class Connection;

// Receives the events of one call for the service. Destroyed after `on_call_closed`.
class CallEvents {
 public:
  virtual ~CallEvents() = default;
  // `message` is valid until the call returns.
  virtual void on_message(Ms now, std::string_view message) = 0;
  virtual void on_half_closed(Ms now) = 0;  // the client sends nothing more
  // The call is over: its status was sent, or the client or the connection ended it. Nothing may be sent
  // after this.
  virtual void on_call_closed(Ms now) = 0;
};

// One call, as the service sees it. Valid until `CallEvents::on_call_closed` has returned.
class Call {
 public:
  virtual ~Call() = default;
  virtual void send(std::string_view message) = 0;
  // Withdraws the latest message. Returns false if any of its bytes have been passed to the connection, if it
  // was withdrawn before, or if the call is finished.
  virtual bool withdraw() = 0;
  // Ends the call after all messages sent before. Only the first call has an effect.
  virtual void finish(const Status& status) = 0;
};

class Service {
 public:
  virtual ~Service() = default;
  // Opens a call of this service's method. `headers` hold the call's metadata and are valid until this
  // function returns.
  virtual std::unique_ptr<CallEvents> open(Ms now, Call& call, HeaderBlock headers) = 0;
};

struct ServerLimits {
  SessionLimits http2;
  std::size_t max_message_bytes = std::size_t{1024} * 1024;  // of one message
  std::size_t max_incomplete_bytes =
      std::size_t{8} * 1024 * 1024;      // of all incomplete messages of a connection
  Ms first_message_timeout_ms = 10'000;  // a call that has received no message by then is ended
};

// The methods of a server, looked up by path.
class Methods {
 public:
  virtual ~Methods() = default;
  virtual Service* find(std::string_view path) = 0;  // null if there is none
};

class Connection : private SessionEvents {
 public:
  // `owner` receives only `SessionEvents::on_output`. All references must outlive this object.
  Connection(const ServerLimits& limits, Methods& methods, SessionEvents& owner, Ms now);
  ~Connection() override;

  Session& session() { return session_; }
  // Bytes of incomplete messages that are buffered.
  std::size_t incomplete_bytes() const { return incomplete_bytes_; }
  // Ends calls that have received no message within `first_message_timeout_ms`.
  void sweep(Ms now);

 private:
  class Exchange;

  std::unique_ptr<StreamEvents> on_request(Ms now, Stream& stream, HeaderBlock headers) override;
  void on_output() override { owner_.on_output(); }

  ServerLimits limits_;
  Methods& methods_;
  SessionEvents& owner_;
  std::size_t incomplete_bytes_ = 0;
  Exchange* first_silent_ = nullptr;  // list of calls that have received no message yet, newest first
  Session session_;                   // destroyed first, as its streams use the members above
};

}  // namespace cometfold::http2::grpc
