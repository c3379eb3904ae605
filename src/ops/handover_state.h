// What one process hands to the one that takes its place, as text. Pure.
#pragma once

#include <cstddef>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::ops {

struct HandoverError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The two processes may have numbered classes and plans differently, so names go along.
struct HandoverNames {
  std::span<const std::string> classes, plans;
};

constexpr std::size_t kMaxHandedCustomers = 20'000;  // customers; those with a ceiling to keep go first
constexpr std::size_t kMaxHandoverBytes = 8 * 1024 * 1024;  // of the text

// One line of JSON without its end.
std::string encode_handover(const HandoverSnapshot& state, const HandoverNames& names,
                            std::span<const PlanSettings> plans);
// In the numbers of `names`. Customers of a plan that is not there are left out. Throws HandoverError on
// anything that is not a state of this version.
HandoverSnapshot decode_handover(std::string_view text, const HandoverNames& names);

}  // namespace cometfold::ops
