// A request as it goes out to hosts on RESP2.
#pragma once

#include <string>

#include "engine/engine.h"

namespace cometfold::resp {

// What `HostPool::start` gets as payload must be one.
class HostCommand : public engine::Payload {
 public:
  // The whole command, with the time that the host may take: milliseconds, rendered as at least 1.
  virtual std::string render(Ms remaining_ms) const = 0;
};

}  // namespace cometfold::resp
