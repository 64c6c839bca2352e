/// \file
/// Whether a request has too little time left to be sent at all.
///
/// Answers the pattern of a queue that hands on its last groups just before their callers leave:
/// the endpoint would start work that nobody reads, and the caller could not be told that it has
/// not run.
#pragma once

#include "base/time.hpp"

#include <optional>

namespace boragefront::gateway {

/// \param left until the caller leaves or its time is up
/// \param typical from a send until the first byte of its answer, at this service; nothing if no
/// answer has been seen
/// \param latency_goal of the route; a larger part of it is always worth a try, so that a service
/// which has become quicker is noticed
inline bool is_hopeless(duration left, std::optional<milliseconds> typical, duration latency_goal) {
    constexpr int quickest_share = 2; // the quickest answers take about half of the usual time
    constexpr int least_share = 10;   // a tenth of the goal is time enough for a try
    return typical && left < *typical / quickest_share && left < latency_goal / least_share;
}

} // namespace boragefront::gateway
