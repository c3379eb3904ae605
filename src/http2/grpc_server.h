// The server side of gRPC on one HTTP/2 connection: calls with messages both ways. Pure, as `Session` is.
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

// What a service hears of one call. Destroyed after `on_client_disconnected`.
class CallEvents {
 public:
  virtual ~CallEvents() = default;
  // Lasts until the call returns.
  virtual void on_message(Ms now, std::string_view message) = 0;
  virtual void on_half_closed(Ms now) = 0;  // the client sends nothing more
  // The call is over: its status is out, or the client or the connection has ended it. Nothing may be sent.
  virtual void on_gone(Ms now) = 0;
};

// One call, for the service. Valid until `on_client_disconnected` has returned.
class Call {
 public:
  virtual ~Call() = default;
  virtual void send(std::string_view message) = 0;
  // Takes back the latest message, if none of it has left yet.
  virtual bool take_back() = 0;
  // The end, once. What was sent goes out before it.
  virtual void finish(const Status& status) = 0;
};

class Service {
 public:
  virtual ~Service() = default;
  // A call of the method that this service stands for. `headers`, the call's metadata, last until the return.
  virtual std::unique_ptr<CallEvents> open(Ms now, Call& call, HeaderBlock headers) = 0;
};

struct ServerLimits {
  Limits http2;
  std::size_t message_bytes = 1024 * 1024;     // of one message
  std::size_t unread_bytes = 8 * 1024 * 1024;  // of messages that are half read, over the connection
  Ms first_message = 10'000;                   // a call that says nothing for so long is ended
};

// The methods that a server has, by their path.
class Methods {
 public:
  virtual ~Methods() = default;
  virtual Service* find(std::string_view path) = 0;  // null: there is none
};

class Connection : private SessionEvents {
 public:
  // `on_output` as in SessionEvents.
  Connection(const ServerLimits& limits, Methods& methods, SessionEvents& owner, Ms now);
  ~Connection() override;

  Session& session() { return session_; }
  std::size_t unread() const { return unread_; }
  // Ends calls that have said nothing for too long.
  void sweep(Ms now);

 private:
  class Exchange;

  std::unique_ptr<StreamEvents> on_request(Ms now, Stream& stream, HeaderBlock headers) override;
  void on_output() override { owner_.on_output(); }

  ServerLimits limits_;
  Methods& methods_;
  SessionEvents& owner_;
  std::size_t unread_ = 0;
  Exchange* silent_ = nullptr;  // calls without a message yet: a list, in any order
  Session session_;             // last: its end is heard by what stands above
};

}  // namespace cometfold::http2::grpc
