// The structured log of the newer parts: one JSON object a line on standard error, bounded by rate.
#pragma once

#include <boost/json.hpp>
#include <string_view>

namespace cometfold::net {

enum class Level { kInfo, kWarning };

// {"time":...,"level":...,"event":EVENT, ...fields}
void log_event(Level level, std::string_view event, boost::json::object fields);

}  // namespace cometfold::net
