#include "net/processor_server.h"

#include <chrono>
#include <utility>

#include "net/log.h"

namespace cometfold::net {

namespace {

constexpr auto kListenRetryDelay = std::chrono::milliseconds(50);

}  // namespace

extproc::NamedSettings processor_names(const Config& config) {
  return {config.class_names, config.plan_names, config.settings, bounds_of(config, config.class_names)};
}

ProcessorServer::ProcessorServer(boost::asio::io_context& io, Clock& clock, engine::Engine& engine,
                                 const Config& config, std::function<void()> on_activity)
    : address_(*config.gateway_settings.processor_address),
      processor_(engine, processor_names(config), config.gateway_settings.processor, config.seed),
      listener_(io, clock, *this, config.gateway_settings.grpc, std::move(on_activity)),
      retry_timer_(io) {
  engine.add_upstream(processor_);
}

void ProcessorServer::listen(bool retry_while_in_use) {
  try {
    listener_.listen(address_);
  } catch (const boost::system::system_error& error) {
    if (error.code() != boost::asio::error::address_in_use || !retry_while_in_use) throw;
    retry_timer_.expires_after(kListenRetryDelay);
    retry_timer_.async_wait([this](boost::system::error_code cancelled) {
      if (!cancelled) listen(true);
    });
    return;
  }
  const auto address = listener_.address();
  log_line("external processor is listening",
           address.address().to_string() + ":" + std::to_string(address.port()));
}

void ProcessorServer::reload(const Config& config, extproc::NamedSettings names) {
  if (config.gateway_settings.processor_address != address_) {
    log_line("extproc.listen changed in the settings: ignored until a restart");
  }
  processor_.reload(config.gateway_settings.processor, std::move(names));
}

}  // namespace cometfold::net
