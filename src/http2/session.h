// State machine of one HTTP/2 connection (RFC 9113, RFC 7541), with framing by nghttp2. It has no socket and
// no clock: `feed` takes received bytes and the time, `output` and `consumed` hand out the bytes to write.
//
// `SessionLimits` bounds the memory and the work that the peer can cause. Frames that are cheap to send are
// counted, and a connection that sends too many is closed with ENHANCE_YOUR_CALM. The bytes of a stream stay
// in that stream until the connection can send them ("rendered": turned into frames), so that a message which
// is not yet rendered can be withdrawn.
//
// Not thread-safe. Callbacks are called from inside `feed` and `output` (a stream is closed when its last
// frame has been rendered). They may call any member of this session except these two and the destructor.
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
  std::uint32_t max_concurrent_streams = 10'000;            // open streams that the peer began
  std::size_t max_header_bytes = std::size_t{16} * 1024;    // of one header block, RFC 9113 section 6.5.2
  std::size_t max_unsent_bytes = std::size_t{1024} * 1024;  // `wants_input` is false above it
  double cheap_frames_per_second = 1000;                    // sustained rate, see `FloodGuard`
  double cheap_frame_burst = 2000;                          // cheap frames in a burst
  double cheap_frames_per_work = 3;                         // cheap frames credited for each `on_work_done`
  std::uint32_t stream_window_bytes = std::uint32_t{256} * 1024;  // flow control window of one stream
  std::uint32_t connection_window_bytes = std::uint32_t{4} * 1024 * 1024;
};

enum class Role : std::uint8_t { kServer, kClient };

class SessionEvents {
 public:
  virtual ~SessionEvents() = default;
  // Server role: the headers of a request are complete. Returns null if the request has been answered and
  // needs no listener.
  virtual std::unique_ptr<StreamEvents> on_request(Ms now, Stream& stream, HeaderBlock headers) = 0;
  // There may be bytes to write. May be called at any time; the implementation must not write from inside.
  virtual void on_output() = 0;
};

class Session {
 public:
  // `events` must outlive this object.
  Session(Role role, const SessionLimits& limits, SessionEvents& events, Ms now);
  // Closes open streams: calls `on_closed` of each listener with CANCEL.
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Processes received bytes. Returns false if the connection has ended: write the rest of `output`, then
  // close it.
  bool feed(Ms now, std::string_view bytes);
  // Returns bytes to write; empty if there are none now. Returns the same bytes until `consumed` is called.
  std::string_view output();
  // `bytes` bytes at the front of `output` have been written.
  void consumed(std::size_t bytes);
  bool wants_input() const { return unsent_bytes() <= limits_.max_unsent_bytes; }
  // The connection has ended: it failed, or nothing remains to be read or written, or it drains and no stream
  // is open.
  bool done() const;

  // Client role: sends a request. Returns null if no stream can be opened. Unless `end` is set, the request's
  // body follows by `Stream::write` and `Stream::end`.
  Stream* request(const Headers& headers, std::unique_ptr<StreamEvents> events, bool end);

  // Records a unit of requested work, which credits the peer cheap frames: resets of requests that were
  // processed, for example, are not a flood.
  void on_work_done() { flood_guard_.on_work_done(); }
  void ping();
  // Graceful shutdown in two steps: `announce_drain` announces the end of the connection but still accepts
  // new streams, `drain` accepts none.
  void announce_drain();
  void drain();
  // Closes the connection at once with an error code.
  void terminate(ErrorCode code);

  std::size_t stream_count() const { return streams_.size(); }
  std::size_t unsent_bytes() const { return stream_bytes_ + unwritten_output(); }
  // The peer's preface and first frame header have been received.
  bool preface_received() const { return preface_received_; }
  // The error code with which this side closed the connection; 0: it did not.
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
  std::string output_;            // rendered frames
  std::size_t written_ = 0;       // bytes at the front of `output_` that were written
  std::size_t stream_bytes_ = 0;  // bytes of all streams that are not rendered
  bool preface_received_ = false;
  bool draining_ = false;
  bool over_ = false;
  ErrorCode termination_code_ = 0;
};

}  // namespace cometfold::http2
