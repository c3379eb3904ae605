// The request log: a line for each step of each request, from its arrival to its answer. Off without
// `[log] requests` in the gateway's own settings.
#pragma once

#include <string>

#include "engine/engine.h"

namespace cometfold::net {

// One event as `name=value` words; times in milliseconds of the program's clock.
std::string to_line(const engine::RequestEvent& event);

}  // namespace cometfold::net
