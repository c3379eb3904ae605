// The external processor on sockets: its gRPC listener, and its settings from the gateway's configuration.
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
  // `on_activity` is called when the engine may have new work. Throws
  // extproc::ProcessorSettingsError.
  ProcessorServer(boost::asio::io_context& io, Clock& clock, engine::Engine& engine, const Config& config,
                  std::function<void()> on_activity);

  // `retry_while_in_use`: a predecessor may still use the address; proxies reconnect meanwhile. Throws
  // boost::system::system_error if the address can't be used.
  void listen(bool retry_while_in_use);
  GrpcListener& listener() { return listener_; }
  extproc::Processor& processor() { return processor_; }
  // Throws extproc::ProcessorSettingsError, with nothing changed.
  void reload(const Config& config, extproc::NamedSettings names);
  void run_timers(Ms now) { processor_.run_timers(now); }

 private:
  http2::grpc::Service* find(std::string_view path) override {
    return path == extproc::kProcessPath ? &processor_ : nullptr;
  }

  boost::asio::ip::tcp::endpoint address_;
  extproc::Processor processor_;
  GrpcListener listener_;
  boost::asio::steady_timer retry_timer_;
};

}  // namespace cometfold::net
