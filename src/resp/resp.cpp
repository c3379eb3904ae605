#include "resp/resp.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <optional>

namespace cometfold::resp {
namespace {

constexpr std::size_t kFirstBuffer = 2048;
constexpr std::size_t kKeptBuffer = 16 * 1024;  // an idle connection gives back what is above

// A length without sign or leading zeros; nothing for anything else.
std::optional<std::size_t> length_of(std::string_view digits) {
  std::size_t n = 0;
  if (digits.empty() || digits.size() > 9 || (digits.size() > 1 && digits[0] == '0')) return {};
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
  if (error != std::errc{} || end != digits.data() + digits.size()) return {};
  return n;
}

bool is_integer(std::string_view text) {
  std::int64_t n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  return error == std::errc{} && end == text.data() + text.size();
}

}  // namespace

void RespReader::drop_consumed() {
  begin_ += consumed_;
  consumed_ = 0;
  if (begin_ == end_) {
    begin_ = end_ = 0;
    if (buffer_.size() > kKeptBuffer) buffer_ = std::vector<char>(kKeptBuffer);
  }
}

std::size_t RespReader::most() const {
  return std::max(limits_.max_buffer_bytes, limits_.max_frame_bytes + kFirstBuffer);
}

std::span<char> RespReader::prepare() {
  drop_consumed();
  if (buffer_.empty()) buffer_.resize(kFirstBuffer);
  if (end_ == buffer_.size() && begin_ > 0) {
    std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  if (end_ == buffer_.size()) buffer_.resize(std::min(buffer_.size() * 2, most()));
  return {buffer_.data() + end_, buffer_.size() - end_};
}

ReadResult RespReader::broken(const char* why) {
  fault_ = why;
  return ReadResult::kProtocolError;
}

// The line at the cursor, without its end. Moves past it.
ReadResult RespReader::line(std::string_view& text) {
  const char* from = buffer_.data() + begin_ + cursor_;
  const std::size_t there = end_ - begin_ - cursor_;
  const auto* stop =
      static_cast<const char*>(std::memchr(from, '\n', std::min(there, limits_.max_line_bytes + 2)));
  if (!stop) return there >= limits_.max_line_bytes + 2 ? broken("line too long") : ReadResult::kNeedMore;
  text = {from, static_cast<std::size_t>(stop - from)};
  if (text.empty() || text.back() != '\r') return broken("line without CR LF");
  text.remove_suffix(1);
  if (text.find('\r') != std::string_view::npos) return broken("CR inside a line");
  cursor_ += text.size() + 2;
  if (cursor_ > limits_.max_frame_bytes) return broken("frame too long");
  return text.empty() ? broken("empty line") : ReadResult::kFrame;
}

// One value that is no array, from its first line.
ReadResult RespReader::element(std::string_view header) {
  const char type = header[0];
  const auto rest = header.substr(1);
  const std::size_t at = cursor_ - 2 - rest.size();
  if (type == '$') {
    if (!commands_ && rest == "-1") {
      marks_.push_back({ItemType::kNull, at, 0});
      return ReadResult::kFrame;
    }
    const auto size = length_of(rest);
    if (!size) return broken("invalid bulk length");
    if (*size > limits_.max_value_bytes && *size <= limits_.max_streamed_value_bytes && array_ &&
        marks_.empty()) {
      begin_ += cursor_;  // nothing before it is needed any more
      cursor_ = 0;
      in_long_ = true;
      long_size_ = long_left_ = *size;
      return ReadResult::kFrame;
    }
    if (*size > limits_.max_value_bytes || cursor_ + *size + 2 > limits_.max_frame_bytes)
      return broken("bulk string too long");
    in_bulk_ = true;
    bulk_size_ = *size;
    return ReadResult::kFrame;
  }
  if (commands_) return broken("expected a bulk string");
  if (type == ':' && !is_integer(rest)) return broken("invalid integer");
  if (type != '+' && type != '-' && type != ':') return broken("unknown type");
  marks_.push_back({type == '+'   ? ItemType::kSimple
                    : type == '-' ? ItemType::kError
                                  : ItemType::kInteger,
                    at, rest.size()});
  return ReadResult::kFrame;
}

std::string_view RespReader::take_streamed_chunk() {
  drop_consumed();
  const std::string_view here(buffer_.data() + begin_, streamed_value_buffered());
  long_left_ -= here.size();
  consumed_ = here.size();
  return here;
}

ReadResult RespReader::next(Frame& frame) {
  if (fault_) return ReadResult::kProtocolError;
  drop_consumed();
  while (!started_ || wanted_ > 0) {
    if (in_long_) {
      if (long_left_ > 0) return ReadResult::kStreamedValue;
      if (end_ - begin_ < 2) return ReadResult::kNeedMore;
      if (buffer_[begin_] != '\r' || buffer_[begin_ + 1] != '\n') return broken("bulk string without CR LF");
      marks_.push_back({ItemType::kBulk, 0, 0});
      cursor_ += 2;
      in_long_ = false;
      --wanted_;
      continue;
    }
    if (in_bulk_) {
      if (end_ - begin_ < cursor_ + bulk_size_ + 2) return ReadResult::kNeedMore;
      const char* after = buffer_.data() + begin_ + cursor_ + bulk_size_;
      if (after[0] != '\r' || after[1] != '\n') return broken("bulk string without CR LF");
      marks_.push_back({ItemType::kBulk, cursor_, bulk_size_});
      cursor_ += bulk_size_ + 2;
      in_bulk_ = false;
      --wanted_;
      continue;
    }
    std::string_view header;
    if (const auto p = line(header); p != ReadResult::kFrame) return p;
    if (!started_) {
      array_ = header[0] == '*';
      if (commands_ && !array_) return broken("expected an array");
      started_ = true;
      wanted_ = 1;
      if (array_) {
        const auto n = length_of(header.substr(1));
        if (!n) return broken("invalid array length");
        if (*n > limits_.max_elements) return broken("too many elements");
        wanted_ = *n;
        continue;
      }
    }
    if (const auto p = element(header); p != ReadResult::kFrame) return p;
    if (!in_bulk_ && !in_long_) --wanted_;
  }
  frame.array = array_;
  frame.items.clear();
  for (const auto& m : marks_) frame.items.push_back({m.kind, {buffer_.data() + begin_ + m.at, m.size}});
  marks_.clear();
  consumed_ = cursor_;
  cursor_ = 0;
  started_ = false;
  return ReadResult::kFrame;
}

void append_array(std::string& out, std::size_t elements) {
  out += '*';
  out += std::to_string(elements);
  out += "\r\n";
}

void append_bulk(std::string& out, std::string_view value) {
  out += '$';
  out += std::to_string(value.size());
  out += "\r\n";
  out += value;
  out += "\r\n";
}

void append_error(std::string& out, std::string_view text) {
  out += '-';
  for (const char c : text) {
    if (c != '\r' && c != '\n') out += c;
  }
  out += "\r\n";
}

void append_simple(std::string& out, std::string_view text) {
  out += '+';
  out += text;
  out += "\r\n";
}

}  // namespace cometfold::resp
