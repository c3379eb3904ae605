#include "resp/resp_reader.h"

#include <charconv>
#include <cstring>

namespace cometfold::resp {
namespace {

constexpr std::size_t kInitialBufferBytes = 2048;
// A larger buffer is reduced to this size once it is empty.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxLengthDigits = 9;  // keeps a length within 32 bits
constexpr std::size_t kLineEndBytes = 2;     // CR LF

// Parses a length without sign or leading zeros. Returns nothing for anything else.
std::optional<std::size_t> parse_length(std::string_view digits) {
  if (digits.empty() || digits.size() > kMaxLengthDigits) return {};
  if (digits.size() > 1 && digits[0] == '0') return {};
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
  if (error != std::errc{} || end != digits.data() + digits.size()) return {};
  return length;
}

bool is_integer(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size();
}

// Returns the type of a single-line value by its first character, or nothing for other characters.
std::optional<ItemType> line_type(char marker) {
  switch (marker) {
    case '+':
      return ItemType::kSimple;
    case '-':
      return ItemType::kError;
    case ':':
      return ItemType::kInteger;
    default:
      return {};
  }
}

}  // namespace

void RespReader::drop_consumed() {
  begin_ += consumed_;
  consumed_ = 0;
  if (begin_ != end_) return;
  begin_ = 0;
  end_ = 0;
  if (buffer_.size() > kMaxIdleBufferBytes) buffer_ = std::vector<char>(kMaxIdleBufferBytes);
}

void RespReader::release_buffer() {
  drop_consumed();
  if (begin_ == end_ && buffer_.size() > kInitialBufferBytes) buffer_ = std::vector<char>();
}

std::size_t RespReader::max_buffered_bytes() const {
  return std::max(limits_.max_buffer_bytes, limits_.max_frame_bytes + kInitialBufferBytes);
}

std::span<char> RespReader::prepare() {
  drop_consumed();
  if (buffer_.empty()) buffer_.resize(kInitialBufferBytes);
  if (end_ == buffer_.size() && begin_ > 0) {
    std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  if (end_ == buffer_.size()) buffer_.resize(std::min(buffer_.size() * 2, max_buffered_bytes()));
  return {buffer_.data() + end_, buffer_.size() - end_};
}

ReadResult RespReader::fail(ProtocolError error) {
  error_ = error;
  return ReadResult::kProtocolError;
}

// Reads the next line. `text` is the line without its CR LF.
RespReader::StepResult RespReader::read_line(std::string_view& text) {
  const char* from = buffer_.data() + begin_ + parsed_;
  const std::size_t available = end_ - begin_ - parsed_;
  const std::size_t max_bytes = limits_.max_line_bytes + kLineEndBytes;
  const auto* line_feed = static_cast<const char*>(std::memchr(from, '\n', std::min(available, max_bytes)));
  if (!line_feed) return available >= max_bytes ? fail(ProtocolError::kLineTooLong) : ReadResult::kNeedMore;
  text = {from, static_cast<std::size_t>(line_feed - from)};
  if (text.empty() || text.back() != '\r') return fail(ProtocolError::kLineWithoutCrLf);
  text.remove_suffix(1);
  if (text.find('\r') != std::string_view::npos) return fail(ProtocolError::kCrInsideLine);
  parsed_ += text.size() + kLineEndBytes;
  if (parsed_ > limits_.max_frame_bytes) return fail(ProtocolError::kFrameTooLong);
  if (text.empty()) return fail(ProtocolError::kEmptyLine);
  return {};
}

RespReader::StepResult RespReader::read_array_header(std::string_view length) {
  const auto elements = parse_length(length);
  if (!elements) return fail(ProtocolError::kInvalidArrayLength);
  if (*elements > limits_.max_elements) return fail(ProtocolError::kTooManyElements);
  missing_elements_ = *elements;
  return {};
}

// `offset`: position of the length, from `begin_`.
RespReader::StepResult RespReader::read_bulk_header(std::string_view length, std::size_t offset) {
  if (!commands_only_ && length == "-1") {
    items_.push_back({ItemType::kNull, offset, 0});
    --missing_elements_;
    return {};
  }
  const auto size = parse_length(length);
  if (!size) return fail(ProtocolError::kInvalidBulkLength);
  const bool is_first_of_array = is_array_ && items_.empty();
  if (*size > limits_.max_value_bytes && *size <= limits_.max_streamed_value_bytes && is_first_of_array) {
    begin_ += parsed_;  // the headers before it are no longer needed
    parsed_ = 0;
    in_streamed_value_ = true;
    streamed_size_ = *size;
    streamed_remaining_ = *size;
    return {};
  }
  if (*size > limits_.max_value_bytes || parsed_ + *size + kLineEndBytes > limits_.max_frame_bytes) {
    return fail(ProtocolError::kBulkStringTooLong);
  }
  in_bulk_ = true;
  bulk_size_ = *size;
  return {};
}

// Reads a value other than an array, starting with its first line.
RespReader::StepResult RespReader::read_element(std::string_view header) {
  const char marker = header[0];
  const auto text = header.substr(1);
  const std::size_t offset = parsed_ - kLineEndBytes - text.size();
  if (marker == '$') return read_bulk_header(text, offset);
  if (commands_only_) return fail(ProtocolError::kExpectedBulkString);
  const auto type = line_type(marker);
  if (!type) return fail(ProtocolError::kUnknownType);
  if (*type == ItemType::kInteger && !is_integer(text)) return fail(ProtocolError::kInvalidInteger);
  items_.push_back({*type, offset, text.size()});
  --missing_elements_;
  return {};
}

// Reads the first line of a frame or of one of its elements.
RespReader::StepResult RespReader::read_header() {
  std::string_view header;
  if (const StepResult result = read_line(header)) return result;
  if (frame_started_) return read_element(header);
  is_array_ = header[0] == '*';
  if (commands_only_ && !is_array_) return fail(ProtocolError::kExpectedArray);
  frame_started_ = true;
  missing_elements_ = 1;
  return is_array_ ? read_array_header(header.substr(1)) : read_element(header);
}

RespReader::StepResult RespReader::read_bulk_bytes() {
  if (end_ - begin_ < parsed_ + bulk_size_ + kLineEndBytes) return ReadResult::kNeedMore;
  const char* after = buffer_.data() + begin_ + parsed_ + bulk_size_;
  if (after[0] != '\r' || after[1] != '\n') return fail(ProtocolError::kBulkStringWithoutCrLf);
  items_.push_back({ItemType::kBulk, parsed_, bulk_size_});
  parsed_ += bulk_size_ + kLineEndBytes;
  in_bulk_ = false;
  --missing_elements_;
  return {};
}

// Reads the CR LF that ends a streamed value. Its item is empty, as its bytes have already been returned in
// chunks.
RespReader::StepResult RespReader::finish_streamed_value() {
  if (streamed_remaining_ > 0) return ReadResult::kStreamedValue;
  if (end_ - begin_ < kLineEndBytes) return ReadResult::kNeedMore;
  if (buffer_[begin_] != '\r' || buffer_[begin_ + 1] != '\n') {
    return fail(ProtocolError::kBulkStringWithoutCrLf);
  }
  items_.push_back({ItemType::kBulk, 0, 0});
  parsed_ += kLineEndBytes;
  in_streamed_value_ = false;
  --missing_elements_;
  return {};
}

std::string_view RespReader::take_streamed_chunk() {
  drop_consumed();
  const std::string_view chunk(buffer_.data() + begin_, streamed_value_buffered());
  streamed_remaining_ -= chunk.size();
  consumed_ = chunk.size();
  return chunk;
}

void RespReader::fill(Frame& frame) {
  frame.is_array = is_array_;
  frame.items.clear();
  for (const ItemPosition& item : items_) {
    frame.items.push_back({item.type, {buffer_.data() + begin_ + item.offset, item.size}});
  }
}

ReadResult RespReader::next(Frame& frame) {
  if (error_) return ReadResult::kProtocolError;
  drop_consumed();
  while (!frame_started_ || missing_elements_ > 0) {
    const StepResult result = in_streamed_value_ ? finish_streamed_value()
                              : in_bulk_         ? read_bulk_bytes()
                                                 : read_header();
    if (result) return *result;
  }
  fill(frame);
  items_.clear();
  consumed_ = parsed_;
  parsed_ = 0;
  frame_started_ = false;
  return ReadResult::kFrame;
}

}  // namespace cometfold::resp
