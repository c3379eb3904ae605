#include "http2/grpc.h"

#include <algorithm>
#include <charconv>

namespace cometfold::http2::grpc {

namespace {

std::size_t length_of(std::string_view prefix) {
  std::size_t n = 0;
  for (std::size_t i = 1; i < kPrefix; ++i) n = n << 8 | static_cast<unsigned char>(prefix[i]);
  return n;
}

std::string percent_encoded(std::string_view message) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : message) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x20 && byte <= 0x7e && c != '%') {
      out += c;
    } else {
      out += {'%', kHex[byte >> 4], kHex[byte & 15]};
    }
  }
  return out;
}

}  // namespace

Headers trailers(const Status& status) {
  Headers all{{"grpc-status", std::to_string(static_cast<int>(status.code))}};
  if (!status.message.empty()) all.push_back({"grpc-message", percent_encoded(status.message)});
  return all;
}

void append_prefix(std::string& out, std::size_t message_bytes) {
  out += '\0';
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(message_bytes >> shift & 0xff);
}

bool MessageReader::next(std::string_view& bytes, std::string_view& message) {
  if (taken_) {
    held_.clear();
    if (held_.capacity() > 4096) held_.shrink_to_fit();
    taken_ = false;
  }
  if (status_.code != Code::kOk) return false;
  if (held_.size() < kPrefix) {
    // A message that has come whole is not copied.
    const bool direct = held_.empty() && bytes.size() >= kPrefix;
    if (!direct) {
      const auto part = bytes.substr(0, kPrefix - held_.size());
      held_ += part;
      bytes.remove_prefix(part.size());
      if (held_.size() < kPrefix) return false;
    }
    const std::string_view prefix = direct ? bytes : std::string_view(held_);
    const auto length = length_of(prefix);
    if (prefix[0] != 0) {
      status_ = {Code::kUnimplemented, "compressed messages are not taken: send them with identity encoding"};
      return false;
    }
    if (length > most_) {
      status_ = {Code::kResourceExhausted, "a message of " + std::to_string(length) + " bytes; at most " +
                                               std::to_string(most_) + " are taken"};
      return false;
    }
    if (direct) {
      if (bytes.size() - kPrefix >= length) {
        message = bytes.substr(kPrefix, length);
        bytes.remove_prefix(kPrefix + length);
        return true;
      }
      held_ = bytes;
      bytes = {};
      return false;
    }
  }
  const auto length = length_of(held_);
  const auto part = bytes.substr(0, kPrefix + length - held_.size());
  held_ += part;
  bytes.remove_prefix(part.size());
  if (held_.size() < kPrefix + length) return false;
  message = std::string_view(held_).substr(kPrefix);
  taken_ = true;
  return true;
}

std::optional<Ms> parse_timeout(std::string_view text) {
  if (text.size() < 2 || text.size() > 9) return {};
  std::uint32_t digits = 0;
  const auto* end = text.data() + text.size() - 1;
  const auto [at, error] = std::from_chars(text.data(), end, digits);
  if (error != std::errc{} || at != end) return {};
  const double n = digits;
  switch (text.back()) {
    case 'H':
      return n * 3'600'000;
    case 'M':
      return n * 60'000;
    case 'S':
      return n * 1000;
    case 'm':
      return n;
    case 'u':
      return n / 1000;
    case 'n':
      return n / 1'000'000;
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
