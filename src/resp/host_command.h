// A request in the form in which it is sent to hosts over RESP2.
#pragma once

#include <string>

#include "engine/engine.h"

namespace cometfold::resp {

// The payload passed to `HostPool::start` must be of this type.
class HostCommand : public engine::Payload {
 public:
  // Returns the complete command with the time that the host may take, in whole milliseconds and at least 1.
  virtual std::string render(Ms remaining_ms) const = 0;
};

}  // namespace cometfold::resp
