// What all client connections of a gateway share: the budget of their memory, and counters since startup.
#pragma once

#include <array>
#include <cstdint>

#include "resp/close_rules.h"
#include "resp/memory_budget.h"

namespace cometfold::resp {

struct ClientTotals {
  MemoryBudget memory;
  std::uint64_t dropped_replies = 0;   // replaced by an error, as there was no memory for them
  std::uint64_t activity_counter = 0;  // logical clock: incremented at each progress of any connection
  std::array<std::uint64_t, kCloseReasonCount> closed_by_reason{};
  std::uint64_t forbidden_closes = 0;  // prevented by `may_close`; each one is a bug
};

}  // namespace cometfold::resp
