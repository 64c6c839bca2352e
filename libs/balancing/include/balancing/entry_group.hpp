/// \file
/// The entries among which system-wide limits are divided.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::balancing {

/// The entries that are considered to be serving, including this one.
struct entry_group {
    std::string self;
    std::vector<std::string> members; ///< ids, including `self`
    /// Differs between any two groups that one process uses; 0: unknown, nothing is cached.
    std::uint64_t revision{0};

    std::size_t size() const { return std::max<std::size_t>(members.size(), 1); }

    /// Number of members that precede this one in the rendezvous order for `key`.
    std::size_t rank(std::string_view key) const;
};

} // namespace boragefront::balancing
