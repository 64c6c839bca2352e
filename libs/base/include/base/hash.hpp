/// \file
/// Stable 64-bit hashing, equal in every process.
#pragma once

#include <cstdint>
#include <string_view>

namespace boragefront {

/// Hash of `text` under `seed`.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Rendezvous (highest random weight) score of `candidate` for `key`.
std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate);

/// The same for candidates of unlike capacity: each wins in proportion to its weight. Higher is
/// better. \param weight above 0.
double weighted_rendezvous_score(std::string_view key, std::string_view candidate, double weight);

} // namespace boragefront
