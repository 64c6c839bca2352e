/// \file
/// Whether a request has too little time left to be sent.
///
/// Guards against a stage queue that completes its last groups just before their callers
/// disconnect: the endpoint would start work that nobody reads, and the caller could no longer be
/// told that the request was not run.
#pragma once

#include "base/time.hpp"

#include <optional>

namespace boragefront::gateway {

/// \param time_left until the caller disconnects or its deadline passes
/// \param typical_latency of this service, from sending until the first byte of the response; empty
/// if there was no response yet
/// \param latency_goal of the route; a request with more than a tenth of it left is always sent, so
/// that a service which has become faster is noticed
inline bool is_too_late_to_send(duration time_left, std::optional<milliseconds> typical_latency,
                                duration latency_goal) {
    // The fastest responses take about half of the typical time.
    constexpr int fastest_response_divisor = 2;
    constexpr int goal_divisor = 10; // a tenth of the goal is enough for an attempt
    return typical_latency && time_left < *typical_latency / fastest_response_divisor &&
           time_left < latency_goal / goal_divisor;
}

} // namespace boragefront::gateway
