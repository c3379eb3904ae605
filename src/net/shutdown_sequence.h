// A planned stop: serves on for as long as clients may still come, settles what was accepted, and ends.
#pragma once

#include <boost/asio.hpp>
#include <functional>

#include "engine/engine.h"
#include "net/client_server.h"
#include "net/clock.h"
#include "net/processor_server.h"

namespace cometfold::net {

// Connections still come for 0.4 s after this gateway is known to drain, and are served.
constexpr auto kDrainGracePeriod = std::chrono::milliseconds(550);

class ShutdownSequence {
 public:
  // `on_finished` is called once, when everything is settled. All references must outlive this.
  ShutdownSequence(boost::asio::io_context& io, Clock& clock, engine::Engine& engine, ClientServer& clients,
                   std::function<void()> on_finished);

  bool has_begun() const { return engine_.shutdown_deadline().has_value(); }
  // The first step; has to be followed by `start`.
  void begin() { engine_.begin_shutdown(clock_.now()); }
  // `handed_over`: a successor has the listening socket. `processor`: null if there is none.
  void start(bool handed_over, ProcessorServer* processor);

 private:
  void close_clients(bool handed_over);
  void await_settled();

  Clock& clock_;
  engine::Engine& engine_;
  ClientServer& clients_;
  ProcessorServer* processor_ = nullptr;
  std::function<void()> on_finished_;
  boost::asio::steady_timer timer_;
};

}  // namespace cometfold::net
