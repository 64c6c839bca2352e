/// \file
/// Pairs of failures, chosen by seed, on a deployment under load.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "support/checker.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace boragefront::faults {

struct storm_options {
    std::uint64_t seed{1};
    unsigned rounds{0}; ///< pairs of failures; 0 goes on until `duration` has passed
    std::chrono::minutes time{1};
};

/// Told of each pair before it is injected.
using storm_observer = std::function<void(const std::string& pair)>;

/// Injects pairs of failures until the end, then judges.
/// \returns the verdict; an error if the deployment did not start or did not recover from a pair
result<support::verdict> run_storm(const storm_options& options, const storm_observer& observer);

} // namespace boragefront::faults
