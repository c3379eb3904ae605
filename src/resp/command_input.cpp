#include "resp/command_input.h"

#include <utility>

namespace cometfold::resp {
namespace {

// Commands in a buffer up to this size are exempt from the limit over all connections.
constexpr std::size_t kMaxExemptBufferBytes = std::size_t{16} * 1024;
// Per client, while its commands are not dispatched.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{512} * 1024;
constexpr RespLimits kCommandLimits{.max_buffer_bytes = kMaxReadAheadBytes};
// Reloads in succession that the waiting commands of one client are told apart by.
constexpr std::size_t kMaxReplacedNames = 16;

}  // namespace

CommandInput::CommandInput(MemoryBudget& memory, Ms now)
    : memory_(memory), reader_(kCommandLimits, true), awaited_since_(now) {}

std::span<char> CommandInput::prepare_read() {
  const auto space = reader_.prepare();
  offered_bytes_ = space.size();
  memory_.remove(MemoryBudget::Use::kClientInput, buffered_bytes_);
  buffered_bytes_ = reader_.buffer_capacity();
  memory_.add(MemoryBudget::Use::kClientInput, buffered_bytes_);
  return space;
}

void CommandInput::commit(Ms now, std::size_t bytes, bool awaits_command) {
  if (reader_.empty() && awaits_command) awaited_since_ = now;
  if (!more_available_) arrived_at_ = now;
  more_available_ = bytes == offered_bytes_;
  count_received(bytes);
}

void CommandInput::count_received(std::size_t bytes) {
  reader_.commit(bytes);
  received_bytes_ += bytes;
}

// A command belongs to the names under which it was complete. If no byte has arrived since the replacement
// before, all that waits belongs to earlier names.
void CommandInput::on_names_replaced(std::shared_ptr<const CommandNames> names, std::size_t unread_bytes) {
  if (reader_.empty() && unread_bytes == 0) return;
  const std::uint64_t end = received_bytes_ + unread_bytes;
  if (!replaced_names_.empty() && replaced_names_.back().end == end) return;
  if (replaced_names_.size() >= kMaxReplacedNames) {
    replaced_names_.back().end = end;
  } else {
    replaced_names_.push_back({end, std::move(names)});
  }
}

CommandArrival CommandInput::arrival(Ms now) {
  const std::uint64_t command_end = received_bytes_ - reader_.remaining_bytes();
  while (!replaced_names_.empty() && replaced_names_.front().end < command_end) replaced_names_.pop_front();
  return {now - arrived_at_, replaced_names_.empty() ? nullptr : replaced_names_.front().names};
}

// Many incomplete large commands together would exceed the memory limit of the process.
bool CommandInput::incomplete_command_too_large() const {
  return buffered_bytes_ > kMaxExemptBufferBytes && !memory_.admits_large_commands();
}

ReadResult CommandInput::next(Ms now) {
  const ReadResult result = reader_.next(frame_);
  switch (result) {
    case ReadResult::kFrame:
      awaited_since_ = now;
      break;
    case ReadResult::kProtocolError:
      error_ = reader_.error();
      break;
    case ReadResult::kNeedMore:
      if (!incomplete_command_too_large()) break;
      error_ = ProtocolError::kIncompleteCommandsTooLarge;
      return ReadResult::kProtocolError;
    case ReadResult::kStreamedValue:  // not enabled by the limits of this reader
      break;
  }
  return result;
}

// The end of a client's stream becomes visible only once everything sent before it has been read, so input is
// read ahead. It uses at most half of the total buffer memory, as incomplete commands need that more.
bool CommandInput::may_read_ahead() const { return !reader_.full() && memory_.may_read_ahead(); }

void CommandInput::discard() {
  release_accounting();
  reader_ = RespReader(kCommandLimits, true);
}

void CommandInput::release_accounting() {
  memory_.remove(MemoryBudget::Use::kClientInput, std::exchange(buffered_bytes_, 0));
}

void CommandInput::set_arrival_bound(Ms earliest) {
  arrived_at_ = earliest;
  more_available_ = true;
}

}  // namespace cometfold::resp
