#include "http2/headers.h"

namespace cometfold::http2 {

std::string_view find(HeaderBlock headers, std::string_view name) {
  for (const HeaderView& header : headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

}  // namespace cometfold::http2
