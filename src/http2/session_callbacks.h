// The callbacks of a `Session` for nghttp2. Internal to sessions and their streams.
#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "http2/session.h"

namespace cometfold::http2 {

// Returns fields that point into `headers`, which must outlive them.
std::vector<nghttp2_nv> to_nghttp2(const Headers& headers);

struct Session::Callbacks {
  // The table of all callbacks except `read_output`. It is never destroyed.
  static nghttp2_session_callbacks* table();
  // A `nghttp2_data_source_read_callback` whose source is the `Stream`: hands its bytes to nghttp2 when flow
  // control allows.
  static ssize_t read_output(nghttp2_session* session, std::int32_t id, std::uint8_t* into,
                             std::size_t max_bytes, std::uint32_t* flags, nghttp2_data_source* source,
                             void* user_data);

 private:
  static Session& session_of(void* user_data) { return *static_cast<Session*>(user_data); }
  static void finish_output(nghttp2_session* session, Stream& stream, std::uint32_t* flags);

  static int on_begin_frame(nghttp2_session*, const nghttp2_frame_hd* frame, void* user_data);
  static int on_begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user_data);
  static int on_header(nghttp2_session*, const nghttp2_frame*, const std::uint8_t* name,
                       std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                       std::uint8_t flags, void* user_data);
  static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* user_data);
  static int on_data(nghttp2_session*, std::uint8_t flags, std::int32_t id, const std::uint8_t* bytes,
                     std::size_t size, void* user_data);
  static int on_frame_sent(nghttp2_session* session, const nghttp2_frame* frame, void* user_data);
  static int on_stream_closed(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user_data);
};

}  // namespace cometfold::http2
