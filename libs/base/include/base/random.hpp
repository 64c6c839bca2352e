/// \file
/// Random number generator, passed to decision code as an argument.
#pragma once

#include <random>

namespace boragefront {

using random_source = std::mt19937_64;

/// A random source seeded from the operating system.
inline random_source make_random_source() {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source{seed};
}

} // namespace boragefront
