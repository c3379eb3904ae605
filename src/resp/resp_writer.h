// Appends RESP2 values to a string. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cometfold::resp {

// Appends the header of an array; its elements must follow.
void append_array(std::string& out, std::size_t elements);
void append_bulk(std::string& out, std::string_view value);
// Appends an error line. CR and LF in `text` are dropped, as they would end the line.
void append_error(std::string& out, std::string_view text);
// Appends a status line. `text` must not contain CR or LF.
void append_simple(std::string& out, std::string_view text);

}  // namespace cometfold::resp
