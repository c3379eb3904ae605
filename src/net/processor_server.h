// The external processor on sockets: its listener, its settings as the gateway's configuration has them, and
// when it has something to do.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <optional>
#include <string>

#include "extproc/processor.h"
#include "net/clock.h"
#include "net/config.h"
#include "net/grpc_listener.h"

namespace cometfold::net {

extproc::NamedSettings processor_names(const Config& config);

class ProcessorServer : private http2::grpc::Methods {
 public:
  // `after` is called when the engine may have something new to do. Throws extproc::SettingsError.
  ProcessorServer(boost::asio::io_context& io, Clock& clock, engine::Engine& engine, const Config& config,
                  std::function<void()> after);

  void listen();
  GrpcListener& listener() { return listener_; }
  extproc::Processor& processor() { return processor_; }
  // Throws extproc::SettingsError and keeps what it has.
  void reload(const Config& config, extproc::NamedSettings names);
  void run_due(Ms now) { processor_.run_timers(now); }

 private:
  http2::grpc::Service* find(std::string_view path) override {
    return path == extproc::kProcess ? &processor_ : nullptr;
  }

  boost::asio::ip::tcp::endpoint at_;
  extproc::Processor processor_;
  GrpcListener listener_;
};

}  // namespace cometfold::net
