// The server side of gRPC on one HTTP/2 connection: calls with messages both ways. Does no I/O.
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

// The service's side of one call. Destroyed after `on_gone`.
class CallEvents {
 public:
  virtual ~CallEvents() = default;
  // `message` is valid until the call returns.
  virtual void on_message(Ms now, std::string_view message) = 0;
  virtual void on_half_closed(Ms now) = 0;  // the client sends nothing more
  // The call is over: its status is sent, or the client or the connection has ended it. Nothing may be sent
  // any more.
  virtual void on_call_closed(Ms now) = 0;
};

// One call, for the service. Valid until `CallEvents::on_gone` has returned.
class Call {
 public:
  virtual ~Call() = default;
  virtual void send(std::string_view message) = 0;
  // Withdraws the latest message. False if some of it has been rendered.
  virtual bool withdraw() = 0;
  // Ends the call, once. Messages sent before go out first.
  virtual void finish(const Status& status) = 0;
};

class Service {
 public:
  virtual ~Service() = default;
  // A call of this service's method. `headers` hold the call's metadata and are valid until the return.
  virtual std::unique_ptr<CallEvents> open(Ms now, Call& call, HeaderBlock headers) = 0;
};

struct ServerLimits {
  SessionLimits http2;
  std::size_t max_message_bytes = std::size_t{1024} * 1024;  // of one message
  std::size_t max_incomplete_bytes =
      std::size_t{8} * 1024 * 1024;      // of incomplete messages, over the connection
  Ms first_message_timeout_ms = 10'000;  // milliseconds without a message, after which a call is ended
};

// The methods of a server, by their path.
class Methods {
 public:
  virtual ~Methods() = default;
  virtual Service* find(std::string_view path) = 0;  // null if there is none
};

class Connection : private SessionEvents {
 public:
  // `owner` gets `SessionEvents::on_output` only. All references must outlive this object.
  Connection(const ServerLimits& limits, Methods& methods, SessionEvents& owner, Ms now);
  ~Connection() override;

  Session& session() { return session_; }
  // Bytes of incomplete messages.
  std::size_t incomplete_bytes() const { return incomplete_bytes_; }
  // Ends calls without a message for too long.
  void sweep(Ms now);

 private:
  class Exchange;

  std::unique_ptr<StreamEvents> on_request(Ms now, Stream& stream, HeaderBlock headers) override;
  void on_output() override { owner_.on_output(); }

  ServerLimits limits_;
  Methods& methods_;
  SessionEvents& owner_;
  std::size_t incomplete_bytes_ = 0;
  Exchange* first_silent_ = nullptr;  // list of calls without a message yet, newest first
  Session session_;                   // destroyed first, as its streams use the members above
};

}  // namespace cometfold::http2::grpc
