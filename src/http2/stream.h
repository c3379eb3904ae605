// One HTTP/2 stream of a `Session`, and what its listener gets.
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

// Why a stream was closed, as RFC 9113 section 7 numbers it.
using ErrorCode = std::uint32_t;

// The listener of one stream. `on_closed` is the last call; the listener is destroyed after it.
class StreamEvents {
 public:
  virtual ~StreamEvents() = default;
  // A header block after the first one: a response (client role) or trailers.
  virtual void on_headers(Ms now, HeaderBlock headers) = 0;
  virtual void on_data(Ms now, std::string_view bytes) = 0;
  virtual void on_end(Ms now) = 0;  // the peer sends nothing more
  virtual void on_closed(Ms now, ErrorCode code) = 0;
};

// Valid until its listener's `on_closed` has returned.
class Stream {
 public:
  std::int32_t id() const { return id_; }
  // Server role, once: the headers of the response; with `end` nothing follows.
  void respond(const Headers& headers, bool end = false);
  void write(std::string_view bytes);
  // Withdraws the last `bytes` written. False if some of them have been rendered.
  bool withdraw(std::size_t bytes);
  // Ends this side, with trailers if there are any. Once; nothing may be written after it. A server then asks
  // the client to stop sending, if it has not ended by then.
  void finish(const Headers& trailers = {});
  // Client role with an open request body.
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
  bool deferred_ = false;    // nghttp2 waits for bytes to render
  bool peer_ended_ = false;  // the peer sends nothing more
  std::string output_;
  std::size_t rendered_ = 0;  // bytes at the front of `output_`
  Headers trailers_;
  std::unique_ptr<StreamEvents> events_;
};

}  // namespace cometfold::http2
