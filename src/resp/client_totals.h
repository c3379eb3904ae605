// Buffer sizes summed over all client connections of a gateway, their limits, and counters since startup.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "resp/close_rules.h"

namespace cometfold::resp {

struct ClientTotals {
  // Limit of the reply bytes that are not written yet.
  std::size_t max_unsent_bytes = std::size_t{24} * 1024 * 1024;
  // Limit of the bytes in command buffers, above which large incomplete commands fail.
  std::size_t max_buffered_bytes = std::size_t{24} * 1024 * 1024;
  std::size_t unsent_bytes = 0;
  std::size_t buffered_bytes = 0;
  std::uint64_t activity_counter = 0;  // logical clock: incremented at each progress of any connection
  std::array<std::uint64_t, kCloseReasonCount> closed_by_reason{};
  std::uint64_t forbidden_closes = 0;  // prevented by `may_close`; each one is a bug
};

}  // namespace cometfold::resp
