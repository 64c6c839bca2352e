/// \file
/// Reads a configuration tree from disk: a folder of `<key>.json` files.
#pragma once

#include "base/error.hpp"
#include "config/validate.hpp"

#include <filesystem>
#include <string>
#include <vector>

namespace boragefront::ctl {

/// A tree as found on disk.
struct tree {
    std::vector<config::tree_entry> entries;   ///< ordered by key
    std::vector<std::string> unexpected_files; ///< files that are not `.json`, hidden ones apart
};

/// Reads all files of a tree.
/// \returns `bad_request` naming the folder or file that cannot be read.
result<tree> read_tree(const std::filesystem::path& folder);

} // namespace boragefront::ctl
