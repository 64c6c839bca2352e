#include "base/hash.hpp"

#include <xxhash.h>

#include <cmath>

namespace boragefront {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) {
    return stable_hash(candidate, stable_hash(key));
}

double weighted_rendezvous_score(std::string_view key, std::string_view candidate, double weight) {
    constexpr double hash_range = 18446744073709551616.0; // of a 64-bit hash
    const double uniform =
        (static_cast<double>(rendezvous_score(key, candidate)) + 1) / (hash_range + 2);
    return -weight / std::log(uniform);
}

} // namespace boragefront
