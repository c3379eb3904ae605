#include "limits/error_text.h"

#include <cstdio>

namespace cometfold::limits {

std::string number_text(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.10g", value);
  return text;
}

std::string ms_text(Ms value) { return number_text(value) + " ms"; }

}  // namespace cometfold::limits
