// The replies of one client connection in the order of its commands, and the bytes of them that are still to
// be written. Pure: the connection writes them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "engine/digest.h"

namespace cometfold::resp {

// What has become of a command.
struct CommandResult {
  std::uint64_t request_id = 0;  // for `on_client_disconnected` if the client goes before its reply; 0: none
  std::uint64_t identity = 0;    // the request's id on the wire, if it is a request
  bool is_request = false;       // it was accepted as a request
};

// The place of one command that has no complete reply on its way to the client yet.
struct ReplySlot {
  CommandResult command;
  bool complete = false;
  bool streamed = false;          // a streamed value has begun
  bool awaits_capacity = false;   // ... and its sender waits for `on_client_writable`
  std::size_t counted_bytes = 0;  // of `bytes`, in the total of unsent bytes
  std::string bytes;              // while replies before it are incomplete
};

// Commands have sequence numbers, from 0. Bytes of the first incomplete reply go to the output at once, bytes
// of later ones are buffered in their slots.
class ReplyQueue {
 public:
  // `total_unsent_bytes`, over all connections, must outlive this object.
  explicit ReplyQueue(std::size_t& total_unsent_bytes) : total_unsent_bytes_(total_unsent_bytes) {}

  // Adds a slot for the next command; returns its sequence number.
  std::uint64_t push();
  // Null if this command has its complete reply, or never came. Valid until the next call of a non-const
  // member.
  ReplySlot* find_incomplete(std::uint64_t sequence);
  bool is_first(std::uint64_t sequence) const { return sequence == first_sequence_; }
  bool empty() const { return slots_.empty(); }
  std::size_t size() const { return slots_.size(); }
  ReplySlot& first() { return slots_.front(); }
  bool has_replied() const { return first_sequence_ > 0; }
  bool has_complete_slot() const;

  void buffer(ReplySlot& slot, std::string_view bytes);
  void clear_buffer(ReplySlot& slot);
  // Moves the complete replies at the front to the output, and what is buffered of a streamed value behind
  // them. True if that value's sender waits for capacity.
  bool flush_complete();

  void append_output(std::string_view bytes);
  bool output_empty() const { return output_.empty(); }
  std::string_view unwritten() const { return std::string_view(output_).substr(written_); }
  std::size_t unwritten_size() const { return output_.size() - written_; }
  void mark_written(std::size_t bytes) { written_ += bytes; }
  // All of the output is written: frees it.
  void clear_output();

  // Identities of requests whose replies are given and not all written.
  void hold_identity(std::uint64_t identity) { unflushed_identities_.push_back(identity); }
  std::vector<std::uint64_t> take_unflushed_identities();

  // For a connection that is closed: nothing of it counts as unsent any more.
  void release_accounting();
  std::deque<ReplySlot> take_slots();

  // The parts of a digest, in the order in which the connection adds them.
  void digest(engine::Digest& into) const;

 private:
  std::size_t& total_unsent_bytes_;
  std::deque<ReplySlot> slots_;
  std::uint64_t first_sequence_ = 0;  // of the first slot
  std::string output_;
  std::size_t written_ = 0;  // bytes at the front of `output_`
  std::vector<std::uint64_t> unflushed_identities_;
};

}  // namespace cometfold::resp
