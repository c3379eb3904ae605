// Graceful shutdown: keeps serving while clients may still connect, finishes all accepted requests, and ends.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <optional>

#include "engine/engine.h"
#include "net/client_server.h"
#include "net/clock.h"
#include "net/processor_server.h"

namespace cometfold::net {

// New connections still arrive for 0.4 s after clients learn of the drain, and are served.
constexpr auto kDrainGracePeriod = std::chrono::milliseconds(550);

class ShutdownSequence {
 public:
  // `on_finished` is called once, when all connections are closed or the time is up. All references must
  // outlive this object.
  ShutdownSequence(boost::asio::io_context& io, Clock& clock, engine::Engine& engine, ClientServer& clients,
                   std::function<void()> on_finished);

  bool has_begun() const { return engine_.shutdown_deadline().has_value(); }
  // The first step; must be followed by `start`.
  void begin() { engine_.begin_shutdown(clock_.now()); }
  // `handed_over`: a successor has the listening socket. `processor`: null if it is off.
  void start(bool handed_over, ProcessorServer* processor);
  // A successor has got the listening socket after `start`.
  void on_handed_over() { handed_over_ = true; }

 private:
  void poll();
  void advance_grace_period(Ms now);
  void close_clients();
  void finish_clients(Ms now);
  bool is_time_up(Ms now) const;
  void log_remaining_connections() const;
  bool is_complete(Ms now) const;
  void end(Ms now);

  Clock& clock_;
  engine::Engine& engine_;
  ClientServer& clients_;
  ProcessorServer* processor_ = nullptr;
  std::function<void()> on_finished_;
  boost::asio::steady_timer timer_;
  Ms began_at_ = 0;
  bool handed_over_ = false;
  bool in_grace_period_ = true;           // not all idle connections have been closed yet
  std::optional<Ms> deadline_passed_at_;  // when the deadline was first found to have passed
  Ms undelivered_at_ = 0;                 // when replies were last on their way after that
};

}  // namespace cometfold::net
