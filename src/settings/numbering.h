// Numbers of classes and plans across new settings. Pure.
//
// The module and all that is in flight know classes and plans by number. New settings name them anew, in any
// order; here each name keeps its number, so that nothing under way has to be renumbered.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::settings {

struct NumberedSettings {
  // Names by number; an empty one is withdrawn, and only requests under way still use it.
  std::vector<std::string> classes, plans;
  AdmissionSettings settings;
};

struct TooManyNamesError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// `fresh` in the numbers of `before`. A class of the same name that may be repeated in another way is another
// class, as what has been sent under the old one was sent under the old right. Withdrawn ones that come back
// as they were get their number back. Throws TooMany above 1,024 classes or plans, withdrawn ones included.
NumberedSettings renumber(const NumberedSettings& before, const NumberedSettings& fresh);

// Names that are not there yet are added behind. At most 1,024 altogether; more are left out, and so are
// unknown.
void extend_names(std::vector<std::string>& names, const std::vector<std::string>& fresh);

}  // namespace cometfold::settings
