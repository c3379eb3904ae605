// The members' JSON of a gateway as a table for people.
#pragma once

#include <boost/json.hpp>

namespace cometfold::cli {

// Writes to standard output. Throws where `view` is not what a gateway's `/_members` gives.
void print_members(const boost::json::object& view);

}  // namespace cometfold::cli
