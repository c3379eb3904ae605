// The commands of one client connection as their bytes come in: framing, buffer memory, and how long ago they
// may have arrived. Does no I/O.
#pragma once

#include <cstddef>
#include <span>

#include "cometfold/admission_controller.h"
#include "resp/client_totals.h"
#include "resp/resp_reader.h"

namespace cometfold::resp {

class CommandInput {
 public:
  // `totals` must outlive this object.
  CommandInput(ClientTotals& totals, Ms now);

  // Space for one read, and its accounting. Valid until the next call of `next` or `prepare_read`.
  std::span<char> prepare_read();
  // `bytes` of that space have been filled. `awaits_command`: the client had commands before, so that the
  // wait for its next one begins with these bytes if none were buffered.
  void commit(Ms now, std::size_t bytes, bool awaits_command);
  // The same while no commands are dispatched; leaves all times as they are.
  void commit_ahead(std::size_t bytes) { reader_.commit(bytes); }
  // The next command, then in `frame`. Also fails where all clients together buffer too much and this one has
  // a large incomplete command.
  ReadResult next(Ms now);
  const Frame& frame() const { return frame_; }
  // Only after `next` returned `kProtocolError`.
  ProtocolError error() const { return error_; }

  // Nothing is buffered but the command that `next` returned last.
  bool empty() const { return reader_.empty(); }
  // Whether more may be read while no commands are dispatched.
  bool may_read_ahead() const;
  // Gives the memory of the buffer back to the totals. For a connection that is closed.
  void release_accounting();

  // What is read next may have arrived as early as `earliest`.
  void set_arrival_bound(Ms earliest);
  // More has arrived than was read, so that the next read gives bytes as old as the last one's.
  void set_more_available() { more_available_ = true; }
  // Milliseconds since the last command may have arrived.
  Ms elapsed(Ms now) const { return now - arrived_at_; }
  // Milliseconds since the next command is awaited or incomplete.
  Ms command_awaited_for(Ms now) const { return now - awaited_since_; }

 private:
  bool incomplete_command_too_large() const;

  ClientTotals& totals_;
  RespReader reader_;
  Frame frame_;
  ProtocolError error_{};
  Ms arrived_at_ = 0;            // earliest possible arrival of the bytes read last
  bool more_available_ = false;  // the next read continues bytes that arrived with the last one
  Ms awaited_since_;
  std::size_t offered_bytes_ = 0;   // space of the read that is awaited
  std::size_t buffered_bytes_ = 0;  // counted in the totals
};

}  // namespace cometfold::resp
