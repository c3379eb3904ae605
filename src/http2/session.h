// One HTTP/2 connection as a state machine fed with bytes (RFC 9113, RFC 7541; nghttp2 does the framing). No
// socket, no clock: bytes and time come in with `feed`, bytes go out through `output` and `consumed`.
//
// What the other side may make it hold is bounded by `Limits`, and so is what it may make it do: frames that
// cost their sender next to nothing are counted, and a connection that sends too many is ended with
// ENHANCE_YOUR_CALM. Bytes for a stream stay with that stream until the connection can take them, so that a
// message which has not left yet can be taken back.
//
// Not safe for threads. Events come from inside `feed` and `output` (a stream is closed when its last frame
// has been rendered), and may call anything of this session but these two and its destructor.
#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cometfold/admission_controller.h"
#include "http2/headers.h"

namespace cometfold::http2 {

struct Limits {
  std::uint32_t streams = 10'000;        // open at once, begun by the other side
  std::size_t header_bytes = 16 * 1024;  // of one block as RFC 9113 section 6.5.2 counts it
  std::size_t unsent = 1024 * 1024;      // bytes waiting to go out; above it `wants_input` is false
  double cheap_rate = 1000;              // a second: frames that cost their sender little
  double cheap_burst = 2000;             // at once
  double cheap_earned = 3;               // more of them for each piece of work done, see `earn`
  std::uint32_t window = 256 * 1024;     // bytes of one stream under way to here
  std::uint32_t connection_window = 4 * 1024 * 1024;
};

enum class Role : std::uint8_t { kServer, kClient };

class Session;

// Why a stream was closed, as RFC 9113 section 7 numbers it.
using ErrorCode = std::uint32_t;

// What one stream's listener hears. `on_closed` is the last call, and the listener is destroyed after it.
class StreamEvents {
 public:
  virtual ~StreamEvents() = default;
  // Further blocks: a response (client role) or trailers.
  virtual void on_headers(Ms now, HeaderBlock headers) = 0;
  virtual void on_data(Ms now, std::string_view bytes) = 0;
  virtual void on_end(Ms now) = 0;  // the other side sends nothing more
  virtual void on_closed(Ms now, ErrorCode code) = 0;
};

// One stream, valid until its listener's `on_closed` has returned.
class Stream {
 public:
  std::int32_t id() const { return id_; }
  // Server role, once: the response's headers; with `end` nothing follows.
  void respond(const Headers& headers, bool end = false);
  void write(std::string_view bytes);
  // Takes back the last `bytes` written, if none of them has left the stream yet.
  bool take_back(std::size_t bytes);
  // Ends this side, with trailers if there are any. Once; nothing may be written after it. At a server the
  // client is told to stop sending, if it has not ended by then.
  void finish(const Headers& trailers = {});
  // Client role with an open request body.
  void end() { finish(); }
  void reset(ErrorCode code);
  std::size_t unsent() const { return out_.size() - at_; }
  bool responded() const { return responded_; }

 private:
  friend class Session;
  Stream(Session& session, std::int32_t id) : session_(session), id_(id) {}

  Session& session_;
  std::int32_t id_;
  bool responded_ = false, finished_ = false, deferred_ = false;
  bool ended_there_ = false;  // the other side sends nothing more
  std::string out_;
  std::size_t at_ = 0;  // of `out_`, what has been rendered
  Headers trailers_;
  std::unique_ptr<StreamEvents> events_;
};

class SessionEvents {
 public:
  virtual ~SessionEvents() = default;
  // Server role: a request's headers are whole. Null if it has been answered and nothing more is to be heard.
  virtual std::unique_ptr<StreamEvents> on_request(Ms now, Stream& stream, HeaderBlock headers) = 0;
  // There is something to write. May come at any time and must not write from inside.
  virtual void on_output() = 0;
};

class Session {
 public:
  Session(Role role, const Limits& limits, SessionEvents& events, Ms now);
  // Closes what is open: each listener hears `on_closed` with CANCEL from inside.
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // False: the connection has ended; what `output` still gives is to be written and then it is to be closed.
  bool feed(Ms now, std::string_view bytes);
  // Bytes to write; empty if there are none now. The same until `consumed`.
  std::string_view output();
  void consumed(std::size_t bytes);
  bool wants_input() const { return queued_ + pending() <= limits_.unsent; }
  // Nothing is open and nothing may come any more.
  bool done() const;

  // Client role: a request; null if no stream is to be had. Without `end` the stream takes `write` and `end`.
  Stream* request(const Headers& headers, std::unique_ptr<StreamEvents> events, bool end);

  // A piece of work was done on request of the other side: a frame that ends it is no attack.
  void earn();
  void ping();
  // First tells that the connection will end (new streams still come), then takes no new streams.
  void announce_drain();
  void drain();
  // Ends it at once, with a reason.
  void terminate(ErrorCode code);

  std::size_t streams() const { return streams_.size(); }
  std::size_t unsent() const { return queued_ + pending(); }
  bool began() const { return began_; }  // the other side's preface has come
  // Why the connection was ended from here; 0: it was not.
  ErrorCode ended_for() const { return ended_for_; }

 private:
  friend class Stream;
  struct Callbacks;

  std::size_t pending() const { return buffer_.size() - written_; }
  void spend();
  void header_block_done(Stream& stream);
  void close_stream(std::int32_t id, ErrorCode code);
  Stream* stream(std::int32_t id);
  void begin_stream(std::int32_t id);
  void resume(Stream& stream);
  void changed() { events_.on_output(); }

  Role role_;
  Limits limits_;
  SessionEvents& events_;
  nghttp2_session* session_ = nullptr;
  Ms now_;
  std::unordered_map<std::int32_t, std::unique_ptr<Stream>> streams_;
  // The block that is being read: blocks of two streams never mix. Names and values stand in one text.
  struct Piece {
    std::size_t name, value, end;
  };
  std::string block_text_;
  std::vector<Piece> pieces_;
  std::vector<HeaderView> block_;
  std::size_t block_bytes_ = 0;
  std::string buffer_;
  std::size_t written_ = 0;
  std::size_t queued_ = 0;  // bytes held by streams
  double cheap_;
  Ms cheap_at_;
  bool began_ = false, draining_ = false, over_ = false;
  ErrorCode ended_for_ = 0;
};

}  // namespace cometfold::http2
