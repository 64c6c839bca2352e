/// \file
/// The entries among which limits of the whole system are divided.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::balancing {

/// The entries believed to serve, this one included.
struct entry_group {
    std::string self;
    std::vector<std::string> members; ///< ids, `self` among them

    std::size_t size() const { return std::max<std::size_t>(members.size(), 1); }

    /// How many other members come before this one in the rendezvous order for `key`.
    std::size_t rank(std::string_view key) const;
};

} // namespace boragefront::balancing
