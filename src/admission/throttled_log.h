// Passes each remark on at most once in a while.
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
