// The configuration in use, and how a reload is merged into it without renumbering the classes and plans of
// requests in flight. Without I/O.
#pragma once

#include <string>
#include <vector>

#include "net/config.h"
#include "resp/resp_handler.h"
#include "settings/numbering.h"

namespace cometfold::net {

class ActiveConfig {
 public:
  explicit ActiveConfig(Config config);

  // The object stays in place for the lifetime of this one; its contents change with a reload.
  const Config& get() const { return config_; }
  // Names by class number, including classes that a reload has removed.
  const std::vector<std::string>& class_labels() const { return class_labels_; }
  resp::CommandNames command_names() const;

  bool has_other_settings(const Config& fresh) const { return fresh.settings_text != config_.settings_text; }
  // The settings of `fresh`, with its classes and plans renumbered to match this configuration. Throws
  // settings::TooManyNamesError.
  settings::NumberedSettings renumber(const Config& fresh) const;

  void set_attempt_bounds(const Config& fresh) { config_.attempt_bounds = fresh.attempt_bounds; }
  void set_discovery(const Config& fresh) { config_.discovery = fresh.discovery; }
  // `numbered` must be the result of `renumber(fresh)`.
  void set_settings(const Config& fresh, const settings::NumberedSettings& numbered);

 private:
  Config config_;
  std::vector<std::string> class_labels_;
};

}  // namespace cometfold::net
