/// \file
/// Anti-entropy between two configuration stores: digests of buckets, then the entries that differ.
#pragma once

#include "config/store.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace boragefront::control {

/// Buckets of the second digest; the first has one bucket for the whole store.
inline constexpr std::uint32_t digest_buckets = 64;

/// The most bytes of values in one delta; a single larger value is still sent, alone.
inline constexpr std::size_t delta_bytes = 256U << 10U;

/// The bucket of a key.
std::uint32_t bucket_of(std::string_view key, std::uint32_t bucket_count);

/// A hash of the revisions held in each bucket, independent of order.
std::vector<std::uint64_t> digest_of(const config::config_store& store, std::uint32_t bucket_count);

/// The buckets in which two digests of equal length differ.
std::vector<std::uint32_t> differing(const std::vector<std::uint64_t>& left,
                                     const std::vector<std::uint64_t>& right);

/// Asks for what is newer in the given buckets.
wire::delta_request make_delta_request(const config::config_store& store,
                                       std::vector<std::uint32_t> buckets,
                                       std::uint32_t bucket_count);

/// What the asker lacks in its buckets, and which keys this store lacks.
/// \pre the request's offered entries were merged.
wire::delta_answer answer_delta(const config::config_store& store,
                                const wire::delta_request& asked);

/// The entries of the keys that a peer wants, up to `delta_bytes`.
std::vector<config::published_entry> entries_for(const config::config_store& store,
                                                 const std::vector<std::string>& wanted);

} // namespace boragefront::control
