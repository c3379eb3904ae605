// One HTTP/2 connection as a state machine that is fed with bytes (RFC 9113, RFC 7541; nghttp2 does the
// framing). No socket, no clock: bytes and time come in with `feed`, bytes go out through `output` and
// `consumed`.
//
// `Limits` bounds the memory and the work that the peer can cause: frames that cost their sender next to
// nothing are counted, and a connection that sends too many is ended with ENHANCE_YOUR_CALM. Bytes for a
// stream stay with that stream until the connection can take them, so that a message which is not rendered
// yet can be withdrawn.
//
// Not thread-safe. Callbacks come from inside `feed` and `output` (a stream is closed when its last frame has
// been rendered), and may call any member of this session but these two and its destructor.
#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cometfold/admission_controller.h"
#include "http2/flood_guard.h"
#include "http2/header_block_buffer.h"
#include "http2/headers.h"
#include "http2/stream.h"

namespace cometfold::http2 {

struct SessionLimits {
  std::uint32_t max_concurrent_streams = 10'000;          // open at once, begun by the peer
  std::size_t max_header_bytes = std::size_t{16} * 1024;  // of one block, as RFC 9113 section 6.5.2 counts it
  std::size_t max_unsent_bytes =
      std::size_t{1024} * 1024;           // bytes to be sent; above it `wants_input` is false
  double cheap_frames_per_second = 1000;  // frames a second that cost their sender little
  double cheap_frame_burst = 2000;        // of them at once
  double cheap_frames_per_work = 3;       // more of them for each piece of work done, see `earn`
  std::uint32_t stream_window_bytes = std::uint32_t{256} * 1024;  // flow control: bytes of one stream
  std::uint32_t connection_window_bytes = std::uint32_t{4} * 1024 * 1024;
};

enum class Role : std::uint8_t { kServer, kClient };

class SessionEvents {
 public:
  virtual ~SessionEvents() = default;
  // Server role: the headers of a request are complete. Null if it has been answered and needs no listener.
  virtual std::unique_ptr<StreamEvents> on_request(Ms now, Stream& stream, HeaderBlock headers) = 0;
  // There are bytes to write. May come at any time and must not write from inside.
  virtual void on_output() = 0;
};

class Session {
 public:
  // `events` must outlive this object.
  Session(Role role, const SessionLimits& limits, SessionEvents& events, Ms now);
  // Closes open streams: each listener gets `on_closed` with CANCEL from inside.
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // False: the connection has ended; the rest of `output` is to be written and then it is to be closed.
  bool feed(Ms now, std::string_view bytes);
  // Bytes to write; empty if there are none now. The same until `consumed`.
  std::string_view output();
  void consumed(std::size_t bytes);
  bool wants_input() const { return unsent_bytes() <= limits_.max_unsent_bytes; }
  // No stream is open and none may come any more.
  bool done() const;

  // Client role: a request; null if no stream can be opened. Without `end` the stream takes `write` and
  // `end`.
  Stream* request(const Headers& headers, std::unique_ptr<StreamEvents> events, bool end);

  // A piece of work was done on the peer's request: a frame that ends it is no flood.
  void on_work_done() { flood_guard_.on_work_done(); }
  void ping();
  // Graceful shutdown in two steps: announces the end of the connection (new streams still come), then takes
  // no new streams.
  void announce_drain();
  void drain();
  // Ends it at once, with a reason.
  void terminate(ErrorCode code);

  std::size_t stream_count() const { return streams_.size(); }
  std::size_t unsent_bytes() const { return stream_bytes_ + unwritten_output(); }
  // The peer's preface and first frame header have come.
  bool preface_received() const { return preface_received_; }
  // Why the connection was ended by this side; 0: it was not.
  ErrorCode termination_code() const { return termination_code_; }

 private:
  friend class Stream;
  struct Callbacks;

  std::size_t unwritten_output() const { return output_.size() - written_; }
  void count_cheap_frame();
  void on_header_block(Stream& stream);
  void close_stream(std::int32_t id, ErrorCode code);
  Stream* find_stream(std::int32_t id);
  void begin_stream(std::int32_t id);
  void resume(Stream& stream);
  void notify_output() { events_.on_output(); }

  Role role_;
  SessionLimits limits_;
  SessionEvents& events_;
  nghttp2_session* session_ = nullptr;
  Ms now_;
  std::unordered_map<std::int32_t, std::unique_ptr<Stream>> streams_;
  HeaderBlockBuffer header_block_;
  FloodGuard flood_guard_;
  std::string output_;            // rendered
  std::size_t written_ = 0;       // bytes at the front of `output_`
  std::size_t stream_bytes_ = 0;  // bytes of streams that are not rendered
  bool preface_received_ = false;
  bool draining_ = false;
  bool over_ = false;
  ErrorCode termination_code_ = 0;
};

}  // namespace cometfold::http2
