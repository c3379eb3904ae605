#include "http2/header_block_buffer.h"

namespace cometfold::http2 {
namespace {

constexpr std::size_t kOverheadBytes = 32;  // counted for each header, RFC 9113 section 6.5.2
constexpr std::size_t kTooLargeFactor = 8;  // multiple of the limit above which a block is too large

}  // namespace

void HeaderBlockBuffer::clear() {
  text_.clear();
  positions_.clear();
  counted_bytes_ = 0;
}

// Headers over the limit are counted but not stored: a small compressed block can expand to hundreds of
// megabytes by references to one header.
HeaderBlockBuffer::AddResult HeaderBlockBuffer::add(std::string_view name, std::string_view value) {
  counted_bytes_ += name.size() + value.size() + kOverheadBytes;
  if (counted_bytes_ > kTooLargeFactor * max_bytes_) return AddResult::kTooLarge;
  if (over_limit()) return AddResult::kDropped;
  const std::size_t start = text_.size();
  positions_.push_back({start, start + name.size(), start + name.size() + value.size()});
  text_ += name;
  text_ += value;
  return AddResult::kAdded;
}

HeaderBlock HeaderBlockBuffer::headers() {
  views_.clear();
  const std::string_view text = text_;
  for (const HeaderPosition& header : positions_) {
    views_.push_back({text.substr(header.name, header.value - header.name),
                      text.substr(header.value, header.end - header.value)});
  }
  return views_;
}

}  // namespace cometfold::http2
