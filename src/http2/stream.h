// One HTTP/2 stream of a `Session`, and the interface of its listener.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"
#include "http2/headers.h"

namespace cometfold::http2 {

class Session;

// HTTP/2 error code (RFC 9113 section 7).
using ErrorCode = std::uint32_t;

// The listener of one stream. `on_closed` is the last call; the listener is destroyed after it.
class StreamEvents {
 public:
  virtual ~StreamEvents() = default;
  // Response headers (client role) or trailers. The headers of a request go to `SessionEvents::on_request`.
  virtual void on_headers(Ms now, HeaderBlock headers) = 0;
  virtual void on_data(Ms now, std::string_view bytes) = 0;
  virtual void on_end(Ms now) = 0;  // the peer sends nothing more
  virtual void on_closed(Ms now, ErrorCode code) = 0;
};

// Valid until `on_closed` of its listener has returned.
class Stream {
 public:
  std::int32_t id() const { return id_; }
  // Server role: sends the headers of the response; with `end` no body follows. Only the first call has an
  // effect.
  void respond(const Headers& headers, bool end = false);
  void write(std::string_view bytes);
  // Withdraws the last `bytes` bytes written. Returns false if any of them have been rendered.
  bool withdraw(std::size_t bytes);
  // Ends this side of the stream, with trailers if there are any. Later writes are ignored. If the client is
  // still sending once the response is out, the server asks it to stop.
  void finish(const Headers& trailers = {});
  // Client role: ends the body of the request.
  void end() { finish(); }
  void reset(ErrorCode code);
  std::size_t unsent_bytes() const { return output_.size() - rendered_; }
  bool responded() const { return responded_; }

 private:
  friend class Session;
  Stream(Session& session, std::int32_t id) : session_(session), id_(id) {}

  Session& session_;
  std::int32_t id_;
  bool responded_ = false;
  bool finished_ = false;    // this side sends nothing more
  bool deferred_ = false;    // nghttp2 waits until there are bytes to render
  bool peer_ended_ = false;  // the peer sends nothing more
  std::string output_;
  std::size_t rendered_ = 0;  // bytes at the front of `output_` that were rendered
  Headers trailers_;
  std::unique_ptr<StreamEvents> events_;
};

}  // namespace cometfold::http2
