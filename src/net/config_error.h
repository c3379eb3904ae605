// Errors in the platform's configuration or in the environment.
#pragma once

#include <string>
#include <utility>

#include "net/error.h"

namespace cometfold::net {

class ConfigError : public Error {
 public:
  // `document`: "configuration", its part "settings", or an environment variable; empty if `problem` names
  // it. `key`: the key at fault; empty if it is not a single one.
  ConfigError(std::string document, std::string key, std::string problem)
      : Error({std::move(document), std::move(problem), {}}), key_(std::move(key)) {}

  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

}  // namespace cometfold::net
