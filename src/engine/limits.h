// Limits on the requests that one engine holds, and its timeouts.
#pragma once

#include <cstddef>

#include "cometfold/admission_controller.h"

namespace cometfold::engine {

struct EngineLimits {
  std::size_t max_open_requests = 10'000;                 // requests without their final reply
  std::size_t max_payload_bytes = std::size_t{24} << 20;  // of all payloads held
  Ms deadline_margin_ms = 20;     // subtracted from a client's timeout for network latency
  Ms shutdown_timeout_ms = 3450;  // from `begin_shutdown` until every request must have its reply
  // Requests that are accepted later than this after `begin_shutdown` are lost if the end of the process cuts
  // their replies off; for earlier ones that is excused.
  Ms shutdown_excused_ms = 600;
};

}  // namespace cometfold::engine
