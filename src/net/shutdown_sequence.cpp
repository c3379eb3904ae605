#include "net/shutdown_sequence.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "net/log.h"

namespace cometfold::net {
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Ms kGracePeriodMs = std::chrono::duration<Ms, std::milli>(kDrainGracePeriod).count();
// After a hand-over idle connections stay open at least this long after SIGTERM.
constexpr Ms kMinIdleTime = 100;
constexpr Ms kLastReplyTime = 150;  // for clients to read their last replies
// Beyond the shutdown's deadline, for values that are being passed on and for replies that clients read
// slowly. The platform may end the process sooner.
constexpr Ms kMaxValueTime = 60'000;
constexpr auto kPollInterval = std::chrono::milliseconds(10);

}  // namespace

ShutdownSequence::ShutdownSequence(asio::io_context& io, Clock& clock, engine::Engine& engine,
                                   ClientServer& clients, std::function<void()> on_finished)
    : clock_(clock), engine_(engine), clients_(clients), on_finished_(std::move(on_finished)), timer_(io) {}

void ShutdownSequence::start(bool handed_over, ProcessorServer* processor) {
  processor_ = processor;
  log_line("shutdown begins", std::to_string(engine_.unanswered_count()) + " requests in progress, " +
                                  std::to_string(clients_.connection_count()) + " client connections");
  if (processor_) processor_->listener().announce_drain();
  handed_over_ = handed_over;
  began_at_ = clock_.now();
  poll();
}

void ShutdownSequence::poll() {
  const Ms now = clock_.now();
  if (in_grace_period_) advance_grace_period(now);
  if (now >= *engine_.shutdown_deadline() && !in_grace_period_) finish_clients(now);
  if (!in_grace_period_ && is_complete(now)) return end(now);
  timer_.expires_after(kPollInterval);
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) poll();
  });
}

// After a hand-over nobody needs this process to connect to, and each request that an idle connection still
// brings competes with the end of the process. So idle connections end within the grace period, while SIGKILL
// is excused for what it finds. They end one after another: if they all ended at once, clients that are slow
// to notice would send on some that are closed.
void ShutdownSequence::advance_grace_period(Ms now) {
  const Ms elapsed = now - began_at_;
  if (elapsed >= kGracePeriodMs) {
    in_grace_period_ = false;
    return close_clients();
  }
  if (handed_over_ && elapsed > kMinIdleTime) {
    clients_.close_idle((elapsed - kMinIdleTime) / (kGracePeriodMs - kMinIdleTime));
  }
}

void ShutdownSequence::close_clients() {
  if (handed_over_) {
    clients_.close_idle();
  } else {
    clients_.shut_down();
  }
  if (processor_) processor_->listener().drain();
}

// Connections end before the process does, so that a request either has been answered or crosses the end of
// its connection. A process that is held up over its end still reads what arrived meanwhile. A value that is
// being passed on is not cut off: its request is lost if this process ends it, and only if it came late if
// SIGKILL does.
void ShutdownSequence::finish_clients(Ms now) {
  const std::size_t unanswered = engine_.unanswered_count();
  if (unanswered > 0) engine_.fail_unbegun(now);
  if (!deadline_passed_at_) {
    deadline_passed_at_ = now;
    const std::size_t values = engine_.unanswered_count();
    log_line("the shutdown's deadline has passed", std::to_string(unanswered - values) + " requests fail, " +
                                                       std::to_string(values) + " values are passed on, " +
                                                       std::to_string(clients_.connection_count()) +
                                                       " client connections are closed");
  }
  clients_.finish();
  const bool has_open_calls = processor_ && processor_->listener().has_open_calls();
  if (clients_.awaits_delivery() || has_open_calls) undelivered_at_ = now;
}

bool ShutdownSequence::is_time_up(Ms now) const {
  if (!deadline_passed_at_) return false;
  if (now >= *deadline_passed_at_ + kMaxValueTime) return true;
  return now >= std::max(*deadline_passed_at_, undelivered_at_) + kLastReplyTime;
}

void ShutdownSequence::log_remaining_connections() const {
  const std::size_t connections = clients_.connection_count();
  if (connections > 0) {
    log_line("the shutdown ends with open client connections", std::to_string(connections));
  }
}

bool ShutdownSequence::is_complete(Ms now) const {
  const std::size_t proxies = processor_ ? processor_->listener().connection_count() : 0;
  return clients_.connection_count() + proxies == 0 || is_time_up(now);
}

void ShutdownSequence::end(Ms now) {
  if (engine_.unanswered_count() > 0) engine_.fail_all(now);
  log_remaining_connections();
  if (processor_) log_line("external processor totals", extproc::to_text(processor_->processor().metrics()));
  on_finished_();
}

}  // namespace cometfold::net
