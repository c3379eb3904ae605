// An in-memory HTTP/2 connection: a gRPC server with a client session or hand-made frames, and bytes that are
// transferred in chunks of any size.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http2/grpc_client.h"
#include "http2/grpc_server.h"

namespace cometfold::http2::testing {

// Encodes one frame (RFC 9113 section 4.1).
inline std::string frame(unsigned type, unsigned flags, std::uint32_t stream, std::string_view payload = {}) {
  std::string out;
  for (int shift = 16; shift >= 0; shift -= 8) out += static_cast<char>(payload.size() >> shift & 0xff);
  out += static_cast<char>(type);
  out += static_cast<char>(flags);
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(stream >> shift & 0xff);
  return out + std::string(payload);
}
constexpr unsigned kDataFrame = 0, kHeadersFrame = 1, kResetFrame = 3, kSettingsFrame = 4, kPingFrame = 6,
                   kWindowFrame = 8, kContinuationFrame = 9;
constexpr unsigned kEndStream = 1, kEndHeaders = 4;
inline const std::string kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(kSettingsFrame, 0, 0);

// Encodes a header without indexing and without Huffman coding (RFC 7541 section 6.2.2).
inline std::string literal(std::string_view name, std::string_view value) {
  const auto length = [](std::size_t n) {
    std::string out;
    if (n < 127) return std::string(1, static_cast<char>(n));
    out += static_cast<char>(127);
    for (n -= 127; n >= 128; n >>= 7) out += static_cast<char>((n & 127) | 128);
    return out + static_cast<char>(n);
  };
  return std::string(1, '\0') + length(name.size()) + std::string(name) + length(value.size()) +
         std::string(value);
}
inline std::string call_headers(std::string_view path = "/test.Echo/Echo") {
  return literal(":method", "POST") + literal(":scheme", "http") + literal(":path", path) +
         literal(":authority", "a") + literal("content-type", "application/grpc") + literal("te", "trailers");
}
inline std::string message(std::string_view text) {
  std::string out;
  grpc::append_prefix(out, text.size());
  return out + std::string(text);
}

// A service that echoes each message and records its calls.
class Echo : public grpc::Service {
 public:
  struct CallRecord {
    std::vector<std::string> messages;
    bool half_closed = false;
    bool closed = false;
    grpc::Call* call = nullptr;
  };
  std::unique_ptr<grpc::CallEvents> open(Ms, grpc::Call& call, HeaderBlock) override {
    calls.push_back(std::make_shared<CallRecord>());
    calls.back()->call = &call;
    return std::make_unique<EchoCall>(*this, calls.back());
  }
  std::vector<std::shared_ptr<CallRecord>> calls;
  bool suppress_replies = false;

 private:
  struct EchoCall : grpc::CallEvents {
    EchoCall(Echo& echo, std::shared_ptr<CallRecord> call) : owner(echo), record(std::move(call)) {}
    void on_message(Ms, std::string_view message) override {
      record->messages.emplace_back(message);
      if (!owner.suppress_replies) record->call->send(message);
    }
    void on_half_closed(Ms) override {
      record->half_closed = true;
      if (!owner.suppress_replies) record->call->finish({});
    }
    void on_call_closed(Ms) override {
      record->closed = true;
      record->call = nullptr;
    }
    Echo& owner;
    std::shared_ptr<CallRecord> record;
  };
};

class Server : public grpc::Methods, public SessionEvents {
 public:
  explicit Server(const grpc::ServerLimits& limits = {}, grpc::Service* service = nullptr)
      : service_(service ? service : &echo),
        connection(std::make_unique<grpc::Connection>(limits, *this, *this, 0)) {}
  grpc::Service* find(std::string_view path) override {
    return path == "/test.Echo/Echo" || path.starts_with("/envoy.") ? service_ : nullptr;
  }
  std::unique_ptr<StreamEvents> on_request(Ms, Stream&, HeaderBlock) override { return {}; }
  void on_output() override {}
  // Feeds bytes. Returns false once the connection has ended.
  bool feed(std::string_view bytes, Ms now = 0) {
    return alive = connection->session().feed(now, bytes) && alive;
  }
  std::string take_output() {
    std::string out;
    for (auto part = connection->session().output(); !part.empty(); part = connection->session().output()) {
      out += part;
      connection->session().consumed(part.size());
    }
    return out;
  }

  Echo echo;
  bool alive = true;

 private:
  grpc::Service* service_;

 public:
  std::unique_ptr<grpc::Connection> connection;
};

// What a client received for one call.
struct ClientCallRecord {
  std::vector<std::string> messages;
  std::optional<grpc::Status> status;
  grpc::ClientCall* call = nullptr;
};

class Client : private SessionEvents {
 public:
  explicit Client(SessionLimits limits = {}) : session(Role::kClient, limits, *this, 0) {}
  std::shared_ptr<ClientCallRecord> call(std::string_view path = "/test.Echo/Echo",
                                         const Headers& metadata = {}) {
    auto record = std::make_shared<ClientCallRecord>();
    record->call = grpc::start_call(session, "a", path, metadata, std::make_unique<RecordedCall>(record));
    return record;
  }
  // Transfers bytes in both directions until none are left, in chunks of at most `chunk_bytes`.
  void transfer(Server& server, Ms now = 0, std::size_t chunk_bytes = 1 << 20) {
    for (bool transferred = true; transferred;) {
      transferred = false;
      const auto requests = take_output();
      for (std::size_t at = 0; at < requests.size(); at += chunk_bytes) {
        server.feed(std::string_view(requests).substr(at, chunk_bytes), now);
        transferred = true;
      }
      const auto responses = server.take_output();
      for (std::size_t at = 0; at < responses.size(); at += chunk_bytes) {
        session.feed(now, std::string_view(responses).substr(at, chunk_bytes));
        transferred = true;
      }
    }
  }
  std::string take_output() {
    std::string out;
    for (auto part = session.output(); !part.empty(); part = session.output()) {
      out += part;
      session.consumed(part.size());
    }
    return out;
  }

 private:
  struct RecordedCall : grpc::ClientCallEvents {
    explicit RecordedCall(std::shared_ptr<ClientCallRecord> call) : record(std::move(call)) {}
    void on_message(Ms, std::string_view message) override { record->messages.emplace_back(message); }
    void on_status(Ms, const grpc::Status& status) override {
      EXPECT_FALSE(record->status) << "call ended twice";
      record->status = status;
      record->call = nullptr;
    }
    std::shared_ptr<ClientCallRecord> record;
  };
  std::unique_ptr<StreamEvents> on_request(Ms, Stream&, HeaderBlock) override { return {}; }
  void on_output() override {}

 public:
  Session session;
};

}  // namespace cometfold::http2::testing
