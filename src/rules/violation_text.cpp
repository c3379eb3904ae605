#include "rules/violation_text.h"

namespace cometfold::rules {

std::string format_number(double value) {
  auto text = std::to_string(value);
  while (text.size() > 1 && (text.back() == '0' || text.back() == '.')) {
    const bool is_point = text.back() == '.';
    text.pop_back();
    if (is_point) break;
  }
  return text;
}

std::string format_request(std::uint64_t request) { return "request " + std::to_string(request); }

}  // namespace cometfold::rules
