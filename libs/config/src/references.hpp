/// \file
/// References between keys.
#pragma once

#include "config/types.hpp"

#include <string>
#include <vector>

namespace boragefront::config {

/// A reference to a key that does not exist.
struct missing_reference {
    std::string key; ///< of the value that refers
    std::string path;
    std::string target; ///< the key that is missing
};

/// References of pools to profiles that do not exist.
std::vector<missing_reference> missing_of_pools(const snapshot& values);

/// References of services to profiles and pools that do not exist.
std::vector<missing_reference> missing_of_services(const snapshot& values);

/// What to say of a missing reference.
error to_error(const missing_reference& missing);

} // namespace boragefront::config
