#include "net/active_config.h"

#include <utility>

#include "net/host_registry.h"

namespace cometfold::net {

ActiveConfig::ActiveConfig(Config config) : config_(std::move(config)), class_labels_(config_.class_names) {}

resp::CommandNames ActiveConfig::command_names() const {
  resp::CommandNames names{config_.class_names,
                           config_.plan_names,
                           {},
                           config_.settings.gateway_count,
                           config_.settings.max_request_units};
  for (const auto& request_class : config_.settings.classes) {
    names.idempotency.push_back(request_class.idempotency);
  }
  names.bounds = bounds_of(config_, config_.class_names);
  return names;
}

settings::NumberedSettings ActiveConfig::renumber(const Config& fresh) const {
  settings::NumberedSettings current{config_.class_names, config_.plan_names, config_.settings};
  if (!has_other_settings(fresh)) return current;
  return settings::renumber(current, {fresh.class_names, fresh.plan_names, fresh.settings});
}

void ActiveConfig::set_settings(const Config& fresh, const settings::NumberedSettings& numbered) {
  config_.settings_text = fresh.settings_text;
  config_.settings = numbered.settings;
  config_.class_names = numbered.classes;
  config_.plan_names = numbered.plans;
  config_.max_open_requests = fresh.max_open_requests;
  config_.connection_idle_timeout_ms = fresh.connection_idle_timeout_ms;
  config_.connect_timeout_ms = fresh.connect_timeout_ms;
  // The host registry refers to kinds and zones by index, so existing indices must not change.
  settings::extend_names(config_.host_kinds, fresh.host_kinds);
  settings::extend_names(config_.zones, fresh.zones);
  if (fresh.settings.local_zone < fresh.zones.size()) {
    config_.settings.local_zone = index_of(config_.zones, fresh.zones[fresh.settings.local_zone]);
  }
  class_labels_.resize(numbered.classes.size());
  for (std::size_t i = 0; i < numbered.classes.size(); ++i) {
    if (!numbered.classes[i].empty()) class_labels_[i] = numbered.classes[i];
  }
}

}  // namespace cometfold::net
