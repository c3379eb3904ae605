#include "resp/host_connection.h"

#include <algorithm>
#include <utility>

#include "engine/faults.h"
#include "resp/single_host_pool.h"

namespace cometfold::resp {
using engine::mutant;
using engine::Mutant;

namespace {

// A buffer may grow up to this size however little memory is left, so that most replies can be read.
constexpr std::size_t kMinBufferBytes = std::size_t{16} * 1024;
// Part of each connection, as its other members are.
constexpr std::size_t kUncountedBufferBytes = std::size_t{2} * 1024;
constexpr std::size_t kMaxIdleRequestBytes = 4096;  // the memory of a larger request is freed after the reply
// Bytes of a streamed value that must have arrived before it is forwarded. Afterwards no other attempt can
// replace this one, so the host must have sent more than just an announced length.
constexpr std::size_t kMinFirstChunkBytes = 2048;
// A pause is noticed after this part of the attempt's timeout, so that another host can still help, but not
// before the second, as hosts send in pieces.
constexpr double kPauseNoticeFraction = 1.0 / 3;
constexpr Ms kMinPauseNoticeMs = 250;

}  // namespace

HostConnection::HostConnection(HostPoolContext& context, std::shared_ptr<SingleHostPool> pool)
    : context_(context),
      pool_(std::move(pool)),
      reader_(RespLimits{.max_elements = kHostReplyElements,
                         .max_streamed_value_bytes = context.limits.max_value_bytes},
              false) {}

bool HostConnection::connect(const Address& address) {
  stream_ = context_.dialer.dial(address, context_.limits.connect_timeout_ms, *this);
  return stream_ != nullptr;
}

void HostConnection::start(Ms, AttemptId attempt, const HostCommand& command, Ms remaining_ms) {
  attempt_ = attempt;
  command_ = &command;
  written_ = 0;
  request_.clear();
  if (connected_) begin_request(remaining_ms);
}

bool HostConnection::is_quiet() { return mutant(Mutant::kAcceptsExtraBytes) || stream_->is_quiet(); }

void HostConnection::fail(Ms now, Outcome outcome) {
  if (closed_) return;
  const auto keep_alive = self();
  const AttemptId attempt = std::exchange(attempt_, 0);
  command_ = nullptr;
  close();
  if (attempt != 0) context_.end_attempt(now, attempt, outcome);
}

void HostConnection::close() {
  if (closed_) return;
  closed_ = true;
  count_buffer();
  close_stream();
  --context_.connection_count;
  pool_->remove(self());
}

// A request of which a part is still in the send buffer must not reach its host whole later: it would run
// after its end.
void HostConnection::close_stream() {
  if (connected_ && stream_->unacknowledged_bytes() > 0) {
    stream_->abort();
  } else {
    stream_->close();
  }
}

void HostConnection::on_connected(Ms now, bool up) {
  if (closed_) return;
  if (!up) return fail(now, Outcome::kConnectFailed);
  connected_ = true;
  if (!awaits_first_byte()) return read();
  const auto remaining_ms = context_.callbacks.may_write(now, attempt_, false);
  if (!remaining_ms) return fail(now, Outcome::kNotSent);
  begin_request(*remaining_ms);
  read();
}

void HostConnection::on_read(Ms now, std::size_t bytes, bool ended) {
  if (closed_) return;
  if (ended) return fail(now, outcome_of_disconnect());
  reader_.commit(bytes);
  if (attempt_ == 0) {  // unsolicited bytes: nothing that follows can be matched to a request
    if (mutant(Mutant::kAcceptsExtraBytes)) return read();
    return fail(now, Outcome::kConnectionLost);
  }
  process_input(now);
}

// The time in which the client took nothing does not count as a pause of the host.
void HostConnection::resume(Ms now) {
  if (closed_ || !std::exchange(reads_paused_, false)) return;
  last_chunk_at_ = now;
  read();
}

bool HostConnection::stalled(Ms now) const {
  return value_started_ && !reads_paused_ && !closed_ &&
         now - last_chunk_at_ > context_.limits.stall_timeout_ms;
}

bool HostConnection::take_pause_notice(Ms now) {
  if (!value_started_ || reads_paused_ || closed_) return false;
  if (now - std::max(last_chunk_at_, pause_noticed_at_) < pause_notice_ms_) return false;
  pause_noticed_at_ = now;
  return true;
}

void HostConnection::on_writable(Ms now, bool ok) {
  write_blocked_ = false;
  if (closed_) return;
  if (!ok) return fail(now, outcome_of_disconnect());
  if (attempt_ != 0 && !fully_written() && !context_.callbacks.may_write(now, attempt_, true)) {
    return fail(now, Outcome::kNotSent);  // not fully written, so it is never executed
  }
  write();
}

// A write may fail inside the admission module, which is not reentrant, so the attempt is ended here.
void HostConnection::on_posted(Ms now) {
  if (attempt_ == write_failed_attempt_) fail(now, outcome_of_disconnect());
}

// Only a fully written request may have been executed. If the connection breaks before that, the request may
// be sent again.
Outcome HostConnection::outcome_of_disconnect() const {
  const bool may_have_run = fully_written() && !mutant(Mutant::kReportsResetAsConnectFailure);
  return may_have_run ? Outcome::kConnectionLost : Outcome::kConnectFailed;
}

// Rendered just before it is written, so that the timeout sent to the host does not exceed the time that the
// client has left.
void HostConnection::begin_request(Ms remaining_ms) {
  const Ms part = std::max(remaining_ms * kPauseNoticeFraction, kMinPauseNoticeMs);
  pause_notice_ms_ = std::min(part, context_.limits.pause_notice_ms);
  request_ = std::exchange(command_, nullptr)->render(remaining_ms);
  write();
}

void HostConnection::write() {
  while (written_ < request_.size()) {
    const auto result = stream_->write(std::string_view(request_).substr(written_));
    if (result.blocked) {
      if (!std::exchange(write_blocked_, true)) stream_->await_writable();
      return;
    }
    if (result.disconnected) {
      write_failed_attempt_ = attempt_;
      return stream_->post();
    }
    written_ += result.bytes;
    if (fully_written() && attempt_ != 0) context_.callbacks.on_attempt_written(attempt_);
  }
}

// Idle connections are read too, so that one that the host has closed is noticed and not used again.
void HostConnection::read() {
  reads_paused_ = !may_grow_buffer();
  if (reads_paused_) return;
  const auto space = reader_.prepare();
  count_buffer();
  stream_->read(space);
}

// What a host sends beyond the memory stays in the socket. The attempt's deadline bounds the wait.
bool HostConnection::may_grow_buffer() const {
  const std::size_t capacity = reader_.buffer_capacity();
  if (context_.memory == nullptr || capacity < kMinBufferBytes || !reader_.needs_growth()) return true;
  return context_.memory->has_room_for_host_input(capacity);
}

void HostConnection::count_buffer() {
  if (context_.memory == nullptr) return;
  const std::size_t capacity = reader_.buffer_capacity();
  const std::size_t bytes = closed_ ? 0 : capacity - std::min(capacity, kUncountedBufferBytes);
  context_.memory->remove(MemoryBudget::Use::kHostInput, counted_buffer_bytes_);
  context_.memory->add(MemoryBudget::Use::kHostInput, bytes);
  counted_buffer_bytes_ = bytes;
}

void HostConnection::process_input(Ms now) {
  switch (reader_.next(frame_)) {
    case ReadResult::kNeedMore:
      return read();
    case ReadResult::kProtocolError:
      return fail_malformed(now, text_of(reader_.error()));
    case ReadResult::kFrame:
      return on_reply(now);
    case ReadResult::kStreamedValue:
      return forward_chunk(now);
  }
}

void HostConnection::forward_chunk(Ms now) {
  const auto keep_alive = self();
  last_chunk_at_ = now;
  if (!value_started_) {
    if (reader_.streamed_value_buffered() < kMinFirstChunkBytes) return read();
    value_started_ = true;
    context_.callbacks.on_value_started(now, attempt_, reader_.streamed_value_size());
    if (closed_) return;
  }
  const auto chunk = reader_.take_streamed_chunk();
  const bool wants_more = chunk.empty() || context_.callbacks.on_value_chunk(now, attempt_, chunk);
  if (closed_) return;
  if (reader_.streamed_value_remaining() == 0) return process_input(now);
  if (wants_more) {
    read();
  } else {
    reads_paused_ = true;
  }
}

void HostConnection::fail_malformed(Ms now, std::string_view detail) {
  context_.log("malformed reply from a host; its connection is closed and the attempt fails", detail);
  fail(now, outcome_of_disconnect());
}

void HostConnection::on_reply(Ms now) {
  const auto keep_alive = self();
  const HostReply reply = read_host_reply(frame_);
  if (reply.error != ReplyError::kNone) {
    if (mutant(Mutant::kReadsAfterMalformedReply)) return process_input(now);
    return fail_malformed(now, text_of(reply.error));
  }
  const AttemptId attempt = std::exchange(attempt_, 0);
  value_started_ = false;
  const bool reusable = fully_written() && (reader_.empty() || mutant(Mutant::kAcceptsExtraBytes));
  // This call may start the next attempt, which must not take this connection: the value still lies in its
  // reader's buffer. So it returns to the pool only afterwards.
  context_.end_attempt(now, attempt, reply.outcome, reply.value, reply.load_report);
  if (closed_) return;
  if (!reusable || !pool_->accepts_idle(context_.limits.max_idle_per_host)) return close();
  become_idle(now);
}

void HostConnection::become_idle(Ms now) {
  if (request_.capacity() > kMaxIdleRequestBytes) std::string().swap(request_);
  written_ = request_.size();
  reader_.release_buffer();
  // The host's kernel may delay an unsolicited second reply until the first one is acknowledged, at the
  // latest by the next request, whose reply it would then be taken for.
  stream_->send_pending_ack();
  idle_since_ = now;
  pool_->add_idle(self());
  read();
}

void HostConnection::digest(engine::Digest& into) const {
  into.add(attempt_);
  into.add(std::uint64_t{connected_} | std::uint64_t{closed_} << 1 | std::uint64_t{write_blocked_} << 2 |
           std::uint64_t{fully_written()} << 3 | std::uint64_t{reader_.empty()} << 4);
  into.add(idle_since_);
}

}  // namespace cometfold::resp
