#include "http2/session.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace cometfold::http2 {

namespace {

constexpr std::size_t kOutputChunk = 64 * 1024;  // rendered ahead of the connection, at most about so much
constexpr std::size_t kKeptCapacity = 1024;      // of an empty stream's buffer
constexpr std::size_t kFarOver = 8;              // times the limit of a block of headers
constexpr std::size_t kEachHeader = 32;          // RFC 9113 section 6.5.2
constexpr std::size_t kOutboundAcks = 256;       // of PING and SETTINGS, waiting to go out
constexpr std::size_t kMostSettings = 32;        // entries of one SETTINGS frame
constexpr std::size_t kMostContinuations = 8;    // frames behind one HEADERS
// nghttp2's own count of resets knows no work that was done: ours, which does, takes its place.
constexpr std::uint64_t kNoResetLimit = std::uint64_t{1} << 40;

std::string_view text(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

std::vector<nghttp2_nv> to_nv(const Headers& headers) {
  std::vector<nghttp2_nv> all;
  all.reserve(headers.size());
  for (const auto& h : headers) {
    all.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(h.name.data())),
                   reinterpret_cast<std::uint8_t*>(const_cast<char*>(h.value.data())), h.name.size(),
                   h.value.size(), NGHTTP2_NV_FLAG_NONE});
  }
  return all;
}

// Frames that cost their sender little and make the receiver work.
bool cheap(const nghttp2_frame_hd& frame) {
  switch (frame.type) {
    case NGHTTP2_HEADERS:
      return false;  // streams are bounded by their number
    case NGHTTP2_DATA:
      return frame.length == 0;
    default:
      return true;
  }
}

}  // namespace

std::string_view find(HeaderBlock headers, std::string_view name) {
  for (const auto& h : headers) {
    if (h.name == name) return h.value;
  }
  return {};
}

// ---- what nghttp2 calls ----

struct Session::Callbacks {
  static Session& of(void* user) { return *static_cast<Session*>(user); }

  static int begin_frame(nghttp2_session*, const nghttp2_frame_hd* frame, void* user) {
    Session& s = of(user);
    s.began_ = true;
    if (cheap(*frame)) s.spend();
    return 0;
  }

  static int begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Session& s = of(user);
    s.block_text_.clear();
    s.pieces_.clear();
    s.block_bytes_ = 0;
    if (s.role_ == Role::kServer && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      s.begin_stream(frame->hd.stream_id);
    }
    return 0;
  }

  static int header(nghttp2_session*, const nghttp2_frame*, const std::uint8_t* name, std::size_t name_size,
                    const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* user) {
    Session& s = of(user);
    s.block_bytes_ += name_size + value_size + kEachHeader;
    if (s.block_bytes_ > s.limits_.header_bytes) {
      // Danger: a block of a few bytes can unfold to hundreds of megabytes of references to one header. What
      // is over the limit is not kept, and far over it the connection ends.
      if (s.block_bytes_ <= kFarOver * s.limits_.header_bytes) return 0;
      if (s.ended_for_ == 0) s.terminate(NGHTTP2_ENHANCE_YOUR_CALM);
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::size_t at = s.block_text_.size();
    s.pieces_.push_back({at, at + name_size, at + name_size + value_size});
    s.block_text_ += text(name, name_size);
    s.block_text_ += text(value, value_size);
    return 0;
  }

  static int frame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Session& s = of(user);
    if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA) return 0;
    Stream* stream = s.stream(frame->hd.stream_id);
    if (!stream) return 0;
    const bool last = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 && !stream->ended_there_;
    stream->ended_there_ = stream->ended_there_ || last;
    if (frame->hd.type == NGHTTP2_HEADERS) s.header_block_done(*stream);
    if (last && stream->events_) stream->events_->on_end(s.now_);
    return 0;
  }

  static int data(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                  std::size_t size, void* user) {
    Session& s = of(user);
    Stream* stream = s.stream(id);
    if (s.role_ == Role::kClient) s.earn();  // what a server sends is what was asked for
    // A server that has given its answer wants no more of the request.
    if (!stream || !stream->events_ || (s.role_ == Role::kServer && stream->finished_)) return 0;
    stream->events_->on_data(s.now_, text(bytes, size));
    return 0;
  }

  static int closed(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user) {
    of(user).close_stream(id, code);
    return 0;
  }

  // RFC 9113 section 8.1: an answer that is whole before its request lets the client stop sending. Only when
  // its last frame is out: a reset that is queued keeps what is behind it from being sent.
  static int sent(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
    Session& s = of(user);
    if (s.role_ != Role::kServer || !(frame->hd.flags & NGHTTP2_FLAG_END_STREAM) ||
        (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)) {
      return 0;
    }
    const Stream* stream = s.stream(frame->hd.stream_id);
    if (stream && !stream->ended_there_) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    }
    return 0;
  }

  // Bytes of a stream, when the connection can take them.
  static ssize_t read(nghttp2_session* session, std::int32_t id, std::uint8_t* into, std::size_t most,
                      std::uint32_t* flags, nghttp2_data_source* source, void* user) {
    Session& s = of(user);
    Stream& stream = *static_cast<Stream*>(source->ptr);
    const std::size_t n = std::min(most, stream.unsent());
    if (n == 0 && !stream.finished_) {
      stream.deferred_ = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(into, stream.out_.data() + stream.at_, n);
    stream.at_ += n;
    s.queued_ -= n;
    if (stream.unsent() == 0) {
      stream.out_.clear();
      stream.at_ = 0;
      if (stream.out_.capacity() > kKeptCapacity) stream.out_.shrink_to_fit();
      if (stream.finished_) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        if (!stream.trailers_.empty()) {
          *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
          const auto nv = to_nv(stream.trailers_);
          nghttp2_submit_trailer(session, id, nv.data(), nv.size());
        }
      }
    }
    return static_cast<ssize_t>(n);
  }

  static nghttp2_session_callbacks* table() {
    static nghttp2_session_callbacks* const all = [] {
      nghttp2_session_callbacks* made = nullptr;
      nghttp2_session_callbacks_new(&made);
      nghttp2_session_callbacks_set_on_begin_frame_callback(made, begin_frame);
      nghttp2_session_callbacks_set_on_begin_headers_callback(made, begin_headers);
      nghttp2_session_callbacks_set_on_header_callback(made, header);
      nghttp2_session_callbacks_set_on_frame_recv_callback(made, frame);
      nghttp2_session_callbacks_set_on_data_chunk_recv_callback(made, data);
      nghttp2_session_callbacks_set_on_frame_send_callback(made, sent);
      nghttp2_session_callbacks_set_on_stream_close_callback(made, closed);
      return made;
    }();
    return all;
  }
};

// ---- a stream ----

void Stream::respond(const Headers& headers, bool end) {
  if (responded_) return;
  responded_ = true;
  finished_ = finished_ || end;
  const auto nv = to_nv(headers);
  nghttp2_data_provider provider{{.ptr = this}, Session::Callbacks::read};
  nghttp2_submit_response(session_.session_, id_, nv.data(), nv.size(), end ? nullptr : &provider);
  session_.changed();
}

void Stream::write(std::string_view bytes) {
  if (finished_) return;
  if (at_ > 0 && at_ * 2 > out_.size()) {
    out_.erase(0, at_);
    at_ = 0;
  }
  out_ += bytes;
  session_.queued_ += bytes.size();
  session_.resume(*this);
}

bool Stream::take_back(std::size_t bytes) {
  if (unsent() < bytes) return false;
  out_.resize(out_.size() - bytes);
  session_.queued_ -= bytes;
  return true;
}

void Stream::finish(const Headers& trailers) {
  if (finished_) return;
  finished_ = true;
  trailers_ = trailers;
  session_.resume(*this);
}

void Stream::reset(ErrorCode code) {
  finished_ = true;
  nghttp2_submit_rst_stream(session_.session_, NGHTTP2_FLAG_NONE, id_, code);
  session_.changed();
}

// ---- the session ----

Session::Session(Role role, const Limits& limits, SessionEvents& events, Ms now)
    : role_(role), limits_(limits), events_(events), now_(now), cheap_(limits.cheap_burst), cheap_at_(now) {
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_max_outbound_ack(option, kOutboundAcks);
  nghttp2_option_set_max_settings(option, kMostSettings);
  nghttp2_option_set_max_continuations(option, kMostContinuations);
  nghttp2_option_set_stream_reset_rate_limit(option, kNoResetLimit, kNoResetLimit);
  nghttp2_option_set_no_closed_streams(option, 1);
  nghttp2_option_set_no_auto_ping_ack(option, 0);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits.window},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits.header_bytes)},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  if (role == Role::kServer) {
    nghttp2_session_server_new2(&session_, Callbacks::table(), this, option);
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, 3);
  } else {
    nghttp2_session_client_new2(&session_, Callbacks::table(), this, option);
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, 4);
  }
  nghttp2_option_del(option);
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        static_cast<std::int32_t>(limits.connection_window));
}

Session::~Session() {
  over_ = true;
  auto streams = std::move(streams_);
  streams_.clear();
  for (auto& [id, stream] : streams) {
    if (stream->events_) stream->events_->on_closed(now_, NGHTTP2_CANCEL);
  }
  nghttp2_session_del(session_);
}

bool Session::feed(Ms now, std::string_view bytes) {
  now_ = now;
  if (over_) return false;
  const auto n =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (n < 0) {  // the preface is wrong, or a flood that nghttp2 itself has found
    if (ended_for_ == 0) {
      ended_for_ = n == NGHTTP2_ERR_FLOODED ? NGHTTP2_ENHANCE_YOUR_CALM : NGHTTP2_PROTOCOL_ERROR;
    }
    over_ = true;
  }
  events_.on_output();
  return !over_ && ended_for_ == 0 && !done();
}

std::string_view Session::output() {
  if (written_ == buffer_.size()) {
    buffer_.clear();
    written_ = 0;
    while (buffer_.size() < kOutputChunk) {
      const std::uint8_t* bytes = nullptr;
      const auto n = nghttp2_session_mem_send(session_, &bytes);
      if (n <= 0) {
        if (n < 0) over_ = true;
        break;
      }
      buffer_.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(n));
    }
  }
  return std::string_view(buffer_).substr(written_);
}

void Session::consumed(std::size_t bytes) {
  written_ += bytes;
  if (written_ < buffer_.size()) return;
  buffer_.clear();
  written_ = 0;
  if (buffer_.capacity() > 4 * kOutputChunk) buffer_.shrink_to_fit();
}

bool Session::done() const {
  return over_ || (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0) ||
         (draining_ && streams_.empty());
}

Stream* Session::request(const Headers& headers, std::unique_ptr<StreamEvents> events, bool end) {
  if (role_ != Role::kClient || over_ || draining_ || nghttp2_session_check_request_allowed(session_) == 0)
    return nullptr;
  const auto nv = to_nv(headers);
  auto stream = std::unique_ptr<Stream>(new Stream(*this, 0));
  nghttp2_data_provider provider{{.ptr = stream.get()}, Callbacks::read};
  const auto id = nghttp2_submit_request(session_, nullptr, nv.data(), nv.size(), end ? nullptr : &provider,
                                         stream.get());
  if (id < 0) return nullptr;
  stream->id_ = id;
  stream->responded_ = true;
  stream->finished_ = end;
  stream->events_ = std::move(events);
  Stream* made = stream.get();
  streams_.emplace(id, std::move(stream));
  earn();
  changed();
  return made;
}

void Session::earn() { cheap_ = std::min(cheap_ + limits_.cheap_earned, limits_.cheap_burst); }

void Session::spend() {
  cheap_ =
      std::min(cheap_ + limits_.cheap_rate * std::max(now_ - cheap_at_, 0.0) / 1000, limits_.cheap_burst) - 1;
  cheap_at_ = now_;
  if (cheap_ < 0 && ended_for_ == 0) terminate(NGHTTP2_ENHANCE_YOUR_CALM);
}

void Session::ping() {
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  changed();
}

void Session::announce_drain() {
  if (role_ == Role::kServer) nghttp2_submit_shutdown_notice(session_);
  changed();
}

void Session::drain() {
  if (draining_) return;
  draining_ = true;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  changed();
}

void Session::terminate(ErrorCode code) {
  if (ended_for_ == 0) ended_for_ = code;
  nghttp2_session_terminate_session(session_, code);
  changed();
}

Stream* Session::stream(std::int32_t id) {
  return static_cast<Stream*>(nghttp2_session_get_stream_user_data(session_, id));
}

void Session::begin_stream(std::int32_t id) {
  auto stream = std::unique_ptr<Stream>(new Stream(*this, id));
  nghttp2_session_set_stream_user_data(session_, id, stream.get());
  streams_.insert_or_assign(id, std::move(stream));
}

void Session::header_block_done(Stream& stream) {
  if (block_bytes_ > limits_.header_bytes) {
    if (role_ == Role::kServer && !stream.responded_) return stream.respond({{":status", "431"}}, true);
    stream.reset(NGHTTP2_ENHANCE_YOUR_CALM);
    return;
  }
  block_.clear();
  const std::string_view all = block_text_;
  for (const auto& p : pieces_) {
    block_.push_back({all.substr(p.name, p.value - p.name), all.substr(p.value, p.end - p.value)});
  }
  if (stream.events_) {
    stream.events_->on_headers(now_, block_);
  } else if (role_ == Role::kServer && !stream.responded_ && !stream.finished_) {
    stream.events_ = events_.on_request(now_, stream, block_);
  }
}

void Session::resume(Stream& stream) {
  if (stream.deferred_) {
    stream.deferred_ = false;
    nghttp2_session_resume_data(session_, stream.id_);
  }
  changed();
}

void Session::close_stream(std::int32_t id, ErrorCode code) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) return;
  const auto stream = std::move(it->second);
  streams_.erase(it);
  queued_ -= stream->unsent();
  if (stream->events_) stream->events_->on_closed(now_, code);
}

}  // namespace cometfold::http2
