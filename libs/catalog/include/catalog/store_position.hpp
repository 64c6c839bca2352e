/// \file
/// Positions in the history of the published key space.
#pragma once

#include "base/ids.hpp"

#include <compare>
#include <cstdint>

namespace boragefront::catalog {

/// A point in the history of the key space. When the store returns from an older copy of itself, an
/// era begins in which revisions may repeat; it follows all of the previous era.
struct store_position {
    std::uint64_t era{0}; ///< 0: of a store or a peer that tells none
    revision at{0};

    auto operator<=>(const store_position&) const = default;
};

} // namespace boragefront::catalog
