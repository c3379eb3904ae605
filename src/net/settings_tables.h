// The tables of the gateway's own settings: which field each key is read into.
#pragma once

#include <string>

#include "net/toml_table.h"

namespace cometfold::net {

// The tables refer to the fields of their argument, which must outlive them.
toml_table::Table hosts_table(GatewaySettings& settings);
toml_table::Table log_table(GatewaySettings& settings);
toml_table::Table limits_table(const std::string& file, limits::LimitsFile& limits);
toml_table::Table peers_table(PeerSettings& peers);
toml_table::Table processor_table(const std::string& file, GatewaySettings& settings);

// The keys that limit the attempts of a class or a rule.
toml_table::Table attempt_limits_table(limits::LimitEntry& entry);

}  // namespace cometfold::net
