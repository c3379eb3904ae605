// Strict parsing of numbers on the wire: the whole text must be the number.
#pragma once

#include <charconv>
#include <string_view>
#include <system_error>

namespace cometfold::resp {

// Returns false if `text` is not a number or out of the range of `Number`; `value` is then unspecified.
template <typename Number>
bool parse_number(std::string_view text, Number& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

}  // namespace cometfold::resp
