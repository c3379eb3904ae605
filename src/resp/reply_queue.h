// The replies of one client connection in the order of its commands, and their bytes that are not written
// yet. Does no I/O: the connection writes the bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cometfold/admission_controller.h"
#include "engine/digest.h"
#include "engine/downstream_handler.h"
#include "resp/memory_budget.h"

namespace cometfold::resp {

// The result of dispatching a command.
struct CommandResult {
  std::uint64_t request_id = 0;  // for `on_client_disconnected` before the reply is complete; 0: none
  std::uint64_t identity = 0;    // the request's id on the wire, if it is a request
  bool is_request = false;       // it was accepted as a request
  Ms expires_at = std::numeric_limits<Ms>::infinity();  // the client's deadline
};

// The entry of one command whose complete reply has not been moved to the output yet.
struct ReplySlot {
  CommandResult command;
  bool complete = false;
  bool streamed = false;         // a streamed value has started
  bool begun = false;            // part of that value is in the output
  bool awaits_capacity = false;  // the sender of that value waits for `on_client_writable`
  std::size_t value_size = 0;    // of a streamed value, in bytes
  std::optional<engine::CompletionBound> completion_bound;  // of a streamed value
  std::size_t counted_bytes = 0;                            // part of `bytes` that the memory budget includes
  std::string bytes;                                        // buffered while earlier replies are incomplete
};

// Commands are numbered from 0. The first reply goes to the output once it is complete, or directly once it
// is a streamed value that has been begun; later ones are buffered in their slots.
class ReplyQueue {
 public:
  // `memory`, of all connections, must outlive this object.
  explicit ReplyQueue(MemoryBudget& memory) : memory_(memory) {}

  // Adds a slot for the next command; returns its sequence number.
  std::uint64_t push();
  // Returns null if the reply to this command is complete or no such command exists. Valid until the next
  // call of a non-const member.
  ReplySlot* find_incomplete(std::uint64_t sequence);
  bool is_first(std::uint64_t sequence) const { return sequence == first_sequence_; }
  bool empty() const { return slots_.empty(); }
  std::size_t size() const { return slots_.size(); }
  ReplySlot& first() { return slots_.front(); }
  const ReplySlot& first() const { return slots_.front(); }
  bool has_replied() const { return first_sequence_ > 0; }
  bool has_complete_slot() const;
  // The first reply is a streamed value that is not complete.
  bool streams_value() const {
    return !slots_.empty() && slots_.front().streamed && !slots_.front().complete;
  }

  // The reply in this slot is complete once its bytes are buffered or in the output.
  void complete(ReplySlot& slot);
  void buffer(ReplySlot& slot, std::string_view bytes);
  void clear_buffer(ReplySlot& slot);
  // Moves the complete replies at the front to the output.
  void flush_complete();
  // Moves what is buffered of the first reply, a streamed value, to the output.
  void begin_value();

  void append_output(std::string_view bytes);
  bool output_empty() const { return output_.empty(); }
  std::string_view unwritten() const { return std::string_view(output_).substr(written_); }
  std::size_t unwritten_size() const { return output_.size() - written_; }
  void mark_written(std::size_t bytes) { written_ += bytes; }
  // Discards the output, which must be fully written.
  void clear_output();

  // Identities of requests whose replies are complete but not fully written.
  void hold_identity(std::uint64_t identity) { unflushed_identities_.push_back(identity); }
  std::vector<std::uint64_t> take_unflushed_identities();

  // Called when the connection is closed: its output no longer counts as unsent.
  void release_accounting() { release(output_.size()); }
  // Removes the slots of all commands. Their buffered bytes no longer count as unsent.
  std::deque<ReplySlot> take_slots();

  // Adds the state of this queue to the connection's digest.
  void digest(engine::Digest& into) const;

 private:
  void move_to_output(ReplySlot& slot);
  void count(std::size_t bytes) { memory_.add(MemoryBudget::Use::kReplies, bytes); }
  void release(std::size_t bytes) { memory_.remove(MemoryBudget::Use::kReplies, bytes); }

  MemoryBudget& memory_;
  std::deque<ReplySlot> slots_;
  std::uint64_t first_sequence_ = 0;  // of the first slot
  std::string output_;
  std::size_t written_ = 0;  // bytes at the front of `output_`
  std::vector<std::uint64_t> unflushed_identities_;
};

}  // namespace cometfold::resp
