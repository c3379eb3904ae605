#include "net/upgrade_coordinator.h"

#include <chrono>
#include <utility>

#include "net/endpoint_text.h"
#include "net/log.h"
#include "net/socket_retry.h"

namespace cometfold::net {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// For the predecessor to confirm that it keeps the clients.
constexpr auto kStopTimeout = std::chrono::milliseconds(1000);
constexpr auto kListenRetryDelay = std::chrono::milliseconds(10);

}  // namespace

UpgradeCoordinator::UpgradeCoordinator(asio::io_context& io, const std::string& path, ClientServer& clients,
                                       UpgradeCallbacks& callbacks)
    : io_(io), clients_(clients), callbacks_(callbacks), listen_timer_(io), stop_timer_(io) {
  if (path.empty()) return;
  predecessor_ = Predecessor::find(io, path);
  successor_listener_ = std::make_unique<SuccessorListener>(
      io, path,
      SuccessorListener::Callbacks{.listening_socket = [this] { return clients_.listening_socket(); },
                                   .on_successor_started = [this] { callbacks_.on_second_process(true); },
                                   .on_successor_exited = [this] { callbacks_.on_second_process(false); }});
}

void UpgradeCoordinator::start(const tcp::endpoint& address) {
  address_ = address;
  if (predecessor_) return wait_for_predecessor();
  retry_while_out_of_sockets([&] { clients_.listen(address); });
  serve();
}

void UpgradeCoordinator::wait_for_predecessor() {
  had_predecessor_ = true;
  OwnedFd socket = predecessor_->take_listening_socket();
  const bool is_unresponsive = socket.get() < 0;
  if (!is_unresponsive) clients_.adopt(socket.release());
  callbacks_.on_second_process(true);
  predecessor_->start({.on_socket = [this](OwnedFd late) { clients_.adopt(late.release()); },
                       .on_state = [this](const std::string& state) { on_state(state); },
                       .on_exit = [this] { on_predecessor_exited(); }});
  log_line(is_unresponsive
               ? "the predecessor process does not answer: waiting for its listening socket or its exit"
               : "the predecessor process is serving: waiting for its hand-over or its exit");
}

// From now on a later process finds this one as its predecessor.
void UpgradeCoordinator::serve() {
  is_serving_ = true;
  if (successor_listener_) successor_listener_->listen();
  callbacks_.on_serving();
}

void UpgradeCoordinator::on_state(const std::string& state) {
  callbacks_.on_state_received(state);
  clients_.start_accepting();
  serve();
  if (!is_stopping_) return;
  stop_timer_.cancel();
  callbacks_.on_stopped_while_serving();
}

void UpgradeCoordinator::on_predecessor_exited() {
  // Called by the predecessor object itself, so it is destroyed later.
  asio::post(io_, [predecessor = std::move(predecessor_)] {});
  if (is_stopping_ && !is_serving_) return callbacks_.on_stopped_before_serving();
  if (!is_serving_)
    log_line("the predecessor process exited without a hand-over: starting without its state");
  callbacks_.on_predecessor_exited(is_serving_);
  if (!is_serving_) {
    if (clients_.has_listener()) {
      clients_.start_accepting();
      serve();
    } else {
      listen_after_exit();
    }
  }
  callbacks_.on_second_process(false);
}

// The kernel may close the listening socket of an exited process later than its connection to this process.
void UpgradeCoordinator::listen_after_exit() {
  try {
    clients_.listen(address_);
    log_line("listening after the predecessor's exit", to_text(clients_.address()));
    serve();
  } catch (const boost::system::system_error& error) {
    if (error.code() != asio::error::address_in_use && !is_out_of_sockets(error.code())) throw;
    listen_timer_.expires_after(kListenRetryDelay);
    listen_timer_.async_wait([this](error_code cancelled) {
      if (!cancelled) listen_after_exit();
    });
  }
}

// The predecessor may have just handed over. If this process exited without asking, connections that wait in
// the accept queue would be lost with it.
void UpgradeCoordinator::stop_before_serving() {
  if (!predecessor_ || !clients_.has_listener()) return callbacks_.on_stopped_before_serving();
  if (std::exchange(is_stopping_, true)) return;
  predecessor_->decline();
  stop_timer_.expires_after(kStopTimeout);
  stop_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) callbacks_.on_stopped_before_serving();
  });
}

}  // namespace cometfold::net
