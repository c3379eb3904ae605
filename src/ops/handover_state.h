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
struct Names {
  std::span<const std::string> classes, plans;
};

constexpr std::size_t kMostHanded = 20'000;                // customers; those with a ceiling to keep go first
constexpr std::size_t kMostHandedBytes = 8 * 1024 * 1024;  // of the text

// One line of JSON without its end.
std::string encode(const HandedState& state, const Names& names, std::span<const PlanSettings> plans);
// In the numbers of `names`. Customers of a plan that is not there are left out. Throws HandoverError on
// anything that is not a state of this version.
HandedState decode(std::string_view text, const Names& names);

}  // namespace cometfold::ops
