// Incoming bytes of one client connection: splits them into commands, accounts for buffer memory, and tracks
// when they may have arrived. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>

#include "cometfold/admission_controller.h"
#include "resp/memory_budget.h"
#include "resp/request_parser.h"
#include "resp/resp_reader.h"

namespace cometfold::resp {

// When and under which names a command arrived.
struct CommandArrival {
  // Upper bound of the milliseconds since then.
  Ms elapsed_ms = 0;
  // The names that were in force when its last byte arrived; null: those in force now.
  std::shared_ptr<const CommandNames> replaced_names = {};
};

class CommandInput {
 public:
  // `memory` must outlive this object.
  CommandInput(MemoryBudget& memory, Ms now);

  // Returns the space for one read and accounts for it. Valid until the next call of `next` or
  // `prepare_read`.
  std::span<char> prepare_read();
  // `bytes` of that space have been filled. `awaits_command`: the client has sent commands before, so the
  // wait for its next one starts with these bytes if none were buffered.
  void commit(Ms now, std::size_t bytes, bool awaits_command);
  // The same while no commands are dispatched; leaves all times unchanged.
  void commit_ahead(std::size_t bytes) { count_received(bytes); }
  // Reads the next command into `frame`. Also returns a protocol error if all clients together buffer too
  // much and this one has a large incomplete command.
  ReadResult next(Ms now);
  const Frame& frame() const { return frame_; }
  // Valid only after `next` returned `kProtocolError`.
  ProtocolError error() const { return error_; }

  // Nothing is buffered except the command that `next` returned last.
  bool empty() const { return reader_.empty(); }
  // Whether more may be read while no commands are dispatched.
  bool may_read_ahead() const;
  // Drops what is buffered and frees the memory. Nothing may be committed afterwards.
  void discard();
  // Subtracts the buffer from the budget. Called when the connection is closed.
  void release_accounting();

  // Bytes read next may have arrived as early as `earliest`.
  void set_arrival_bound(Ms earliest);
  // More has arrived than was read, so the next read returns bytes as old as the last one.
  void set_more_available() { more_available_ = true; }
  // `names` are being replaced: they still apply to the commands that are buffered now, and to those among
  // the `unread_bytes` that have arrived but have not been read.
  void on_names_replaced(std::shared_ptr<const CommandNames> names, std::size_t unread_bytes);
  // Of the command that `next` returned last.
  CommandArrival arrival(Ms now);
  // Milliseconds that the next command has been awaited or incomplete.
  Ms command_awaited_for(Ms now) const { return now - awaited_since_; }

 private:
  // Names that apply to commands that end within the first `end` bytes of the connection.
  struct ReplacedNames {
    std::uint64_t end = 0;
    std::shared_ptr<const CommandNames> names;
  };

  bool incomplete_command_too_large() const;
  void count_received(std::size_t bytes);

  MemoryBudget& memory_;
  RespReader reader_;
  Frame frame_;
  ProtocolError error_{};
  Ms arrived_at_ = 0;            // earliest possible arrival of the bytes read last
  bool more_available_ = false;  // the next read continues bytes that arrived with the last one
  Ms awaited_since_;
  std::size_t offered_bytes_ = 0;             // size of the space for the pending read
  std::size_t buffered_bytes_ = 0;            // counted in the totals
  std::uint64_t received_bytes_ = 0;          // since the connection was opened
  std::deque<ReplacedNames> replaced_names_;  // by increasing `end`
};

}  // namespace cometfold::resp
