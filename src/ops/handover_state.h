// The state that a process hands over to its successor, as one line of JSON. Pure.
#pragma once

#include <cstddef>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::ops {

// A text is no hand-over state of this version.
class HandoverError : public std::runtime_error {
 public:
  // `key` is the member of the JSON object that is wrong, empty if the whole is.
  HandoverError(std::string key, std::string problem);

  const std::string& key() const { return key_; }
  const std::string& problem() const { return problem_; }

 private:
  std::string key_, problem_;
};

// Names of classes and plans by index. Two processes may number them differently, so the text holds names.
struct HandoverNames {
  std::span<const std::string> classes, plans;
};

// Further customers are left out; those with a ceiling go first, then the most recently active.
constexpr std::size_t kMaxHandoverCustomers = 20'000;
constexpr std::size_t kMaxHandoverBytes = std::size_t{8} * 1024 * 1024;  // of the text

// Without a line feed. `plans` by index.
std::string encode_handover(const HandoverSnapshot& state, const HandoverNames& names,
                            std::span<const PlanSettings> plans);
// By the indices of `names`. Customers of unknown plans are left out. Throws HandoverError.
HandoverSnapshot decode_handover(std::string_view text, const HandoverNames& names);

}  // namespace cometfold::ops
