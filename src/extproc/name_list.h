// Lists of class and plan names, in the order of their numbers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cometfold::extproc {

// Returns the index of a name; nothing if it is not in the list.
inline std::optional<std::uint32_t> index_of(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return {};
  return static_cast<std::uint32_t>(it - names.begin());
}

// Returns the names separated by commas, for error messages.
inline std::string joined(const std::vector<std::string>& names) {
  std::string all;
  for (const auto& name : names) {
    if (!all.empty()) all += ", ";
    all += name;
  }
  return all;
}

}  // namespace cometfold::extproc
