#include "http2/session.h"

#include <algorithm>
#include <utility>

#include "http2/session_callbacks.h"

namespace cometfold::http2 {

namespace {

constexpr std::size_t kOutputChunkBytes = std::size_t{64} * 1024;   // rendered ahead, approximately
constexpr std::size_t kMaxIdleOutputBytes = 4 * kOutputChunkBytes;  // a larger buffer is freed when empty
constexpr std::size_t kMaxQueuedAcks = 256;      // unsent acknowledgements of PING and SETTINGS
constexpr std::size_t kMaxSettingsEntries = 32;  // in one SETTINGS frame
constexpr std::size_t kMaxContinuations = 8;     // CONTINUATION frames after one HEADERS frame
// Disables nghttp2's own limit on resets, which gives no credit for work done; `FloodGuard` limits them
// instead.
constexpr std::uint64_t kNoResetLimit = std::uint64_t{1} << 40;

}  // namespace

Session::Session(Role role, const SessionLimits& limits, SessionEvents& events, Ms now)
    : role_(role),
      limits_(limits),
      events_(events),
      now_(now),
      header_block_(limits.max_header_bytes),
      flood_guard_(limits.cheap_frames_per_second, limits.cheap_frame_burst, limits.cheap_frames_per_work,
                   now) {
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_max_outbound_ack(option, kMaxQueuedAcks);
  nghttp2_option_set_max_settings(option, kMaxSettingsEntries);
  nghttp2_option_set_max_continuations(option, kMaxContinuations);
  nghttp2_option_set_stream_reset_rate_limit(option, kNoResetLimit, kNoResetLimit);
  nghttp2_option_set_no_closed_streams(option, 1);
  nghttp2_option_set_no_auto_ping_ack(option, 0);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.max_concurrent_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits.stream_window_bytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits.max_header_bytes)},
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
                                        static_cast<std::int32_t>(limits.connection_window_bytes));
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
  const auto consumed_bytes =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (consumed_bytes < 0) {  // an invalid preface, or a flood that nghttp2 detected
    if (termination_code_ == 0) {
      termination_code_ =
          consumed_bytes == NGHTTP2_ERR_FLOODED ? NGHTTP2_ENHANCE_YOUR_CALM : NGHTTP2_PROTOCOL_ERROR;
    }
    over_ = true;
  }
  events_.on_output();
  return !over_ && termination_code_ == 0 && !done();
}

std::string_view Session::output() {
  if (written_ == output_.size()) {
    output_.clear();
    written_ = 0;
    while (output_.size() < kOutputChunkBytes) {
      const std::uint8_t* bytes = nullptr;
      const auto size = nghttp2_session_mem_send(session_, &bytes);
      if (size < 0) over_ = true;
      if (size <= 0) break;
      output_.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
    }
  }
  return std::string_view(output_).substr(written_);
}

void Session::consumed(std::size_t bytes) {
  written_ += bytes;
  if (written_ < output_.size()) return;
  output_.clear();
  written_ = 0;
  if (output_.capacity() > kMaxIdleOutputBytes) output_.shrink_to_fit();
}

bool Session::done() const {
  return over_ || (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0) ||
         (draining_ && streams_.empty());
}

Stream* Session::request(const Headers& headers, std::unique_ptr<StreamEvents> events, bool end) {
  if (role_ != Role::kClient || over_ || draining_ || nghttp2_session_check_request_allowed(session_) == 0)
    return nullptr;
  const auto fields = to_nghttp2(headers);
  auto stream = std::unique_ptr<Stream>(new Stream(*this, 0));
  nghttp2_data_provider provider{{.ptr = stream.get()}, Callbacks::read_output};
  const auto id = nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(),
                                         end ? nullptr : &provider, stream.get());
  if (id < 0) return nullptr;
  stream->id_ = id;
  stream->responded_ = true;
  stream->finished_ = end;
  stream->events_ = std::move(events);
  Stream* made = stream.get();
  streams_.emplace(id, std::move(stream));
  on_work_done();
  notify_output();
  return made;
}

void Session::count_cheap_frame() {
  const bool admitted = flood_guard_.admit(now_);
  if (!admitted && termination_code_ == 0) terminate(NGHTTP2_ENHANCE_YOUR_CALM);
}

void Session::ping() {
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  notify_output();
}

void Session::announce_drain() {
  if (role_ == Role::kServer) nghttp2_submit_shutdown_notice(session_);
  notify_output();
}

void Session::drain() {
  if (draining_) return;
  draining_ = true;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  notify_output();
}

void Session::terminate(ErrorCode code) {
  if (termination_code_ == 0) termination_code_ = code;
  nghttp2_session_terminate_session(session_, code);
  notify_output();
}

Stream* Session::find_stream(std::int32_t id) {
  return static_cast<Stream*>(nghttp2_session_get_stream_user_data(session_, id));
}

void Session::begin_stream(std::int32_t id) {
  auto stream = std::unique_ptr<Stream>(new Stream(*this, id));
  nghttp2_session_set_stream_user_data(session_, id, stream.get());
  streams_.insert_or_assign(id, std::move(stream));
}

void Session::on_header_block(Stream& stream) {
  if (header_block_.over_limit()) {
    if (role_ == Role::kServer && !stream.responded_) return stream.respond({{":status", "431"}}, true);
    return stream.reset(NGHTTP2_ENHANCE_YOUR_CALM);
  }
  const HeaderBlock headers = header_block_.headers();
  if (stream.events_) {
    stream.events_->on_headers(now_, headers);
  } else if (role_ == Role::kServer && !stream.responded_ && !stream.finished_) {
    stream.events_ = events_.on_request(now_, stream, headers);
  }
}

void Session::resume(Stream& stream) {
  if (stream.deferred_) {
    stream.deferred_ = false;
    nghttp2_session_resume_data(session_, stream.id_);
  }
  notify_output();
}

void Session::close_stream(std::int32_t id, ErrorCode code) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) return;
  const auto stream = std::move(it->second);
  streams_.erase(it);
  stream_bytes_ -= stream->unsent_bytes();
  if (stream->events_) stream->events_->on_closed(now_, code);
}

}  // namespace cometfold::http2
