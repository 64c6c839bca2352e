/// \file
/// Scales call durations by the slowdown of an endpoint.
#pragma once

#include "base/time.hpp"

#include <cmath>

namespace boragefront::stages {

/// Returns `time` times `factor`, rounded up to milliseconds.
inline milliseconds scaled(microseconds time, double factor) {
    return milliseconds{
        static_cast<std::int64_t>(std::ceil(static_cast<double>(time.count()) * factor / 1'000))};
}

} // namespace boragefront::stages
