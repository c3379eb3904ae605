// Encodes the state that a process hands over to its successor as one line of JSON, and decodes it. No I/O.
#pragma once

#include <cstddef>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::ops {

// The text is not a valid hand-over state of this version.
class HandoverError : public std::runtime_error {
 public:
  // `key` is the invalid member of the JSON object; empty if the text as a whole is invalid.
  HandoverError(std::string key, std::string problem);

  const std::string& key() const { return key_; }
  const std::string& problem() const { return problem_; }

 private:
  std::string key_, problem_;
};

// Names of classes and plans by index. The text contains the names because two processes may number them
// differently.
struct HandoverNames {
  std::span<const std::string> classes, plans;
};

// Customers beyond this number are omitted. Those with a ceiling come first, then the most recently active.
constexpr std::size_t kMaxHandoverCustomers = 20'000;
constexpr std::size_t kMaxHandoverIdentities = 50'000;
constexpr std::size_t kMaxHandoverBytes = std::size_t{8} * 1024 * 1024;  // of the text

// Returns the text without a line feed. `plans` is ordered by plan index.
std::string encode_handover(const HandoverSnapshot& state, const HandoverNames& names,
                            std::span<const PlanSettings> plans);
// Returns the state with the indices of `names`. Customers of unknown plans are omitted. Throws
// HandoverError.
HandoverSnapshot decode_handover(std::string_view text, const HandoverNames& names);

}  // namespace cometfold::ops
