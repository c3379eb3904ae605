#include "http2/grpc.h"

#include <algorithm>
#include <charconv>

namespace cometfold::http2::grpc {

namespace {

constexpr std::size_t kMaxIdleBufferBytes = 4096;  // a larger buffer is freed once its message is delivered
constexpr std::size_t kMaxTimeoutChars = 9;        // eight digits and a unit

std::size_t length_of(std::string_view prefix) {
  std::size_t length = 0;
  for (std::size_t i = 1; i < kPrefixBytes; ++i) length = length << 8 | static_cast<unsigned char>(prefix[i]);
  return length;
}

std::string percent_encoded(std::string_view message) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : message) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x20 && byte <= 0x7e && c != '%') {
      encoded += c;
    } else {
      encoded += {'%', kHex[byte >> 4], kHex[byte & 15]};
    }
  }
  return encoded;
}

}  // namespace

Headers trailers(const Status& status) {
  Headers fields{{"grpc-status", std::to_string(static_cast<int>(status.code))}};
  if (!status.message.empty()) fields.push_back({"grpc-message", percent_encoded(status.message)});
  return fields;
}

void append_prefix(std::string& out, std::size_t message_bytes) {
  out += '\0';
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(message_bytes >> shift & 0xff);
}

bool MessageReader::next(std::string_view& bytes, std::string_view& message) {
  drop_delivered();
  if (status_.code != Code::kOk) return false;
  if (buffer_.empty() && bytes.size() >= kPrefixBytes) return next_unbuffered(bytes, message);
  return next_buffered(bytes, message);
}

void MessageReader::drop_delivered() {
  if (!delivered_) return;
  buffer_.clear();
  if (buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
  delivered_ = false;
}

// Returns false and sets the status if a message with this prefix is not accepted.
bool MessageReader::check_prefix(std::string_view prefix) {
  if (prefix[0] != 0) {
    status_ = {Code::kUnimplemented, "compressed messages are not taken: send them with identity encoding"};
    return false;
  }
  const auto length = length_of(prefix);
  if (length > max_message_bytes_) {
    status_ = {Code::kResourceExhausted, "a message of " + std::to_string(length) + " bytes; at most " +
                                             std::to_string(max_message_bytes_) + " are taken"};
    return false;
  }
  return true;
}

// Returns a complete message as a view into `bytes`; an incomplete one is copied into the buffer.
bool MessageReader::next_unbuffered(std::string_view& bytes, std::string_view& message) {
  if (!check_prefix(bytes)) return false;
  const auto length = length_of(bytes);
  if (bytes.size() - kPrefixBytes < length) {
    buffer_ = bytes;
    bytes = {};
    return false;
  }
  message = bytes.substr(kPrefixBytes, length);
  bytes.remove_prefix(kPrefixBytes + length);
  return true;
}

bool MessageReader::next_buffered(std::string_view& bytes, std::string_view& message) {
  if (buffer_.size() < kPrefixBytes) {
    if (!fill_buffer(bytes, kPrefixBytes) || !check_prefix(buffer_)) return false;
  }
  if (!fill_buffer(bytes, kPrefixBytes + length_of(buffer_))) return false;
  message = std::string_view(buffer_).substr(kPrefixBytes);
  delivered_ = true;
  return true;
}

// Moves bytes from `bytes` into the buffer until it holds `size` bytes. Returns whether it does.
bool MessageReader::fill_buffer(std::string_view& bytes, std::size_t size) {
  const auto part = bytes.substr(0, size - buffer_.size());
  buffer_ += part;
  bytes.remove_prefix(part.size());
  return buffer_.size() == size;
}

std::optional<Ms> parse_timeout(std::string_view text) {
  if (text.size() < 2 || text.size() > kMaxTimeoutChars) return {};
  std::uint32_t digits = 0;
  const auto* end = text.data() + text.size() - 1;
  const auto [at, error] = std::from_chars(text.data(), end, digits);
  if (error != std::errc{} || at != end) return {};
  const double value = digits;
  switch (text.back()) {
    case 'H':
      return value * 3'600'000;
    case 'M':
      return value * 60'000;
    case 'S':
      return value * 1000;
    case 'm':
      return value;
    case 'u':
      return value / 1000;
    case 'n':
      return value / 1'000'000;
    default:
      return {};
  }
}

bool is_grpc(std::string_view content_type) {
  constexpr std::string_view kName = "application/grpc";
  if (!content_type.starts_with(kName)) return false;
  content_type.remove_prefix(kName.size());
  return content_type.empty() || content_type[0] == '+' || content_type[0] == ';';
}

}  // namespace cometfold::http2::grpc
