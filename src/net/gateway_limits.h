// How a gateway's descriptors, memory and time are divided between its parts. Without I/O.
#pragma once

#include "engine/engine.h"
#include "net/client_server.h"
#include "net/config.h"
#include "net/discovery_watch.h"
#include "resp/host_pool.h"

namespace cometfold::net {

resp::HostPoolLimits host_pool_limits(const Config& config);
ClientLimits client_limits(const Config& config);
engine::EngineLimits engine_limits(const Config& config);
DiscoveryCallOptions discovery_call_options(const Config& config);
// The part of a gateway's resources that one of its two processes may use during an upgrade.
Config with_half_limits(Config config);

}  // namespace cometfold::net
