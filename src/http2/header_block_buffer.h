// The header block that a session is reading: blocks of two streams are never interleaved, so one is enough.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "http2/headers.h"

namespace cometfold::http2 {

class HeaderBlockBuffer {
 public:
  // `max_bytes`: of one block, as RFC 9113 section 6.5.2 counts it.
  explicit HeaderBlockBuffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  enum class AddResult {
    kAdded,
    kDropped,   // over the limit: counted only
    kTooLarge,  // so far over it that the connection must end
  };

  void clear();
  AddResult add(std::string_view name, std::string_view value);
  bool over_limit() const { return counted_bytes_ > max_bytes_; }
  // The headers that were added. Valid until the next call of a non-const member.
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
