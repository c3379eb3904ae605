// The log: plain lines on standard error, limited by rate.
#pragma once

#include <string_view>

namespace cometfold::net {

// One line: `event`, or `event: detail`. Never blocks: a line that standard error does not take now is
// dropped and counted.
void log_line(std::string_view event, std::string_view detail = {});

// Writes a whole line with its end, for other forms of log; cut off at the size that a pipe takes at once.
// Never blocks: false if the line is dropped.
bool write_log(std::string_view line);

}  // namespace cometfold::net
