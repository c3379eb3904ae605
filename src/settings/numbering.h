// Indices of classes and plans that stay stable across reloaded settings. Pure.
//
// The admission module and all requests in flight refer to classes and plans by index. Reloaded settings list
// them anew, in any order; here each name keeps its index, so that nothing in flight has to be renumbered.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::settings {

// Of classes, and of plans; withdrawn ones included.
inline constexpr std::size_t kMaxNames = 1024;

struct NumberedSettings {
  // Names by index. An empty name is withdrawn: only requests in flight still use it.
  std::vector<std::string> classes, plans;
  AdmissionSettings settings;
};

// Settings have been reloaded with more new names than fit. The remedy is a restart, which forgets withdrawn
// ones.
class TooManyNamesError : public std::runtime_error {
 public:
  // `kind`: classes or plans.
  explicit TooManyNamesError(std::string kind);
  const std::string& kind() const { return kind_; }

 private:
  std::string kind_;
};

// `reloaded` by the indices of `current`. A class of the same name with another kind of idempotency is a new
// class: what is in flight was sent under the old one. A withdrawn entry that returns unchanged gets its
// index back. Throws TooManyNamesError.
NumberedSettings renumber(const NumberedSettings& current, const NumberedSettings& reloaded);

// Appends the names that are not there yet, up to kMaxNames altogether; further ones are left out.
void extend_names(std::vector<std::string>& names, const std::vector<std::string>& added);

}  // namespace cometfold::settings
