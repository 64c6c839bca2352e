/// \file
/// Numbers drawn at random.
#pragma once

#include "base/random.hpp"

#include <random>
#include <type_traits>

namespace boragefront::support {

/// A number from `least` to `most`, both included if it is whole.
template <class Number>
Number draw(random_source& random, Number least, Number most) {
    if constexpr (std::is_floating_point_v<Number>) {
        return std::uniform_real_distribution<Number>{least, most}(random);
    } else {
        return std::uniform_int_distribution<Number>{least, most}(random);
    }
}

} // namespace boragefront::support
