// The structured log of events: one JSON object per line on standard error, rate limited.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string_view>

namespace cometfold::net {

enum class LogLevel : std::uint8_t { kInfo, kWarning };

// {"time":...,"level":...,"event":EVENT, ...fields}. Never blocks: a line that can't be written now is
// dropped.
void log_event(LogLevel level, std::string_view event, boost::json::object fields);

}  // namespace cometfold::net
