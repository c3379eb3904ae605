// A strict incremental parser for RESP2 with bounded memory. Does no I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "resp/protocol_error.h"

namespace cometfold::resp {

struct RespLimits {
  std::size_t max_value_bytes = std::size_t{64} * 1024;   // bytes of one bulk string
  std::size_t max_elements = 8;                           // of an array
  std::size_t max_line_bytes = 1024;                      // bytes of a line: a status, an error, a length
  std::size_t max_frame_bytes = std::size_t{144} * 1024;  // bytes of a whole command or reply
  std::size_t max_buffer_bytes = 0;  // bytes in the buffer; 0: one frame and one more read
  // A bulk string above `max_value_bytes` and up to this many bytes that is the first element of an array is
  // returned in chunks and never buffered as a whole. 0: disabled.
  std::size_t max_streamed_value_bytes = 0;
};

enum class ItemType : std::uint8_t { kBulk, kNull, kSimple, kError, kInteger };

// A value other than an array. `text` points into the buffer of the reader.
struct Item {
  ItemType type = ItemType::kNull;
  std::string_view text;
};

// A complete command or reply. Its texts are valid until the next call of a non-const member of the reader.
struct Frame {
  bool is_array = false;  // if false, `items` holds a single value
  std::vector<Item> items;
};

enum class ReadResult : std::uint8_t {
  kNeedMore,
  kFrame,
  kProtocolError,
  kStreamedValue  // a streamed value: take its chunks with `take_streamed_chunk`, then call `next`
};

// Bytes are added with `prepare` and `commit`; `next` returns one frame at a time. Lengths announced by the
// peer are checked against the limits before memory is allocated. After a protocol error every call of `next`
// returns `kProtocolError`.
class RespReader {
 public:
  // `commands`: accepts only arrays of non-null bulk strings, as clients send them.
  RespReader(const RespLimits& limits, bool commands) : limits_(limits), commands_only_(commands) {}

  // Returns space for the next bytes, valid until the next call of a non-const member. Empty if the buffer is
  // full.
  std::span<char> prepare();
  // `bytes` of the space that `prepare` returned have been filled.
  void commit(std::size_t bytes) { end_ += bytes; }
  ReadResult next(Frame& frame);

  // Of a streamed value: its announced size, the bytes that are not taken yet, and how many of these are
  // buffered.
  std::size_t streamed_value_size() const { return streamed_size_; }
  std::size_t streamed_value_remaining() const { return streamed_remaining_; }
  std::size_t streamed_value_buffered() const { return std::min(streamed_remaining_, end_ - begin_); }
  // Takes the buffered bytes of a streamed value. Valid until the next call of a non-const member.
  std::string_view take_streamed_chunk();

  // Nothing is buffered except the frame that `next` returned last.
  bool empty() const { return remaining_bytes() == 0; }
  // Bytes that are buffered behind the frame that `next` returned last.
  std::size_t remaining_bytes() const { return end_ - begin_ - consumed_; }
  // The buffer has reached its limit; there is space again only after `next` has returned a frame.
  bool full() const { return remaining_bytes() >= max_buffered_bytes(); }
  std::size_t buffer_capacity() const { return buffer_.size(); }
  // The next call of `prepare` allocates a larger buffer.
  bool needs_growth() const { return remaining_bytes() == buffer_.size(); }
  // Frees a large buffer if it is empty. The frame that `next` returned last becomes invalid.
  void release_buffer();
  // Valid only after `next` returned `kProtocolError`.
  ProtocolError error() const { return error_.value(); }

 private:
  // Position of a value of the current frame.
  struct ItemPosition {
    ItemType type;
    std::size_t offset;  // from `begin_`
    std::size_t size;
  };
  // If set, `next` returns it. If empty, the step is complete and parsing continues.
  using StepResult = std::optional<ReadResult>;

  std::size_t max_buffered_bytes() const;
  void drop_consumed();
  ReadResult fail(ProtocolError error);
  StepResult finish_streamed_value();
  StepResult read_bulk_bytes();
  StepResult read_header();
  StepResult read_line(std::string_view& text);
  StepResult read_array_header(std::string_view length);
  StepResult read_bulk_header(std::string_view length, std::size_t offset);
  StepResult read_element(std::string_view header);
  void fill(Frame& frame);

  RespLimits limits_;
  bool commands_only_;
  std::vector<char> buffer_;
  std::size_t begin_ = 0;       // start of the current frame in `buffer_`
  std::size_t end_ = 0;         // end of the bytes in `buffer_`
  std::size_t consumed_ = 0;    // bytes of the frame or chunk returned last, from `begin_`
  std::size_t parsed_ = 0;      // bytes of the current frame that are parsed, from `begin_`
  bool frame_started_ = false;  // the first line of the current frame is parsed
  bool is_array_ = false;       // whether the current frame is an array
  std::size_t missing_elements_ = 0;
  bool in_bulk_ = false;  // the length of a bulk string is parsed, but not all of its bytes
  std::size_t bulk_size_ = 0;
  bool in_streamed_value_ = false;
  std::size_t streamed_size_ = 0;
  std::size_t streamed_remaining_ = 0;
  std::vector<ItemPosition> items_;
  std::optional<ProtocolError> error_;
};

}  // namespace cometfold::resp
