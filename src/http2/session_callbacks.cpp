#include "http2/session_callbacks.h"

#include <algorithm>
#include <cstring>

namespace cometfold::http2 {

namespace {

constexpr std::size_t kMaxIdleOutputBytes = 1024;  // a larger buffer of a stream is freed once it is empty

std::string_view to_text(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

// Whether a frame is cheap to send but costly to process. HEADERS frames are not counted, as the limit of
// streams bounds them.
bool is_cheap(const nghttp2_frame_hd& frame) {
  switch (frame.type) {
    case NGHTTP2_HEADERS:
      return false;
    case NGHTTP2_DATA:
      return frame.length == 0;
    default:
      return true;
  }
}

bool has_body_or_headers(const nghttp2_frame& frame) {
  return frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
}

bool ends_stream(const nghttp2_frame& frame) {
  return has_body_or_headers(frame) && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

}  // namespace

std::vector<nghttp2_nv> to_nghttp2(const Headers& headers) {
  std::vector<nghttp2_nv> fields;
  fields.reserve(headers.size());
  for (const Header& header : headers) {
    fields.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(header.name.data())),
                      reinterpret_cast<std::uint8_t*>(const_cast<char*>(header.value.data())),
                      header.name.size(), header.value.size(), NGHTTP2_NV_FLAG_NONE});
  }
  return fields;
}

int Session::Callbacks::on_begin_frame(nghttp2_session*, const nghttp2_frame_hd* frame, void* user_data) {
  Session& session = session_of(user_data);
  session.preface_received_ = true;
  if (is_cheap(*frame)) session.count_cheap_frame();
  return 0;
}

int Session::Callbacks::on_begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
  Session& session = session_of(user_data);
  session.header_block_.clear();
  if (session.role_ == Role::kServer && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    session.begin_stream(frame->hd.stream_id);
  }
  return 0;
}

int Session::Callbacks::on_header(nghttp2_session*, const nghttp2_frame*, const std::uint8_t* name,
                                  std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                                  std::uint8_t, void* user_data) {
  Session& session = session_of(user_data);
  const auto result = session.header_block_.add(to_text(name, name_size), to_text(value, value_size));
  if (result != HeaderBlockBuffer::AddResult::kTooLarge) return 0;
  if (session.termination_code_ == 0) session.terminate(NGHTTP2_ENHANCE_YOUR_CALM);
  return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
}

int Session::Callbacks::on_frame(nghttp2_session*, const nghttp2_frame* frame, void* user_data) {
  Session& session = session_of(user_data);
  if (!has_body_or_headers(*frame)) return 0;
  Stream* stream = session.find_stream(frame->hd.stream_id);
  if (!stream) return 0;
  const bool last = ends_stream(*frame) && !stream->peer_ended_;
  stream->peer_ended_ = stream->peer_ended_ || last;
  if (frame->hd.type == NGHTTP2_HEADERS) session.on_header_block(*stream);
  if (last && stream->events_) stream->events_->on_end(session.now_);
  return 0;
}

int Session::Callbacks::on_data(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                                std::size_t size, void* user_data) {
  Session& session = session_of(user_data);
  Stream* stream = session.find_stream(id);
  if (session.role_ == Role::kClient) session.on_work_done();  // the client requested this data
  // A server that has finished its response ignores the rest of the request.
  if (!stream || !stream->events_ || (session.role_ == Role::kServer && stream->finished_)) return 0;
  stream->events_->on_data(session.now_, to_text(bytes, size));
  return 0;
}

int Session::Callbacks::on_stream_closed(nghttp2_session*, std::int32_t id, std::uint32_t code,
                                         void* user_data) {
  session_of(user_data).close_stream(id, code);
  return 0;
}

// RFC 9113 section 8.1: after a complete response the server may reset the stream with NO_ERROR, so that the
// client stops sending the request. This must wait until the last frame is sent: a queued reset
// keeps the frames behind it from being sent.
int Session::Callbacks::on_frame_sent(nghttp2_session* session, const nghttp2_frame* frame, void* user_data) {
  Session& owner = session_of(user_data);
  if (owner.role_ != Role::kServer || !ends_stream(*frame)) return 0;
  const Stream* stream = owner.find_stream(frame->hd.stream_id);
  if (stream && !stream->peer_ended_) {
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
  }
  return 0;
}

ssize_t Session::Callbacks::read_output(nghttp2_session* session, std::int32_t, std::uint8_t* into,
                                        std::size_t max_bytes, std::uint32_t* flags,
                                        nghttp2_data_source* source, void* user_data) {
  Stream& stream = *static_cast<Stream*>(source->ptr);
  const std::size_t bytes = std::min(max_bytes, stream.unsent_bytes());
  if (bytes == 0 && !stream.finished_) {
    stream.deferred_ = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  std::memcpy(into, stream.output_.data() + stream.rendered_, bytes);
  stream.rendered_ += bytes;
  session_of(user_data).stream_bytes_ -= bytes;
  if (stream.unsent_bytes() == 0) finish_output(session, stream, flags);
  return static_cast<ssize_t>(bytes);
}

// Called when all of a stream's bytes are rendered: frees the buffer, and ends this side of the stream if it
// is finished.
void Session::Callbacks::finish_output(nghttp2_session* session, Stream& stream, std::uint32_t* flags) {
  stream.output_.clear();
  stream.rendered_ = 0;
  if (stream.output_.capacity() > kMaxIdleOutputBytes) stream.output_.shrink_to_fit();
  if (!stream.finished_) return;
  *flags |= NGHTTP2_DATA_FLAG_EOF;
  if (stream.trailers_.empty()) return;
  *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
  const auto fields = to_nghttp2(stream.trailers_);
  nghttp2_submit_trailer(session, stream.id_, fields.data(), fields.size());
}

nghttp2_session_callbacks* Session::Callbacks::table() {
  static nghttp2_session_callbacks* const callbacks = [] {
    nghttp2_session_callbacks* made = nullptr;
    nghttp2_session_callbacks_new(&made);
    nghttp2_session_callbacks_set_on_begin_frame_callback(made, on_begin_frame);
    nghttp2_session_callbacks_set_on_begin_headers_callback(made, on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(made, on_header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(made, on_frame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(made, on_data);
    nghttp2_session_callbacks_set_on_frame_send_callback(made, on_frame_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(made, on_stream_closed);
    return made;
  }();
  return callbacks;
}

}  // namespace cometfold::http2
