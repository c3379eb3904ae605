// Boost.JSON is header-only here: its one source file.
#include <boost/json/src.hpp>
