// Buffers the header block that a session is reading. Header blocks of different streams are never
// interleaved on a connection, so one buffer per session is enough.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "http2/headers.h"

namespace cometfold::http2 {

class HeaderBlockBuffer {
 public:
  // `max_bytes`: limit of one block, counted as in RFC 9113 section 6.5.2.
  explicit HeaderBlockBuffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  enum class AddResult {
    kAdded,
    kDropped,   // over the limit: counted but not stored
    kTooLarge,  // so far over the limit that the connection must be closed
  };

  void clear();
  AddResult add(std::string_view name, std::string_view value);
  bool over_limit() const { return counted_bytes_ > max_bytes_; }
  // Returns the headers that were added. Valid until the next call of a non-const member function.
  HeaderBlock headers();

 private:
  // Offsets in `text_`.
  struct HeaderPosition {
    std::size_t name, value, end;
  };

  std::size_t max_bytes_;
  std::size_t counted_bytes_ = 0;
  std::string text_;  // names and values
  std::vector<HeaderPosition> positions_;
  std::vector<HeaderView> views_;
};

}  // namespace cometfold::http2
