// The log: plain lines on standard error, rate limited.
#pragma once

#include <string_view>

namespace cometfold::net {

// Writes one line, `event` or `event: detail`. Never blocks: a line that can't be written to standard error
// now is dropped and counted.
void log_line(std::string_view event, std::string_view detail = {});

// Writes a line that includes its newline, for other log formats; truncated to the size of an atomic write to
// a pipe. Never blocks: false if the line is dropped.
bool write_log(std::string_view line);

}  // namespace cometfold::net
