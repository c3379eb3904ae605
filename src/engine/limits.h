// Bounds on what one engine keeps, and its margins of time.
#pragma once

#include <cstddef>

#include "cometfold/admission_controller.h"

namespace cometfold::engine {

struct EngineLimits {
  std::size_t max_open_requests = 10'000;                 // requests without their final reply
  std::size_t max_payload_bytes = std::size_t{24} << 20;  // of all payloads kept
  Ms deadline_margin_ms = 20;     // taken off a client's timeout for the network in between
  Ms shutdown_timeout_ms = 3450;  // from `begin_shutdown` until every request has its reply
};

}  // namespace cometfold::engine
