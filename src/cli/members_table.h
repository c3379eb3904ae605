// Prints the members' JSON of a gateway as a human-readable table.
#pragma once

#include <boost/json.hpp>

namespace cometfold::cli {

// Writes to standard output. Throws if `view` lacks required members of a gateway's `/_members` response.
void print_members(const boost::json::object& view);

}  // namespace cometfold::cli
