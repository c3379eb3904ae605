// Decides which process of a gateway serves its clients: takes over from a predecessor, waits for a
// successor.
#pragma once

#include <boost/asio.hpp>
#include <memory>
#include <string>

#include "net/client_server.h"
#include "net/handover.h"

namespace cometfold::net {

class UpgradeCallbacks {
 public:
  virtual ~UpgradeCallbacks() = default;
  // From now on this process accepts clients.
  virtual void on_serving() = 0;
  // The predecessor has handed over. Called before `on_serving`.
  virtual void on_state_received(const std::string& state) = 0;
  // The predecessor has exited; `with_state`: after a hand-over. Without one, this is called before
  // `on_serving`.
  virtual void on_predecessor_exited(bool with_state) = 0;
  // Another process of this gateway has started or exited.
  virtual void on_second_process(bool is_running) = 0;
  // `stop_before_serving` was called, but the predecessor had already handed over: this process serves and
  // has to shut down. Called after `on_serving`.
  virtual void on_stopped_while_serving() = 0;
  // `stop_before_serving` was called, and this process can exit.
  virtual void on_stopped_before_serving() = 0;
};

class UpgradeCoordinator {
 public:
  // `path`: of the hand-over socket; empty: no hand-over. Looks for a predecessor, which may take up to a
  // second. Throws HandoverError.
  UpgradeCoordinator(boost::asio::io_context& io, const std::string& path, ClientServer& clients,
                     UpgradeCallbacks& callbacks);

  // Serves clients at this address, or waits for the predecessor to hand over.
  void start(const boost::asio::ip::tcp::endpoint& address);
  // Ends this process while the predecessor still serves the clients.
  void stop_before_serving();

  bool is_serving() const { return is_serving_; }
  bool had_predecessor() const { return had_predecessor_; }
  bool has_successor() { return successor_listener_ && successor_listener_->has_successor(); }
  // `state`: one line, for the successor, which serves clients from then on.
  void hand_over(std::string state) { successor_listener_->hand_over(std::move(state)); }

 private:
  void wait_for_predecessor();
  void serve();
  void on_state(const std::string& state);
  void on_predecessor_exited();
  void listen_after_exit();

  boost::asio::io_context& io_;
  ClientServer& clients_;
  UpgradeCallbacks& callbacks_;
  boost::asio::ip::tcp::endpoint address_;
  std::unique_ptr<Predecessor> predecessor_;  // until it has exited
  std::unique_ptr<SuccessorListener> successor_listener_;
  boost::asio::steady_timer listen_timer_;
  boost::asio::steady_timer stop_timer_;
  bool is_serving_ = false;
  bool had_predecessor_ = false;
  bool is_stopping_ = false;  // `stop_before_serving` was called
};

}  // namespace cometfold::net
