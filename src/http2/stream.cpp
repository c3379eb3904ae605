#include "http2/stream.h"

#include "http2/session.h"
#include "http2/session_callbacks.h"

namespace cometfold::http2 {

void Stream::respond(const Headers& headers, bool end) {
  if (responded_) return;
  responded_ = true;
  finished_ = finished_ || end;
  const auto fields = to_nghttp2(headers);
  nghttp2_data_provider provider{{.ptr = this}, Session::Callbacks::read_output};
  nghttp2_submit_response(session_.session_, id_, fields.data(), fields.size(), end ? nullptr : &provider);
  session_.notify_output();
}

void Stream::write(std::string_view bytes) {
  if (finished_) return;
  if (rendered_ > 0 && rendered_ * 2 > output_.size()) {
    output_.erase(0, rendered_);
    rendered_ = 0;
  }
  output_ += bytes;
  session_.stream_bytes_ += bytes.size();
  session_.resume(*this);
}

bool Stream::withdraw(std::size_t bytes) {
  if (unsent_bytes() < bytes) return false;
  output_.resize(output_.size() - bytes);
  session_.stream_bytes_ -= bytes;
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
  session_.notify_output();
}

}  // namespace cometfold::http2
