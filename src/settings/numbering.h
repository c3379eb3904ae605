// Keeps the indices of classes and plans stable when settings are reloaded. No I/O, no clock.
//
// The admission module and all requests in flight refer to classes and plans by index. Reloaded settings may
// list them in any order; each name keeps its index, so that requests in flight need not be renumbered.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::settings {

// The limit on classes, and that on plans; both include withdrawn ones.
inline constexpr std::size_t kMaxNames = 1024;

struct NumberedSettings {
  // Names by index. An entry with an empty name is withdrawn: only requests in flight still use it.
  std::vector<std::string> classes, plans;
  AdmissionSettings settings;
};

// Reloaded settings have more new names than there are free indices. A restart frees those of withdrawn
// names.
class TooManyNamesError : public std::runtime_error {
 public:
  // `kind`: "classes" or "plans".
  explicit TooManyNamesError(std::string kind);
  const std::string& kind() const { return kind_; }

 private:
  std::string kind_;
};

// Returns `reloaded` with the indices of `current`. A class whose idempotency settings have changed gets a
// new index, as requests in flight were sent under the old settings. A withdrawn index is reused for an entry
// with equal settings. Throws TooManyNamesError.
NumberedSettings renumber(const NumberedSettings& current, const NumberedSettings& reloaded);

// Appends the names that are missing, up to a total of kMaxNames; the rest is left out.
void extend_names(std::vector<std::string>& names, const std::vector<std::string>& added);

}  // namespace cometfold::settings
