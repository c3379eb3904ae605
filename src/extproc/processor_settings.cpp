#include "extproc/processor_settings.h"

#include <algorithm>

#include "extproc/name_list.h"

namespace cometfold::extproc {

namespace {

void require_known(const std::vector<std::string>& names, const std::string& name, const char* kind,
                   const std::string& source) {
  if (name.empty() || index_of(names, name)) return;
  throw ProcessorSettingsError(source + ": no " + kind + " '" + name + "'; there are " + joined(names));
}

}  // namespace

void validate(const ProcessorSettings& settings, const NamedSettings& names) {
  const auto& mapping = settings.mapping;
  require_known(names.class_names, mapping.default_class, "class", mapping.source);
  require_known(names.plan_names, mapping.default_plan, "plan", mapping.source);
  const double max_units = names.settings.max_request_units;
  for (const auto& rule : mapping.rules) {
    require_known(names.class_names, rule.class_name, "class", rule.source);
    require_known(names.plan_names, rule.plan_name, "plan", rule.source);
    if (rule.units && *rule.units > max_units) {
      throw ProcessorSettingsError(rule.source + ": units must be at most " + std::to_string(max_units));
    }
  }
}

}  // namespace cometfold::extproc
