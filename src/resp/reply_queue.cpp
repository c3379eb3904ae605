#include "resp/reply_queue.h"

#include <algorithm>
#include <utility>

namespace cometfold::resp {
namespace {

// Written bytes are erased from the front of the output once there are this many.
constexpr std::size_t kMaxWrittenPrefixBytes = std::size_t{48} * 1024;
// A larger output buffer is freed once it is written.
constexpr std::size_t kMaxIdleOutputBytes = std::size_t{256} * 1024;

}  // namespace

std::uint64_t ReplyQueue::push() {
  slots_.emplace_back();
  memory_.begin_command();
  return first_sequence_ + slots_.size() - 1;
}

ReplySlot* ReplyQueue::find_incomplete(std::uint64_t sequence) {
  if (sequence < first_sequence_ || sequence - first_sequence_ >= slots_.size()) return nullptr;
  ReplySlot& slot = slots_[sequence - first_sequence_];
  return slot.complete ? nullptr : &slot;
}

bool ReplyQueue::has_complete_slot() const {
  return std::any_of(slots_.begin(), slots_.end(), [](const ReplySlot& slot) { return slot.complete; });
}

void ReplyQueue::complete(ReplySlot& slot) {
  slot.complete = true;
  memory_.end_command();
}

void ReplyQueue::buffer(ReplySlot& slot, std::string_view bytes) {
  slot.bytes += bytes;
  slot.counted_bytes += bytes.size();
  count(bytes.size());
}

void ReplyQueue::clear_buffer(ReplySlot& slot) {
  release(std::exchange(slot.counted_bytes, 0));
  slot.bytes.clear();
}

void ReplyQueue::flush_complete() {
  while (!slots_.empty() && slots_.front().complete) {
    move_to_output(slots_.front());
    slots_.pop_front();
    ++first_sequence_;
  }
}

void ReplyQueue::begin_value() {
  slots_.front().begun = true;
  move_to_output(slots_.front());
}

void ReplyQueue::move_to_output(ReplySlot& slot) {
  release(std::exchange(slot.counted_bytes, 0));
  if (slot.bytes.empty()) return;
  if (!output_.empty()) return append_output(std::exchange(slot.bytes, {}));
  output_ = std::exchange(slot.bytes, {});  // may be a whole streamed value, so it is not copied
  count(output_.size());
}

void ReplyQueue::append_output(std::string_view bytes) {
  if (written_ >= kMaxWrittenPrefixBytes) {  // otherwise a streamed value would accumulate here
    release(written_);
    output_.erase(0, std::exchange(written_, 0));
  }
  output_ += bytes;
  count(bytes.size());
}

void ReplyQueue::clear_output() {
  release(output_.size());
  output_.clear();
  written_ = 0;
  if (output_.capacity() > kMaxIdleOutputBytes) output_.shrink_to_fit();
}

std::vector<std::uint64_t> ReplyQueue::take_unflushed_identities() {
  return std::exchange(unflushed_identities_, {});
}

std::deque<ReplySlot> ReplyQueue::take_slots() {
  for (const ReplySlot& slot : slots_) {
    release(slot.counted_bytes);
    if (!slot.complete) memory_.end_command();
  }
  first_sequence_ += slots_.size();
  return std::exchange(slots_, {});
}

void ReplyQueue::digest(engine::Digest& into) const {
  into.add(first_sequence_);
  into.add(unwritten());
  for (const auto identity : unflushed_identities_) into.add(identity);
  for (const ReplySlot& slot : slots_) {
    into.add(slot.command.request_id << 4 | std::uint64_t{slot.begun} << 3 |
             std::uint64_t{slot.complete} << 2 | std::uint64_t{slot.streamed} << 1 |
             std::uint64_t{slot.awaits_capacity});
    into.add(slot.bytes);
  }
}

}  // namespace cometfold::resp
