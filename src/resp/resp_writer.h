// Writes RESP2 values to the end of a string. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cometfold::resp {

// The header of an array; its elements follow.
void append_array(std::string& out, std::size_t elements);
void append_bulk(std::string& out, std::string_view value);
// An error line. CR and LF in `text` are left out, as they would end the line.
void append_error(std::string& out, std::string_view text);
// A status line. `text` must hold neither CR nor LF.
void append_simple(std::string& out, std::string_view text);

}  // namespace cometfold::resp
