// Rate-limits log messages: repetitions of a message within a short interval are dropped.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "admission/numeric.h"

namespace cometfold::admission {

class ThrottledLog {
 public:
  void log(std::string_view text, Ms now, ActionSink& sink);

 private:
  std::map<std::string, Ms, std::less<>> logged_at_;
};

}  // namespace cometfold::admission
