#include "resp/client_link.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "engine/faults.h"

namespace cometfold::resp {
using engine::mutant;
using engine::Mutant;

namespace {

constexpr std::size_t kMostPending = 64;         // commands of one connection not yet answered
constexpr std::size_t kMostUnsent = 256 * 1024;  // answers of one connection not yet taken
constexpr std::size_t kMostAhead = 48 * 1024;    // of a long value, ahead of what its client has taken
constexpr std::size_t kMostMistakes = 8;  // of one connection; then it is closed, or its errors eat the CPU
constexpr Ms kLinger = 500;  // after the last answer, for the client to read it before a reset could
constexpr std::size_t kLargeHalf = 16 * 1024;   // less of a command is always kept until its rest comes
constexpr std::size_t kReadAhead = 512 * 1024;  // bytes of commands, of a client that is held back

}  // namespace

ClientConnection::ClientConnection(ClientConnectionCallbacks& owner, ClientTotals& totals, std::uint64_t id,
                                   Ms now)
    : owner_(owner), totals_(totals), id_(id), reader_(RespLimits{.max_buffer_bytes = kReadAhead}, true) {
  touch(now);
  half_since_ = moved_;
}

void ClientConnection::start(std::unique_ptr<Stream> stream) {
  stream_ = std::move(stream);
  read();
}

void ClientConnection::send_reply(Ms now, std::uint64_t place, std::string_view reply) {
  Slot* slot = slot_at(place);
  if (!slot) return;
  if (slot->streams) {
    if (place == first_) {
      slot->named = {};
      return cut();
    }
    totals_.unsent_bytes -= std::exchange(slot->counted, 0);  // none of it is out: the answer takes its place
    slot->reply.clear();
  }
  slot->done = true;
  const CommandResult named = std::exchange(slot->named, CommandResult{});
  if (place != first_ && !mutant(Mutant::kAnswersOutOfOrder)) {
    slot->reply = reply;
    totals_.unsent_bytes += slot->reply.size();
    slot->counted = slot->reply.size();
    return keep_unsent(named);
  }
  append(now, reply);
  next_slots(now);
  if (!parsing_) write(now);
  if (!out_.empty()) keep_unsent(named);
  if (held_back_) go_on_later();
}

// Null if this place has its answer, or never was.
ClientConnection::Slot* ClientConnection::slot_at(std::uint64_t place) {
  if (closed_ || place < first_ || place - first_ >= slots_.size()) return nullptr;
  Slot& slot = slots_[place - first_];
  return slot.done ? nullptr : &slot;
}

// What is done at the front goes out, and what has come of a long value behind it.
void ClientConnection::next_slots(Ms now) {
  while (!slots_.empty() && (slots_.front().done || slots_.front().streams)) {
    Slot& front = slots_.front();
    totals_.unsent_bytes -= std::exchange(front.counted, 0);
    if (!front.reply.empty()) append(now, std::exchange(front.reply, {}));
    if (!front.done) {
      if (front.full && !std::exchange(room_due_, true)) stream_->post();
      return;
    }
    slots_.pop_front(), ++first_;
  }
}

// Danger: called from inside the engine, which must not be entered again, as closing would. So it waits for
// the loop.
void ClientConnection::cut() {
  if (std::exchange(write_failed_, true)) return;
  stream_->post();
}

void ClientConnection::emit(Ms now, std::uint64_t place, std::string_view bytes) {
  if (place == first_) {
    append(now, bytes);
    if (!parsing_) write(now);
    return;
  }
  Slot& slot = slots_[place - first_];
  slot.reply += bytes;
  slot.counted += bytes.size();
  totals_.unsent_bytes += bytes.size();
}

void ClientConnection::start_value(Ms now, std::uint64_t place, std::size_t size) {
  Slot* slot = slot_at(place);
  if (!slot) return;
  slot->streams = true;
  emit(now, place, "$" + std::to_string(size) + "\r\n");
}

bool ClientConnection::append_value(Ms now, std::uint64_t place, std::string_view bytes) {
  Slot* slot = slot_at(place);
  if (!slot || write_failed_) return true;
  emit(now, place, bytes);
  const std::size_t waits = place == first_ ? out_.size() - sent_ : slot->reply.size();
  slot->full = waits >= kMostAhead;
  return !slot->full;
}

void ClientConnection::finish_value(Ms now, std::uint64_t place) {
  Slot* slot = slot_at(place);
  if (!slot || write_failed_) return;
  const CommandResult named = std::exchange(slot->named, CommandResult{});
  slot->done = true;
  slot->full = false;
  if (place != first_) {
    emit(now, place, "\r\n");
    return keep_unsent(named);
  }
  append(now, "\r\n");
  next_slots(now);
  if (!parsing_) write(now);
  if (!out_.empty()) keep_unsent(named);
  if (held_back_) go_on_later();
}

void ClientConnection::tell_room(Ms now) {
  if (closed_ || slots_.empty() || !slots_.front().full || out_.size() - sent_ >= kMostAhead / 2) return;
  slots_.front().full = false;
  owner_.on_client_writable(now, slots_.front().named.request_id);
}

// Danger: an id is taken until its client has the answer. Another request with it would be served meanwhile,
// and two clients could not tell whose answer is whose.
void ClientConnection::keep_unsent(const CommandResult& named) {
  if (!named.is_request || closed_ || mutant(Mutant::kFreesIdentityEarly)) return;
  unsent_.push_back(named.identity);
  owner_.on_reply_pending(named.identity);
}

void ClientConnection::send_error(Ms now, std::uint64_t place, std::string_view why) {
  std::string reply;
  append_error(reply, why);
  // Danger: a client that sends nothing but mistakes, as fast as it can, would have the CPU to itself.
  if (++mistakes_ >= kMostMistakes) broken_ = last_ = true;
  send_reply(now, place, reply);
}

// Danger: commands that have been read and wait for room are owed an answer, though they have no place yet.
int ClientConnection::eviction_priority() const {
  if (!slots_.empty() || held_back_) return 0;
  if (lingering_) return 3;  // done with
  if (is_silent()) return 1;
  return is_idle() ? 2 : out_.empty() ? 1 : 0;
}

ConnectionState ClientConnection::state(Ms now) const {
  return {.reply_pending = owes(),
          .has_unread_bytes = stream_->unread_bytes() > 0,
          .command_incomplete = !reader_.empty(),
          .has_replied = first_ > 0,
          .send_closed = lingering_,
          .inactive_ms = now - moved_,
          .command_awaited_ms = now - half_since_};
}

// For the first of these reasons that holds, if one does.
bool ClientConnection::close_if_allowed(Ms now, std::initializer_list<CloseReason> reasons) {
  const ConnectionState here = state(now);
  for (const CloseReason why : reasons) {
    if (!may_close(why, here)) continue;
    close(now, why);
    return true;
  }
  return false;
}

// Danger: a connection that has just come may have its first request on the way, and one with something
// unread has it here: both are served before they end.
void ClientConnection::start_draining(Ms now) {
  last_ = winding_down_ = true;
  close_if_allowed(now, {CloseReason::kDrain});
}

// Danger: clients that say nothing, half of something or nothing more would fill the table for good.
void ClientConnection::close_if_timed_out(Ms now) {
  if (closed_) return;
  if (held_back_ && stream_->peer_closed()) return close(now, CloseReason::kClientClosed);
  if (lingering_) {
    if (now - moved_ > kLinger) close(now, CloseReason::kAfterLastReply);
    return;
  }
  if (!out_.empty()) {
    if (close_if_allowed(now, {CloseReason::kStalled})) return;
  } else if (!owes()) {
    if (close_if_allowed(now, {CloseReason::kNoCommand, CloseReason::kIncompleteCommand, CloseReason::kIdle}))
      return;
    if (winding_down_) close_if_allowed(now, {CloseReason::kDrain});
  }
  if (!closed_ && held_back_) go_on(now);
}

bool ClientConnection::owes() const {
  return !slots_.empty() || !out_.empty() || (held_back_ && !reader_.empty());
}

void ClientConnection::close(Ms now, CloseReason why) {
  if (closed_) return;
  if (!may_close(why, state(now))) {
    ++totals_.forbidden_closes;
    return;
  }
  closed_ = true;
  ++totals_.closed_by_reason[static_cast<std::size_t>(why)];
  stream_->close();
  totals_.unsent_bytes -= out_.size();
  totals_.buffered_bytes -= std::exchange(buffered_, 0);
  for (const auto& slot : slots_) totals_.unsent_bytes -= slot.counted;
  const auto self = shared_from_this();
  owner_.on_closed(id_);
  for (auto& slot : std::exchange(slots_, {})) {
    if (slot.named.request_id != 0) owner_.on_client_disconnected(now, slot.named.request_id);
  }
  for (const auto identity : std::exchange(unsent_, {})) owner_.on_reply_flushed(identity);
}

// Danger: many events share one reading of the clock, so it can't tell who was idle longest, and a client
// that has just come could be closed to make room for itself. A count can.
void ClientConnection::touch(Ms now) {
  moved_ = now;
  used_ = ++totals_.uses;
}

void ClientConnection::append(Ms now, std::string_view reply) {
  if (out_.empty()) touch(now);
  if (sent_ >= kMostAhead) {  // or a long value would be held whole
    totals_.unsent_bytes -= sent_;
    out_.erase(0, std::exchange(sent_, 0));
  }
  out_ += reply;
  totals_.unsent_bytes += reply.size();
}

// Danger: a client that sends and never reads, or many of them, could have answers pile up until the program
// is killed for memory. So no more commands are taken in from one that has much unread.
bool ClientConnection::must_hold_back() const {
  return slots_.size() >= kMostPending || out_.size() - sent_ >= kMostUnsent ||
         (totals_.unsent_bytes >= totals_.max_unsent_bytes && !out_.empty());
}

// Danger: the end of a client stands behind all that it has sent, and what its system has not got rid of yet
// is not here to be looked at. So of one that is held back a good deal is read ahead. Halves of commands come
// before that.
bool ClientConnection::may_read_ahead() const {
  return !reader_.full() && totals_.buffered_bytes < totals_.max_buffered_bytes / 2;
}

// Danger: a read that is under way has a space in the reader's buffer, which parsing may have moved.
void ClientConnection::read() {
  if (closed_) return;
  reading_ = true;
  const auto space = reader_.prepare();
  offered_ = space.size();
  totals_.buffered_bytes += reader_.buffer_capacity() - buffered_;
  buffered_ = reader_.buffer_capacity();
  stream_->read(space);
}

void ClientConnection::on_read(Ms now, std::size_t bytes, bool ended) {
  reading_ = false;
  if (closed_) return;
  if (ended) {
    close_if_allowed(now, {CloseReason::kAfterLastReply, CloseReason::kClientClosed});
    return;
  }
  // Bytes that come in are no progress of a client that does not read its answers.
  if (out_.empty() && slots_.empty() && !lingering_) touch(now);
  if (broken_) return read();  // read and dropped, so that closing sends no reset
  if (held_back_) {
    reader_.commit(bytes);
    if (may_read_ahead()) read();
    return;
  }
  if (reader_.empty() && (first_ > 0 || !slots_.empty())) half_since_ = now;
  if (!more_waits_) came_ = now;
  more_waits_ = bytes == offered_;
  reader_.commit(bytes);
  go_on(now);
  // A read may give less than there is: the rest of a command that is half here may have come with it.
  if (!closed_ && !reader_.empty() && stream_->unread_bytes() > 0) more_waits_ = true;
}

// From the loop, as an answer may come from inside the module.
void ClientConnection::go_on_later() {
  if (resuming_ || must_hold_back()) return;
  resuming_ = true;
  stream_->post();
}

void ClientConnection::on_posted(Ms now) {
  if (write_failed_) return close(now, CloseReason::kWriteFailed);
  if (std::exchange(room_due_, false)) tell_room(now);
  if (closed_) return;
  resuming_ = false;
  if (held_back_) go_on(now);
}

// Danger: a client that sent much and left would have the rest sent on whenever there is room again.
void ClientConnection::go_on(Ms now) {
  if (closed_ || lingering_) return;
  if (held_back_ && stream_->peer_closed()) return close(now, CloseReason::kClientClosed);
  // Danger: where all answers were taken at once there is room again, and nobody else would go on with the
  // rest that has been read.
  bool more_is_here = true;
  while (more_is_here && !must_hold_back()) {
    held_back_ = false;
    more_is_here = parse(now);
    write(now);
    if (closed_) return;
  }
  held_back_ = must_hold_back();
  // Danger: what comes meanwhile is read ahead or stays in the socket, and its time runs.
  if (held_back_) {
    more_waits_ = true;
    owner_.on_reads_paused();
  }
  if (!held_back_ || reading_ || may_read_ahead()) read();
}

void ClientConnection::check_disconnected(Ms now) {
  if (closed_ || !held_back_) return;
  stream_->peer_closed() ? close(now, CloseReason::kClientClosed) : owner_.on_reads_paused();
}

// Whether it stopped for want of room, and not of commands.
bool ClientConnection::parse(Ms now) {
  parsing_ = true;
  const std::unique_ptr<bool, void (*)(bool*)> unset(&parsing_, [](bool* flag) { *flag = false; });
  while (!closed_ && !broken_ && !must_hold_back()) {
    const auto progress = reader_.next(frame_);
    const bool too_much = progress == ReadResult::kNeedMore && buffered_ > kLargeHalf &&
                          totals_.buffered_bytes > totals_.max_buffered_bytes;
    if (progress == ReadResult::kNeedMore && !too_much) return false;
    if (progress == ReadResult::kFrame) half_since_ = now;
    slots_.emplace_back();
    const ResponseHandle ticket{id_, first_ + slots_.size() - 1};
    // Danger: many halves of large commands would fill the memory limit.
    if (too_much || progress == ReadResult::kProtocolError) {
      broken_ = last_ = true;
      std::string reply;
      append_error(reply,
                   std::string("ERR Protocol error: ") + (too_much ? "too much half sent" : reader_.error()));
      send_reply(now, ticket.sequence, reply);
      break;
    }
    const CommandResult named = owner_.on_command(now, ticket, frame_.items, now - came_);
    if (closed_) break;
    if (ticket.sequence >= first_ && !slots_[ticket.sequence - first_].done) {
      slots_[ticket.sequence - first_].named = named;
    } else {
      keep_unsent(named);  // answered at once, and written after this batch
    }
  }
  return !closed_ && !broken_;
}

// Writes what it can at once; the rest when the stream has room again.
void ClientConnection::write(Ms now) {
  if (closed_ || writing_ || write_failed_) return;
  while (sent_ < out_.size()) {
    const auto w = stream_->write(std::string_view(out_).substr(sent_));
    if (w.blocked) {
      writing_ = true;
      return stream_->await_writable();
    }
    if (w.disconnected) {
      // Danger: an answer is often given from inside the module, which must not be entered again. So the
      // news that this client has gone waits for the loop.
      write_failed_ = true;
      return stream_->post();
    }
    sent_ += w.bytes;
    touch(now);
  }
  totals_.unsent_bytes -= out_.size();
  out_.clear();
  sent_ = 0;
  // Those of answers that wait behind others are kept for as long: they are few, and soon out too.
  if (slots_.empty() || std::none_of(slots_.begin(), slots_.end(), [](const auto& s) { return s.done; })) {
    for (const auto identity : std::exchange(unsent_, {})) owner_.on_reply_flushed(identity);
  }
  if (out_.capacity() > kMostUnsent) out_.shrink_to_fit();
  // Danger: commands that were held back, or wait in the socket, have come in already; ending here would
  // leave them unanswered.
  if (!last_ || !slots_.empty() || parsing_ || held_back_) return;
  // Half a command may have the rest on its way.
  if (broken_ || (stream_->unread_bytes() == 0 && reader_.empty())) linger(now);
}

void ClientConnection::on_writable(Ms now, bool ok) {
  writing_ = false;
  if (closed_) return;
  if (!ok) return close(now, CloseReason::kWriteFailed);
  write(now);
  tell_room(now);
  if (!closed_ && held_back_) go_on(now);
}

// Danger: closing a socket with unread bytes sends a reset, which may destroy the last answer on its way.
// What comes behind a mistake is read and dropped. Danger: a request that crosses this end is one that nobody
// has read, so that its client may send it elsewhere; read, it would be owed an answer that can't go out any
// more.
void ClientConnection::linger(Ms now) {
  if (lingering_) return;
  lingering_ = true;
  moved_ = now;
  stream_->shutdown_send();
  broken_ ? read() : stream_->await_peer_close();
}

void ClientConnection::digest(engine::Digest& into) const {
  into.add(id_);
  into.add(std::uint64_t{closed_} | std::uint64_t{reading_} << 1 | std::uint64_t{writing_} << 2 |
           std::uint64_t{write_failed_} << 3 | std::uint64_t{held_back_} << 4 | std::uint64_t{broken_} << 5 |
           std::uint64_t{lingering_} << 6 | std::uint64_t{last_} << 7 | std::uint64_t{resuming_} << 8);
  into.add(first_);
  into.add(std::string_view(out_).substr(sent_));
  for (const auto identity : unsent_) into.add(identity);
  for (const auto& slot : slots_) {
    into.add(slot.named.request_id << 3 | std::uint64_t{slot.done} << 2 | std::uint64_t{slot.streams} << 1 |
             std::uint64_t{slot.full});
    into.add(slot.reply);
  }
}

}  // namespace cometfold::resp
