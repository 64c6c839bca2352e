/// \file
/// 64-bit hashing that gives the same value in every process.
#pragma once

#include <cstdint>
#include <string_view>

namespace boragefront {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Rendezvous (highest random weight) score of `candidate` for `key`.
std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate);

/// Rendezvous score for candidates of different capacity: each has the highest score for a share of
/// the keys that is proportional to its weight.
/// \param weight above 0.
double weighted_rendezvous_score(std::string_view key, std::string_view candidate, double weight);

} // namespace boragefront
