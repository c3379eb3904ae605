// RESP2, strictly and in bounded memory: an incremental reader and a writer. Does no I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cometfold::resp {

struct RespLimits {
  std::size_t max_value_bytes = 64 * 1024;   // bytes of one bulk string
  std::size_t max_elements = 8;              // of an array
  std::size_t max_line_bytes = 1024;         // bytes of a line: a status, an error, a length
  std::size_t max_frame_bytes = 144 * 1024;  // bytes of a whole command or reply
  std::size_t max_buffer_bytes = 0;  // bytes that may be here and not read yet; 0: a frame, and a little
  // A value above `max_value_bytes` and up to this, first in an array, is given out in pieces and held
  // nowhere. 0: none is.
  std::size_t max_streamed_value_bytes = 0;
};

enum class ItemType : std::uint8_t { kBulk, kNull, kSimple, kError, kInteger };

struct Item {
  ItemType type = ItemType::kNull;
  std::string_view text;
};

// A whole command or reply. The texts lie in the reader and last until its next call.
struct Frame {
  bool array = false;  // else `items` holds the one value
  std::vector<Item> items;
};

enum class ReadResult : std::uint8_t {
  kNeedMore,
  kFrame,
  kProtocolError,
  kStreamedValue  // a long value is under way: `streamed_value_remaining` and `take_streamed_chunk`, then
                  // `next` again
};

// Bytes go in through `prepare` and `commit`; `next` gives frame after frame. What a peer announces is
// checked against the limits before any memory is set aside for it. Once broken, a reader stays broken.
class RespReader {
 public:
  // `commands`: only arrays of bulk strings that are not null, as clients send them.
  RespReader(const RespLimits& limits, bool commands) : limits_(limits), commands_(commands) {}

  std::span<char> prepare();
  void commit(std::size_t bytes) { end_ += bytes; }
  ReadResult next(Frame& frame);

  // Of a long value: its size, the bytes still to be taken, those of them that are here.
  std::size_t streamed_value_size() const { return long_size_; }
  std::size_t streamed_value_remaining() const { return long_left_; }
  std::size_t streamed_value_buffered() const { return std::min(long_left_, end_ - begin_); }
  // What is here of it. Lasts until the next call.
  std::string_view take_streamed_chunk();

  bool empty() const { return begin_ + consumed_ == end_; }
  // No more can be taken in before something has been read.
  bool full() const { return end_ - begin_ - consumed_ >= most(); }
  std::size_t buffer_capacity() const { return buffer_.size(); }
  const char* error() const { return fault_; }

 private:
  struct Mark {
    ItemType kind;
    std::size_t at, size;  // from `begin_`
  };

  std::size_t most() const;
  void drop_consumed();
  ReadResult broken(const char* why);
  ReadResult line(std::string_view& text);
  ReadResult element(std::string_view header);

  RespLimits limits_;
  bool commands_;
  std::vector<char> buffer_;
  std::size_t begin_ = 0, end_ = 0;
  std::size_t consumed_ = 0;  // of the frame given out last
  std::size_t cursor_ = 0;    // parsed so far, from `begin_`
  bool started_ = false, array_ = false;
  std::size_t wanted_ = 0;  // elements still to come
  bool in_bulk_ = false;    // a bulk string's length is known, its bytes are awaited
  std::size_t bulk_size_ = 0;
  bool in_long_ = false;
  std::size_t long_size_ = 0, long_left_ = 0;
  std::vector<Mark> marks_;
  const char* fault_ = nullptr;
};

void append_array(std::string& out, std::size_t elements);
void append_bulk(std::string& out, std::string_view value);
// An error line; bytes that would break the line are left out.
void append_error(std::string& out, std::string_view text);
void append_simple(std::string& out, std::string_view text);

}  // namespace cometfold::resp
