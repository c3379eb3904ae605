// Outgoing and incoming HTTP headers.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cometfold::http2 {

struct Header {
  std::string name;  // lower case; pseudo-headers begin with a colon
  std::string value;
  bool operator==(const Header&) const = default;
};
using Headers = std::vector<Header>;

// An incoming header. Valid until the function that it is passed to returns.
struct HeaderView {
  std::string_view name, value;
};
using HeaderBlock = std::span<const HeaderView>;

// Returns the value of the first header with this name; empty if there is none.
std::string_view find(HeaderBlock headers, std::string_view name);

}  // namespace cometfold::http2
