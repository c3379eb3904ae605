#include "net/processor_server.h"

#include <algorithm>
#include <utility>

#include "net/log.h"

namespace cometfold::net {

extproc::NamedSettings processor_names(const Config& config) {
  return {config.class_names, config.plan_names, config.settings, bounds_of(config, config.class_names)};
}

ProcessorServer::ProcessorServer(boost::asio::io_context& io, Clock& clock, engine::Engine& engine,
                                 const Config& config, std::function<void()> after)
    : at_(*config.own.processor_at),
      processor_(engine, processor_names(config), config.own.processor, config.seed),
      listener_(io, clock, *this, config.own.grpc, std::move(after)) {
  engine.add_upstream(processor_);
}

void ProcessorServer::listen() {
  listener_.listen(at_);
  const auto at = listener_.address();
  log_line("external processor", at.address().to_string() + ":" + std::to_string(at.port()));
}

void ProcessorServer::reload(const Config& config, extproc::NamedSettings names) {
  if (config.own.processor_at != at_) log_line("another address for the external processor needs a restart");
  processor_.reload(config.own.processor, std::move(names));
}

}  // namespace cometfold::net
