// The tables of the gateway's own settings: each key and the field that it is read into.
#pragma once

#include <string>

#include "net/toml_table.h"

namespace cometfold::net {

// The variables of `settings` are written when the tables are read; it must outlive them.
toml_table::Table hosts_table(GatewaySettings& settings);
toml_table::Table log_table(GatewaySettings& settings);
toml_table::Table limits_table(const std::string& file, limits::LimitsFile& limits);
toml_table::Table peers_table(PeerSettings& peers);
toml_table::Table processor_table(const std::string& file, GatewaySettings& settings);

// The keys that limit attempts, for a class or for a rule.
toml_table::Table attempt_limits_table(limits::LimitEntry& entry);

}  // namespace cometfold::net
