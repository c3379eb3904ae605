// Sums over all client connections of a gateway, their limits, and counts since the start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "resp/close_rules.h"

namespace cometfold::resp {

struct ClientTotals {
  // Reply bytes that are not written yet.
  std::size_t max_unsent_bytes = std::size_t{24} * 1024 * 1024;
  // Bytes of command buffers, beyond which large incomplete commands fail.
  std::size_t max_buffered_bytes = std::size_t{24} * 1024 * 1024;
  std::size_t unsent_bytes = 0;
  std::size_t buffered_bytes = 0;
  std::uint64_t uses = 0;  // a logical clock: counts progress on any connection
  std::array<std::uint64_t, kCloseReasonCount> closed_by_reason{};
  std::uint64_t forbidden_closes = 0;  // stopped by `may_close`: each is a bug
};

}  // namespace cometfold::resp
