/// \file
/// A published configuration of the designed size, written as a tree of files.
#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace boragefront::control_cost {

/// How much is published.
struct tree_size {
    unsigned workspaces{7'500};
    unsigned models{22};
    unsigned pipelines{20};
    unsigned data_centres{6};
};

/// Writes the tree below a folder. \returns the names of its pools.
std::vector<std::string> write_tree(const std::filesystem::path& folder, const tree_size& size);

} // namespace boragefront::control_cost
