// The log: plain lines on standard error, bounded by rate.
#pragma once

#include <string_view>

namespace cometfold::net {

// One line: `kind`, or `what: detail`. Never waits: what nobody takes from standard error now is left out.
void log_line(std::string_view what, std::string_view detail = {});

// A whole line with its end, at most kLongestLogLine bytes of it, for other forms of log. False if nobody
// takes it now.
bool write_log(std::string_view line);

}  // namespace cometfold::net
