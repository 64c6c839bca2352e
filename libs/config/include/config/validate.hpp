/// \file
/// Checks a whole configuration tree before it is published.
#pragma once

#include "config/types.hpp"

#include <string>
#include <vector>

namespace boragefront::config {

/// One key of a tree on disk.
struct tree_entry {
    std::string key;
    std::string text; ///< JSON with comments
};

/// A fault in a tree.
struct fault {
    std::string key;
    std::string path;   ///< within the value; empty if the whole value is at fault
    std::string detail; ///< what was found and what is allowed
};

/// All faults of a tree: the first in each value, and references to keys that are missing.
std::vector<fault> validate_tree(const std::vector<tree_entry>& entries);

} // namespace boragefront::config
